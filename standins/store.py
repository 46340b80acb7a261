"""Stand-in for the users' store: tables of rows, feeds and objects.

It keeps a revision for each row and a history of changes. Tests can make it
fail: unavailable, slow, answers lost after a write was applied, history
dropped, some clients rejected, or restored from an older snapshot.
"""

import asyncio
import base64
import collections
import dataclasses
import time

import msgspec

from ebonypick import connection

JSON = [('content-type', 'application/json')]
PAGE_ROWS = 500
PAGE_NAMES = 1_000
READ_ONLY_TABLES = frozenset({'op', 'servers'})
# Status of the answers to a client that is turned away, where it gets any.
REFUSALS = {'busy': 503, 'many': 429, 'reset': None, 'silent': None}
# Interval at which a waiting feed call checks for changes.
FEED_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class StoreCall:
    """A call that reached the store, served or not.

    Parameters
    ==========
    at : float
        Monotonic time of arrival.
    client : str
        IP address of the sender.
    name : str
        First segment of the request path.
    """

    at: float
    client: str
    name: str


@dataclasses.dataclass
class StoreFaults:
    """Faults that tests inject.

    Parameters
    ==========
    down : bool
        Every call is answered with 503.
    silent : bool
        No call is answered.
    delay_s : float
        Delay before each answer.
    lose_answers : int
        Number of further writes that are applied but not answered.
    turned_away : set of str
        Client addresses whose calls are refused.
    refusal : str
        How their calls are refused, one of REFUSALS.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    turned_away: set = dataclasses.field(default_factory=set)
    refusal: str = 'busy'


@dataclasses.dataclass(frozen=True)
class StoreSnapshot:
    """Snapshot of all rows at one revision.

    Parameters
    ==========
    revision : int
        Revision at which the snapshot was taken.
    rows : dict
        Value and revision by (table, part, key).
    history : tuple
        Revision, (table, part, key) and value of each earlier change.
    """

    revision: int
    rows: dict
    history: tuple


@dataclasses.dataclass(frozen=True)
class LostRows:
    """Rows of other writers that a restore from a snapshot lost.

    Parameters
    ==========
    since : int
        Revision of the snapshot.
    rows : tuple of (str, str, bytes or None)
        Table, key and value; the value is None for a removed row.
    """

    since: int
    rows: tuple


class Store:
    """The store server; an async context manager.

    Parameters
    ==========
    address : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    writes_per_s, reads_per_s : int
        Calls accepted per second; further calls are answered with 429.
    rewrite : callable, optional
        Called with table, key and value of each row that a client puts.
        Returns the value to store, for example with a proxy's address.
    """

    def __init__(
        self,
        address='127.0.0.1',
        port=0,
        writes_per_s=400,
        reads_per_s=2000,
        rewrite=lambda table, key, value: value,
    ):
        self._rewrite = rewrite
        self.faults = StoreFaults()
        self.calls = collections.Counter()
        self.call_log = []
        self.writes = 0
        self._rows = {}
        self._objects = {}
        self._history = []
        self._history_start = 0
        self._revision = 0
        self._era = 0
        self._limits = {'GET': reads_per_s, 'POST': writes_per_s}
        self._rate_window = (0, collections.Counter())
        self._server = connection.make_caller_server(
            'http', address, port, self._handle
        )

    async def __aenter__(self):
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self._server.__aexit__(*exc_info)

    @property
    def port(self):
        """The TCP port on which the store listens."""
        return self._server.port

    # Writes of operators and backend servers, made without a call.

    def put(self, table, key, value):
        """Set a row; ``value`` is bytes or a value that JSON can encode."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self._revision += 1
        self._set(table, '', key, value)

    def remove(self, table, key):
        """Remove a row."""
        self._revision += 1
        self._set(table, '', key, None)

    def rows(self, table):
        """Return a table's values by key."""
        return {
            key: value
            for (name, _, key), (value, _) in self._rows.items()
            if name == table
        }

    def drop_history(self):
        """Drop the history, so that a feed from an older revision gets 410."""
        self._history_start = self._revision
        self._history = []

    @property
    def era(self):
        """Number of restores from a snapshot so far."""
        return self._era

    def copy(self):
        """Return a snapshot for ``restore``."""
        return StoreSnapshot(
            self._revision, dict(self._rows), tuple(self._history)
        )

    def restore(self, copy):
        """Restore a snapshot; return the rows of other writers that are lost.

        Parameters
        ==========
        copy : StoreSnapshot
            An earlier snapshot.

        Returns
        =======
        LostRows
            Rows of the operator and the servers, for ``rewrite_lost_rows``.
        """
        lost = tuple(
            (place[0], place[2], self._rows.get(place, (None, 0))[0])
            for place in sorted(set(self._rows) | set(copy.rows))
            if place[0] in READ_ONLY_TABLES
            and self._rows.get(place) != copy.rows.get(place)
        )
        self._era += 1
        self._revision = copy.revision
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        return LostRows(copy.revision, lost)

    def turn_away(self, clients, refusal='busy'):
        """Refuse the calls of some clients from now on, also open ones.

        Parameters
        ==========
        clients : iterable of str
            Their IP addresses.
        refusal : str
            How their calls are refused, one of REFUSALS. Unless the store
            falls silent, their open connections are reset.
        """
        self.faults.turned_away = set(clients)
        self.faults.refusal = refusal
        if refusal == 'silent':
            return
        for conn in self._server.open_connections():
            if conn.client in self.faults.turned_away:
                conn.abort()

    async def restore_after_outage(self, copy, away_s):
        """Be down for ``away_s`` seconds, then ``restore`` the snapshot."""
        self.faults.down = True
        await asyncio.sleep(away_s)
        lost = self.restore(copy)
        self.faults.down = False
        return lost

    def rewrite_lost_rows(self, lost):
        """Write lost rows again, as their writers do after a restore.

        Parameters
        ==========
        lost : LostRows
            Result of ``restore``; rows changed since then are skipped.
        """
        changed = {
            place
            for revision, place, _ in self._history
            if revision > lost.since
        }
        for table, key, value in lost.rows:
            if (table, '', key) in changed:
                continue
            if value is None:
                self.remove(table, key)
            else:
                self.put(table, key, value)

    def _set(self, table, part, key, value):
        place = (table, part, key)
        if value is None:
            self._rows.pop(place, None)
        else:
            self._rows[place] = (value, self._revision)
        self._history.append((self._revision, place, value))

    # Calls of clients.

    def _allowed(self, method):
        second = int(time.monotonic())
        if self._rate_window[0] != second:
            self._rate_window = (second, collections.Counter())
        counts = self._rate_window[1]
        kind = 'GET' if method == 'GET' else 'POST'
        counts[kind] += 1
        return counts[kind] <= self._limits[kind]

    async def _handle(self, req):
        name = req.path.split('/')[1]
        self.calls[name] += 1
        self.call_log.append(StoreCall(time.monotonic(), req.client, name))
        self.writes += req.method == 'POST'
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            await req.respond(503, self._headers(), b'{}')
            return
        if req.client in self.faults.turned_away:
            await self._refuse(req)
            return
        if not self._allowed(req.method):
            await req.respond(429, self._headers(), b'{}')
            return
        parts = []
        while (part := await req.read(5)) is not None:
            parts.append(part)
        status, body = await self._serve(req, b''.join(parts))
        if req.method != 'GET' and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            req.abort()
            return
        if self._is_silent_to(req.client):
            await asyncio.sleep(3600)
        await req.respond(status, self._headers(), body)

    def _is_silent_to(self, client):
        turned_away = client in self.faults.turned_away
        return turned_away and self.faults.refusal == 'silent'

    async def _refuse(self, req):
        status = REFUSALS[self.faults.refusal]
        if status is not None:
            await req.respond(status, self._headers(), b'{}')
        elif self._is_silent_to(req.client):
            await asyncio.sleep(3600)
        else:
            req.abort()

    def _headers(self):
        return [*JSON, ('store-era', str(self._era))]

    async def _serve(self, req, body):
        call = req.path.split('/')[1]
        if call == 'rows-tx':
            return self._transact(msgspec.json.decode(body))
        if call == 'rows-get':
            return self._read(req.query)
        if call == 'rows-feed':
            return await self._feed(req.query)
        if call == 'rows-parts':
            return self._parts(req.query)
        if call.startswith('blob-'):
            return self._blob(req, call, body)
        return 404, b'{}'

    def _encode(self, rows, **more):
        found = []
        for (table, part, key), value, revision in rows:
            row = {'table': table, 'part': part, 'key': key, 'ver': revision}
            if value is None:
                row['tombstone'] = True
            else:
                row['value'] = base64.b64encode(value).decode()
            found.append(row)
        now = f'{round(time.monotonic() * 1000)}ms'
        answer = {'rows': found, 'ver': self._revision, 'now': now, **more}
        return msgspec.json.encode(answer)

    def _transact(self, tx):
        def place(row):
            return row['table'], row.get('part', ''), row['key']

        puts = tx.get('put', [])
        removed = tx.get('remove', [])
        if any(row['table'] in READ_ONLY_TABLES for row in puts + removed):
            return 403, b'{}'
        conditions = tx.get('expectedRev', [])
        parts = {place(row)[1] for row in puts + removed + conditions}
        if len(parts) > 1 and not tx.get('across'):
            return 400, b'{}'
        current = []
        held = True
        for row in conditions:
            value, revision = self._rows.get(place(row), (None, 0))
            held = held and revision == row['ver']
            current.append((place(row), value, revision))
        if not held:
            return 412, self._encode(current)
        self._revision += 1
        for row in puts:
            value = base64.b64decode(row['value'])
            value = self._rewrite(row['table'], row['key'], value)
            self._set(*place(row), value)
        for row in removed:
            self._set(*place(row), None)
        return 200, self._encode([])

    def _read(self, query):
        low = query.get('from', '')
        high = query.get('target')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        found = sorted(
            (place, value, revision)
            for place, (value, revision) in self._rows.items()
            if place[:2] == (query['table'], query.get('part', ''))
            and place[2] >= low
            and (high is None or place[2] < high)
        )
        more = len(found) > limit
        return 200, self._encode(found[:limit], hasMore=more)

    async def _feed(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            if after < self._history_start or after > self._revision:
                return 410, b'{}'
            found = [
                (place, value, revision)
                for revision, place, value in self._history
                if revision > after and place[0] == query['table']
            ]
            if found or time.monotonic() >= end:
                return 200, self._encode(found)
            await asyncio.sleep(FEED_POLL_S)

    def _parts(self, query):
        after = query.get('after')
        parts = sorted(
            {
                part
                for table, part, _ in self._rows
                if table == query['table'] and (after is None or part > after)
            }
        )
        more = len(parts) > PAGE_NAMES
        return 200, msgspec.json.encode(
            {'parts': parts[:PAGE_NAMES], 'hasMore': more}
        )

    def _blob(self, req, call, body):
        name = req.path.partition('/')[2].partition('/')[2]
        if call == 'blob-put':
            if 'if-none-match' in req.headers and name in self._objects:
                return 412, b'{}'
            self._objects[name] = body
            return 200, b'{}'
        if call == 'blob-get':
            found = self._objects.get(name)
            return (404, b'{}') if found is None else (200, found)
        if call == 'blob-drop':
            self._objects.pop(name, None)
            return 200, b'{}'
        prefix = req.query.get('prefix', '')
        names = sorted(n for n in self._objects if n.startswith(prefix))
        more = len(names) > PAGE_NAMES
        return 200, msgspec.json.encode(
            {'names': names[:PAGE_NAMES], 'hasMore': more}
        )

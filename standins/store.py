"""Stand-in for the users' store: tables of rows, feeds and objects.

It keeps revisions and a bounded history, and fails as asked: down, slow,
answers lost after the change, history dropped, some callers turned away,
back from an older copy.
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
READ_ONLY = frozenset({'op', 'servers'})
# How often a waiting feed looks for changes.
FEED_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class StoreCall:
    """A call that reached the store, whether it was served or not.

    Parameters
    ==========
    at : float
        Monotonic time.
    client : str
        IP number that sent it.
    name : str
        The first part of its path.
    """

    at: float
    client: str
    name: str


@dataclasses.dataclass
class StoreFaults:
    """Faults on request.

    Parameters
    ==========
    down : bool
        Every call gets 503.
    silent : bool
        No call is answered.
    delay_s : float
        Time before each answer.
    lose_answers : int
        Writes that are still made and not answered.
    turned_away : set of str
        Addresses that get 503.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    turned_away: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """All rows as of one moment.

    Parameters
    ==========
    revision : int
        The count of changes then.
    rows : dict
        Values and revisions by place.
    history : tuple
        Revision, place and value of the changes before.
    """

    revision: int
    rows: dict
    history: tuple


@dataclasses.dataclass(frozen=True)
class LostRows:
    """What others wrote after a copy from which the store came back.

    Parameters
    ==========
    since : int
        The copy's count of changes.
    rows : tuple of (str, str, bytes or None)
        Table, key and value; None where a row was removed.
    """

    since: int
    rows: tuple


class Store:
    """The state, and the answers to calls; an async context manager.

    Parameters
    ==========
    address : str
        IP number to listen on.
    port : int
        TCP port; 0 for a free one.
    writes_per_s, reads_per_s : int
        Calls that are taken each second; beyond them the answer is 429.
    rewrite : callable, optional
        Gets table, key and value of a row that a caller puts; returns the
        value to keep, for instance with the address of a proxy.
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
        self._dropped_to = 0
        self._revision = 0
        self._era = 0
        self._limits = {'GET': reads_per_s, 'POST': writes_per_s}
        self._second = (0, collections.Counter())
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
        """The port that it listens on."""
        return self._server.port

    # What operators and servers do.

    def put(self, table, key, value):
        """Set a row; ``value`` is bytes or what JSON can hold."""
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
        """Forget what changed."""
        self._dropped_to = self._revision
        self._history = []

    @property
    def era(self):
        """How often it has come back from an older copy."""
        return self._era

    def copy(self):
        """Return a copy from which it can come back."""
        return StoreCopy(
            self._revision, dict(self._rows), tuple(self._history)
        )

    def restore(self, copy):
        """Come back from a copy; return the rows of others that are lost.

        Parameters
        ==========
        copy : StoreCopy
            Of some time ago.

        Returns
        =======
        LostRows
            Of the operator and the servers: to be written again.
        """
        lost = tuple(
            (place[0], place[2], self._rows.get(place, (None, 0))[0])
            for place in sorted(set(self._rows) | set(copy.rows))
            if place[0] in READ_ONLY
            and self._rows.get(place) != copy.rows.get(place)
        )
        self._era += 1
        self._revision = copy.revision
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        return LostRows(copy.revision, lost)

    async def drill(self, copy, away_s):
        """Be away for some seconds, then come back; as ``restore``."""
        self.faults.down = True
        await asyncio.sleep(away_s)
        lost = self.restore(copy)
        self.faults.down = False
        return lost

    def write_again(self, lost):
        """Write rows again that were lost, as their writers do.

        Parameters
        ==========
        lost : LostRows
            As ``restore`` returned them; rows that changed since stay.
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

    # Calls.

    def _allowed(self, method):
        second = int(time.monotonic())
        if self._second[0] != second:
            self._second = (second, collections.Counter())
        counts = self._second[1]
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
        if self.faults.down or req.client in self.faults.turned_away:
            await req.respond(503, self._headers(), b'{}')
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
        await req.respond(status, self._headers(), body)

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
        if any(row['table'] in READ_ONLY for row in puts + removed):
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
            if after < self._dropped_to or after > self._revision:
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

"""The platform's store: rows, their feed, and conditional writes."""

import asyncio
import base64
import json
import time
import urllib.parse

from rig import http


class Store:
    """Serves ``rows-get``, ``rows-feed`` and ``rows-tx``."""

    def __init__(self, address):
        self.address = address
        self.port = 0
        self._rows = {}
        self._history = []
        self._ver = 0
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def put(self, table, key, value):
        """Write a row as the operator or a backend server does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._ver += 1
        self._set(table, key, value)

    def remove(self, table, key):
        """Remove a row as the operator or a backend server does."""
        self._ver += 1
        self._set(table, key, None)

    def _set(self, table, key, value):
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self._ver)
        self._history.append((self._ver, table, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await http.read_head(reader)
                body = await http.read_body(reader, headers)
                method, target, _ = first.split(' ')
                status, found = await self._call(method, target, body)
                data = json.dumps(found).encode()
                writer.write(
                    http.head(
                        f'HTTP/1.1 {status} X',
                        [
                            ('Content-Type', 'application/json'),
                            ('Content-Length', len(data)),
                        ],
                    )
                    + data
                )
        except (http.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _call(self, method, target, body):
        path, _, query = target.partition('?')
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/rows-get':
            return 200, self._get(args)
        if path == '/rows-feed':
            return 200, await self._feed(args)
        if path == '/rows-tx' and method == 'POST':
            return self._transact(json.loads(body))
        return 404, {}

    def _encode(self, rows, **more):
        found = []
        for table, key, value, ver in rows:
            row = {'table': table, 'part': '', 'key': key, 'ver': ver}
            if value is None:
                row['tombstone'] = True
            else:
                row['value'] = base64.b64encode(value).decode()
            found.append(row)
        now = f'{round(time.monotonic() * 1000)}ms'
        return {'rows': found, 'ver': self._ver, 'now': now, **more}

    def _get(self, args):
        low = args.get('from', '')
        high = args.get('target')
        limit = min(500, int(args.get('limit', 500)))
        rows = sorted(
            (table, key, value, ver)
            for (table, key), (value, ver) in self._rows.items()
            if table == args['table']
            and args.get('part', '') == ''
            and key >= low
            and (high is None or key < high)
        )
        return self._encode(rows[:limit], hasMore=len(rows) > limit)

    async def _feed(self, args):
        after = int(args['after'])
        end = time.monotonic() + int(args.get('waitMs', 0)) / 1000
        while True:
            found = [
                (table, key, value, ver)
                for ver, table, key, value in self._history
                if ver > after and table == args['table']
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return self._encode(found)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, tx):
        rows = [*tx.get('put', ()), *tx.get('remove', ())]
        if any(row['table'] in ('op', 'servers') for row in rows):
            return 403, {}
        current = []
        held = True
        for row in tx.get('expectedRev', ()):
            place = row['table'], row['key']
            value, ver = self._rows.get(place, (None, 0))
            held = held and ver == row['ver']
            current.append((*place, value, ver))
        if not held:
            return 412, self._encode(current)
        self._ver += 1
        for row in tx.get('put', ()):
            value = base64.b64decode(row['value'])
            self._set(row['table'], row['key'], value)
        for row in tx.get('remove', ()):
            self._set(row['table'], row['key'], None)
        return 200, self._encode([])

"""Stand-in for the platform: table, object store and delayed host list."""

import asyncio
import dataclasses
import time

from absl import app
from absl import flags
import msgspec

from standins import _serve

ADDRESS = flags.DEFINE_string('address', '127.0.0.1', 'IP address.')
PORT = flags.DEFINE_integer('port', 8300, 'TCP port.')
LAG_S = flags.DEFINE_float('lag_s', 1.0, 'Age of the list of hosts.')

JSON = [('content-type', 'application/json')]


@dataclasses.dataclass
class Faults:
    """Faults that tests inject."""

    down: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0


class Platform:
    """State of the platform and its HTTP interface."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.hosts = []
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    async def handle(self, req):
        if req.path.startswith('/_control/'):
            await self._control(req)
            return
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            await req.respond(503, JSON, b'{}')
            return
        status, headers, body = await self._serve(req)
        writes = req.method in ('POST', 'PUT')
        if writes and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            req.abort()
            return
        stamp = ('x-platform-time', f'{time.time():.6f}')
        await req.respond(status, [*headers, stamp], body)

    async def _serve(self, req):
        if req.method == 'GET':
            self.reads += 1
        else:
            self.writes += 1
        _, kind, *rest = req.path.split('/')
        key = '/'.join(rest)
        if kind == 'hosts':
            return 200, JSON, msgspec.json.encode(self._delayed_hosts())
        if kind == 'objects' and req.method == 'PUT':
            self.objects[key] = await _serve.read_body(req)
            return 200, JSON, b'{}'
        if kind == 'objects':
            found = self.objects.get(key)
            return (404, [], b'') if found is None else (200, [], found)
        if req.method == 'POST':
            return self._transact(await _serve.read_body(req))
        return self._read(req, key)

    def _read(self, req, key):
        if key not in self.rows:
            return 404, [], b''
        revision, value = self.rows[key]
        etag = f'"{revision}"'
        headers = [*JSON, ('etag', etag)]
        if req.headers.get('if-none-match') == etag:
            return 304, [('etag', etag)], b''
        row = {'key': key, 'revision': revision, 'value': value}
        return 200, headers, msgspec.json.encode(row)

    def _transact(self, data):
        found = msgspec.json.decode(data)
        for item in found['conditions']:
            revision, _ = self.rows.get(item['key'], (0, None))
            if revision != item['revision']:
                return 409, JSON, b'{}'
        for item in found['puts']:
            key, value = item['key'], item['value']
            if value is None:
                self.rows.pop(key, None)
                continue
            if 'accepted_at' in value:
                now = time.gmtime()
                value['accepted_at'] = time.strftime('%FT%TZ', now)
            revision, _ = self.rows.get(key, (0, None))
            self.rows[key] = (revision + 1, value)
        return 200, JSON, b'{}'

    def _delayed_hosts(self):
        then = time.monotonic() - LAG_S.value
        states = {}
        for at, name, state in self.hosts:
            if at <= then:
                states[name] = state
        return [{'name': n, 'state': s} for n, s in sorted(states.items())]

    async def _control(self, req):
        body = await _serve.read_body(req)
        found = msgspec.json.decode(body) if body else {}
        if req.path == '/_control/faults':
            self.faults = dataclasses.replace(self.faults, **found)
        elif req.path == '/_control/hosts':
            now = time.monotonic()
            rows = [(now, name, state) for name, state in found.items()]
            self.hosts.extend(rows)
        reply = {
            'reads': self.reads,
            'writes': self.writes,
            'rows': {key: value for key, (_, value) in self.rows.items()},
        }
        await req.respond(200, JSON, msgspec.json.encode(reply))


def main(argv):
    """Serve until SIGTERM."""
    del argv
    _serve.serve(ADDRESS.value, PORT.value, Platform().handle)


if __name__ == '__main__':
    app.run(main)

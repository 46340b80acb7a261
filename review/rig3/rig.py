"""Stand-ins and helpers of the cases 11 to 15, with the standard library only.

The store, the backend servers and the clients run in one process; each
steering host is a process of its own, started with the command of
``deploy/system.toml``. All addresses are loopback addresses and all ports are
free ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST_NAME = 'callers.example'
ZONES = {'a-1': 'a', 'b-1': 'b'}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_WITHIN_S = 25.0


class CouldNotRun(Exception):
    """The scene could not be played as the case describes it."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started_at = time.monotonic()

    def __call__(self, who, text):
        """Write one line; ``who`` is a client, a server or the platform."""
        at = time.monotonic() - self._started_at
        self._file.write(f'{at:8.3f} {who:<12} {text}\n')
        self._file.flush()


def free_port(address='127.0.0.1'):
    """Return a TCP port that is free at an address now."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def free_address():
    """Return a loopback address at which the fixed metrics port is free."""
    while True:
        address = '127.{}.{}.{}'.format(
            random.randrange(64, 250),
            random.randrange(1, 250),
            random.randrange(2, 250),
        )
        with socket.socket() as sock:
            try:
                sock.bind((address, 9464))
            except OSError:
                continue
        return address


class Store:
    """The platform's store: rows, feeds and transactions of PROTOCOL.md."""

    def __init__(self):
        self.port = 0
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row as the operator or a server does; None removes it."""
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        self._rows[table, '', key] = (data, self._version)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                first, *lines = head.split('\r\n')
                fields = dict(
                    line.lower().split(': ', 1) for line in lines if line
                )
                size = int(fields.get('content-length', 0))
                body = await reader.readexactly(size)
                status, found = await self._answer(first.split(' '), body)
                data = json.dumps(found).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(self, words, body):
        target = urllib.parse.urlsplit(words[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == '/rows-get':
            return 200, self._found(query['table'], 0, removed=False)
        if target.path == '/rows-feed':
            after = int(query['after'])
            end = time.monotonic() + int(query['waitMs']) / 1000
            found = self._found(query['table'], after)
            while not found['rows'] and time.monotonic() < end:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(end - time.monotonic()):
                        await self._changed.wait()
                found = self._found(query['table'], after)
            return 200, found
        if target.path == '/rows-tx':
            return self._transact(json.loads(body))
        return 404, {}

    def _found(self, table, after, removed=True):
        rows = []
        for (name, part, key), (data, ver) in sorted(self._rows.items()):
            if name != table or ver <= after or (data is None and not removed):
                continue
            row = {'table': name, 'part': part, 'key': key, 'ver': ver}
            if data is None:
                row['tombstone'] = True
            else:
                row['value'] = base64.b64encode(data).decode()
            rows.append(row)
        now_ms = round(time.monotonic() * 1000)
        return {
            'rows': rows,
            'hasMore': False,
            'ver': self._version,
            'now': f'{now_ms}ms',
        }

    def _transact(self, found):
        def place(row):
            return row['table'], row.get('part', ''), row['key']

        for row in found['expectedRev']:
            if self._rows.get(place(row), (None, 0))[1] != row['ver']:
                return 412, {'rows': []}
        self._version += 1
        for row in found['put']:
            data = base64.b64decode(row['value'])
            self._rows[place(row)] = (data, self._version)
        for row in found['remove']:
            self._rows[place(row)] = (None, self._version)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return 200, {'ver': self._version}


class Request:
    """A request as a server has read it; its body may still be on the way."""

    def __init__(self, head, reader):
        first, *lines = head.strip().split('\r\n')
        self.method, self.target, _ = first.split(' ')
        self.fields = {}
        for line in lines:
            name, _, value = line.partition(':')
            self.fields[name.lower()] = value.strip()
        self.id = self.fields.get('attempt-id', '')
        self.body = b''
        self.whole = False
        self._reader = reader

    @property
    def announced(self):
        """Length of the body, or None if it comes in chunks."""
        if self.fields.get('transfer-encoding', '').lower() == 'chunked':
            return None
        return int(self.fields.get('content-length', 0))

    async def read_some(self, size):
        """Read up to so many more bytes of a body of known length."""
        left = min(size, self.announced - len(self.body))
        part = await self._reader.read(left) if left else b''
        self.body += part
        self.whole = len(self.body) == self.announced
        return part

    async def read_rest(self):
        """Read the rest of the body; return whether all of it came."""
        if self.announced is None:
            await self._read_chunks()
        while not self.whole and await self.read_some(1 << 16):
            pass
        if self.announced is not None:
            self.whole = len(self.body) == self.announced
        return self.whole

    async def _read_chunks(self):
        while size := int(await self._reader.readuntil(b'\r\n'), 16):
            self.body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)
        self.whole = True


class Server:
    """A backend server.

    ``work`` is a coroutine function that gets the server, the request and the
    writer once the request has a slot; it answers, and returns whether the
    connection stays open. By default the server reads the whole request,
    works for ``work_s`` and answers it with its seal.
    """

    def __init__(self, name, service, zone, record, work=None, work_s=0.05):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = 6
        self.record = record
        self.work = work or Server.usual_work
        self.work_s = work_s
        self.runs = []
        self.port = 0
        self._running = 0
        self._free = asyncio.Semaphore(self.slots)
        self._started_ms = time.time_ns() // 1_000_000

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 16
        )
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        """Return the registration of the server."""
        return {
            'born': self._started_ms,
            'address': f'127.0.0.1:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'sequence': 1,
                'warmupLeft': '0ms',
            },
        }

    def seal(self, req):
        """Return the proof that this server ran a request."""
        return f'{self.name}.{req.id}'

    def head(self, req, status, *rows, sealed=True):
        """Return the head of an answer without the rows of its body."""
        found = [f'HTTP/1.1 {status} X', f'Attempt-Id: {req.id}']
        found.append(f'Server-Load: {self._running},0,{self.slots}')
        if sealed:
            found.append(f'Server-Seal: {self.seal(req)}')
        return '\r\n'.join([*found, *rows]).encode() + b'\r\n\r\n'

    def answer(self, writer, req, body, status=200):
        """Answer a request whole."""
        row = f'Content-Length: {len(body)}'
        writer.write(self.head(req, status, row) + body)

    async def usual_work(self, req, writer):
        """Read, work, answer."""
        if not await req.read_rest():
            return False
        self.note_run(req)
        await asyncio.sleep(self.work_s)
        self.answer(writer, req, b'done ' + req.id.encode())
        return True

    def note_run(self, req):
        """Record that the server begins to work on a request."""
        self.runs.append(req)
        self.record(
            self.name,
            f'begins to work on {req.id} {req.method} {req.target}, '
            f'has {len(req.body)} bytes of its body',
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                req = Request(head.decode('latin-1'), reader)
                if req.fields.get('expect-instance') not in (None, self.name):
                    writer.write(self.head(
                        req, 421, 'Content-Length: 0', sealed=False
                    ))
                    await req.read_rest()
                    continue
                async with self._free:
                    self._running += 1
                    try:
                        if not await self.work(self, req, writer):
                            break
                    finally:
                        self._running -= 1
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


def route(name, kind, service, timeout_ms, **more):
    """Return a route of the configuration; its prefix is its name."""
    return {
        'name': name,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout': f'{timeout_ms}ms',
        'targetLatency': '800ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': True,
        'allowedRegions': [],
        **more,
    }


def configuration(number, routes):
    """Return a configuration as the operator writes it."""
    services = sorted({row['service'] for row in routes})
    return {
        'version': number,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConns': 330,
                'warmup': '3s',
                'warmupPerS': 4.8,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'hosts': [{'host': HOST_NAME, 'paths': routes}],
    }


class SteeringHost:
    """A steering host's process, with the settings of a small deployment."""

    def __init__(self, name, zone, store, folder, more=None):
        self.name = name
        self.address = free_address()
        self.callers_port = free_port(self.address)
        first = free_port(self.address)
        self._settings = {
            'host': name,
            'data_centre': zone,
            'region': ZONES[zone],
            'address': self.address,
            'callers': f'{self.address}:{self.callers_port}',
            'readiness': f'{self.address}:{free_port(self.address)}',
            'lookups': f'{self.address}:{free_port(self.address)}',
            'peer_ports': [min(first, 65000), min(first, 65000) + 15],
            'data_centres': ZONES,
            'store': f'127.0.0.1:{store.port}',
            'core_share': 0.86,
            'core_speed': 1,
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'max_fds': 4100,
            'terms': {
                'grace': '6s',
                'lookup_ttl': '5s',
                'contact': '4000ms',
                'repeat_ratio': 0.2,
                'repeat_window': '10s',
                'repeat_slack': 56,
            },
            **(more or {}),
        }
        self._folder = pathlib.Path(folder)
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *words = deploy['roles']['entry']['run'].split(' ')
        if program == 'python3':
            program = sys.executable
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        words = [
            f'--settings={path}' if word.startswith('--settings=') else word
            for word in words
        ]
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [program, *words], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        address, port = self._settings['readiness'].split(':')
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
        except OSError:
            return False
        writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        first = await reader.readline()
        writer.close()
        return b' 200 ' in first

    async def wait_until_ready(self):
        """Wait until the host is ready."""
        end = time.monotonic() + READY_WITHIN_S
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise CouldNotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)

    def memory_mb(self):
        """Return the resident memory of the process in MB."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def log_lines(self, text):
        """Return the lines of the host's log that hold a text."""
        log = (self._folder / f'{self.name}.log').read_text()
        return [line for line in log.splitlines() if text in line]


class World:
    """A small deployment: a store, servers and steering hosts."""

    def __init__(self, folder, routes):
        self.record = Record(folder)
        self.store = Store()
        self.servers = []
        self.hosts = []
        self._routes = routes
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *exc_info):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
            if host.process is not None:
                host.process.wait()
        self._temporary.cleanup()

    async def add_server(self, service, zone, kind=Server, **more):
        """Start a server and register it."""
        name = f'i-{len(self.servers) + 1:04d}'
        server = kind(name, service, zone, self.record, **more)
        await server.start()
        self.servers.append(server)
        self.store.put('servers', name, server.entry())
        return server

    async def start_hosts(self, zones, more=None):
        """Write the configuration, start a host in each zone, and wait."""
        self.store.put('op', 'config', configuration(7, self._routes))
        for zone in zones:
            host = SteeringHost(
                f'front-{len(self.hosts) + 1}',
                zone,
                self.store,
                self._temporary.name,
                more,
            )
            host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await host.wait_until_ready()
            self.record('platform', f'{host.name} is ready')


class Answer:
    """An answer as a client has read it."""

    def __init__(self, status=0, fields=None, body=b'', whole=False, why=''):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.whole = whole
        self.why = why

    def __str__(self):
        if not self.status:
            return f'no answer ({self.why})'
        state = 'whole' if self.whole else f'not whole ({self.why})'
        seal = 'with' if 'server-seal' in self.fields else 'without'
        return f'{self.status} {seal} a seal, {len(self.body)} bytes, {state}'


async def _read_chunked(reader, found):
    """Read a body in chunks; the chunks are only parsed at its end.

    Parsing each of very many small chunks as it comes would make the client
    the slowest part of a scene. It is right only for a client that has sent
    no other request behind this one.
    """
    raw = bytearray()
    while not (raw == b'0\r\n\r\n' or raw.endswith(b'\r\n0\r\n\r\n')):
        part = await reader.read(1 << 18)
        if not part:
            found.body = bytes(raw)
            raise asyncio.IncompleteReadError(b'', None)
        raw += part
    data, at, parts = bytes(raw), 0, []
    while True:
        end = data.index(b'\r\n', at)
        size = int(data[at:end], 16)
        if not size:
            break
        parts.append(data[end + 2 : end + 2 + size])
        at = end + 4 + size
    found.body = b''.join(parts)


async def watch_own_lag(lags):
    """Note by how much the event loop of the stand-ins is late."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(0.02)
        lags.append(time.monotonic() - began_at - 0.02)


async def read_answer(reader, limit_s=20.0):
    """Read one answer; interim answers are passed over."""
    found = Answer()
    try:
        async with asyncio.timeout(limit_s):
            status = 100
            while status < 200:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.strip().split('\r\n')
                status = int(first.split(' ')[1])
            fields = {}
            for line in lines:
                name, _, value = line.partition(':')
                fields[name.lower()] = value.strip()
            found.status, found.fields = status, fields
            if 'content-length' in fields:
                size = int(fields['content-length'])
                found.body = await reader.readexactly(size)
            elif fields.get('transfer-encoding', '').lower() == 'chunked':
                await _read_chunked(reader, found)
            else:
                found.body = await reader.read()
            found.whole = True
    except TimeoutError:
        found.why = f'nothing more within {limit_s} s'
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        found.why = type(exc).__name__
    return found


def request_head(method, target, req, deadline_ms, *rows):
    """Return the head of a client's request."""
    found = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Attempt-Id: {req}',
        f'Deadline-Ms: {deadline_ms}',
        *rows,
    ]
    return '\r\n'.join(found).encode() + b'\r\n\r\n'


def main(folder, play):
    """Play a scene; exit as the rules of a script say.

    ``play`` is a coroutine function that gets the folder and returns a list
    of sentences, one for each time that the rule was broken.
    """
    try:
        async def limited():
            async with asyncio.timeout(110):
                return await play(folder)

        broken = asyncio.run(limited())
    except (CouldNotRun, TimeoutError, OSError) as exc:
        print(f'could not run: {exc!r}')
        sys.exit(COULD_NOT_RUN)
    for sentence in broken:
        print(sentence)
    print('broken' if broken else 'held', '' if TROUBLE else '(TROUBLE=0)')
    sys.exit(BROKEN if broken else HELD)

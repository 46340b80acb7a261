"""A backend server: slots, a queue, instance names, seals and refusals."""

import asyncio
import hashlib
import time

from rig import http


class Request:
    """A request as a backend server received it."""

    def __init__(self, first, headers):
        self.method, self.target, _ = first.split(' ')
        self.headers = headers
        self.id = headers.get('attempt-id', '')
        self.body = b''

    @property
    def digest(self):
        return hashlib.sha256(self.body).hexdigest()[:16]


class Upstream:
    """Serves the requests of one service; one at a time on a connection.

    ``work_s`` is called with each request and returns for how long it runs.
    ``refuses`` is called with each request and returns whether the server is
    full for it.
    """

    def __init__(self, record, name, service, zone, address, slots=3):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.port = 0
        self.work_s = lambda req: 0.05
        self.refuses = lambda req: False
        self.answer_body = lambda req: req.id.encode()
        self.runs = []
        self.born = 0
        self._sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._running = 0
        self._waiting = 0
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def row(self, state='ready'):
        """Return the next row for the store."""
        self._sequence += 1
        return {
            'address': f'{self.address}:{self.port}',
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self._slot_count,
            },
            'status': {
                'state': state,
                'sequence': self._sequence,
                'warmupLeft': '0ms',
            },
        }

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (http.Closed, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(self, reader, writer):
        req = Request(*await http.read_head(reader))
        if req.target == '/health':
            await http.read_body(reader, req.headers)
            self._answer(writer, 200, [('Instance-Id', self.name)], b'')
            return True
        expected = req.headers.get('expect-instance')
        if expected not in (None, self.name):
            await http.read_body(reader, req.headers)
            self.record(f'{self.name} answers 421 to {req.id}')
            rows = [('Instance-Id', self.name), ('Attempt-Id', req.id)]
            self._answer(writer, 421, rows, b'')
            return True
        return await self.take(req, reader, writer)

    async def take(self, req, reader, writer):
        """Read the body, refuse or run the request, and answer it."""
        req.body = await http.read_body(reader, req.headers)
        if self.refuses(req):
            self.refuse(req, writer)
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                self.note_run(req)
                await self.work(self.work_s(req), reader)
            finally:
                self._running -= 1
        self.finish(req, writer)
        return True

    def refuse(self, req, writer):
        """Say that the request was not run, as the server is full."""
        self.record(
            f'{self.name} is full: 503 Not-Executed to {req.id} after'
            f' {len(req.body)} body bytes'
        )
        rows = [('Attempt-Id', req.id), ('Not-Executed', '1')]
        self._answer(writer, 503, rows, b'')

    def note_run(self, req):
        """Record that the server begins to work on a request."""
        self.runs.append(req)
        self.record(
            f'{self.name} runs {req.id} {req.method} {req.target}'
            f' body {len(req.body)} bytes {req.digest}'
        )

    async def work(self, seconds, reader):
        """Work; end early if the connection closes."""
        end = time.monotonic() + seconds
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                raise http.Closed('the sender left')
            await asyncio.sleep(min(0.01, left_s))

    def finish(self, req, writer):
        """Answer a request that was run."""
        body = self.answer_body(req)
        rows = [
            ('Attempt-Id', req.id),
            ('Server-Seal', f'{self.name}.{req.id}'),
        ]
        self._answer(writer, 200, rows, body)
        self.record(f'{self.name} answers 200 to {req.id}')

    def _answer(self, writer, status, rows, body):
        load = f'{self._running},{self._waiting},{self._slot_count}'
        writer.write(
            http.head(
                f'HTTP/1.1 {status} X',
                [
                    *rows,
                    ('Server-Load', load),
                    ('Content-Length', len(body)),
                ],
            )
            + body
        )

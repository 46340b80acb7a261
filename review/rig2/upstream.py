"""A stand-in for an upstream, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import hashlib
import time

from review.rig2 import http

EOF_CHECK_S = 0.01


@dataclasses.dataclass
class Run:
    """One request on which an upstream worked."""

    req: str
    target: str
    server: str
    source: str
    digest: str
    began: float
    ended: float = 0.0
    # 'running', 'done', 'caller left', or 'crashed'.
    end: str = 'running'


class Upstream:
    """An upstream with slots and a queue.

    ``work_s`` and ``answer_bytes`` are called with the upstream and the
    target of a request. ``deadly`` holds the paths that crash it.
    """

    numbers = 0

    def __init__(
        self,
        service,
        zone,
        address,
        note,
        work_s=lambda server, target: 0.1,
        answer_bytes=lambda target: 200,
        slots=3,
        queue=9,
    ):
        Upstream.numbers += 1
        self.service, self.zone, self.address = service, zone, address
        self.name = f'i-{Upstream.numbers:04x}'
        self.slots, self.queue = slots, queue
        self.work_s, self.answer_bytes = work_s, answer_bytes
        self.deadly = set()
        # Bytes of a long body after which the answer is sent; the rest is
        # read later. None: after the whole body.
        self.early_after = None
        self.runs = []
        self.arrivals = []
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.down_s = 2.0
        self.on_start = lambda server: None
        self.on_crash = lambda server: None
        self._note = note
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._tasks = set()
        self._writers = set()

    async def start(self):
        """Listen, at the former port after a crash."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self._free = asyncio.Semaphore(self.slots)
        self._running = self._waiting = 0
        self.on_start(self)

    async def stop(self):
        """Reset all connections and stop listening."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def crash(self):
        """Crash, and come back after ``down_s`` as a new lifetime."""
        if not self._server.is_serving():
            return
        self._note(f'{self.name} crashes with {self._running} requests')
        self.on_crash(self)
        for run in self.runs:
            if run.end == 'running':
                run.end, run.ended = 'crashed', time.monotonic()
        await self.stop()
        await asyncio.sleep(self.down_s)
        await self.start()
        self._note(f'{self.name} is back')

    def entry(self):
        """Return the row of this upstream, written once more."""
        self.sequence += 1
        return {
            'born': self.born,
            'address': f'{self.address}:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'sequence': self.sequence,
                'warmupLeft': '0ms',
            },
        }

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (http.BrokenAnswerError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        words, headers = await http.read_head(reader)
        req, target = headers.get('attempt-id', ''), words[1]
        source = writer.get_extra_info('peername')[0]
        if self._answers_early(headers):
            await self._answer_early(reader, writer, req, target, headers)
            return
        body = await http.read_body(reader, headers)
        if headers.get('expect-instance', self.name) != self.name:
            self._answer(writer, req, 421)
            return
        self.arrivals.append((time.monotonic(), req, target, source))
        if self._waiting >= self.queue:
            self._answer(writer, req, 503)
            return
        limit_s = int(headers.get('deadline-ms', '60000')) / 1000
        until = time.monotonic() + limit_s
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        run = Run(
            req,
            target,
            self.name,
            source,
            hashlib.sha256(body).hexdigest()[:16],
            time.monotonic(),
        )
        self.runs.append(run)
        self._note(f'{self.name} runs {req} {target}')
        try:
            status = await self._work(run, reader, target, until)
        finally:
            self._running -= 1
            self._free.release()
            if run.end != 'crashed':
                run.ended = time.monotonic()
                self._note(f'{self.name} ends {req}: {run.end}')
        size = self.answer_bytes(target) if status == 200 else 0
        text = f'{req}={run.digest};'.encode()
        data = (text * (1 + size // len(text)))[: max(size, len(text))]
        self._answer(writer, req, status, data, sealed=True)
        await writer.drain()

    def _answers_early(self, headers):
        size = int(headers.get('content-length', 0))
        return self.early_after is not None and size > self.early_after

    async def _answer_early(self, reader, writer, req, target, headers):
        """Work on a long request as it arrives; answer before its end."""
        source = writer.get_extra_info('peername')[0]
        run = Run(req, target, self.name, source, '', time.monotonic())
        self.arrivals.append((run.began, req, target, source))
        self.runs.append(run)
        self._note(f'{self.name} runs {req} {target}')
        size = int(headers['content-length'])
        try:
            await reader.readexactly(self.early_after)
            run.end, run.ended = 'done', time.monotonic()
            self._note(f'{self.name} answers {req} 200 early')
            self._answer(writer, req, 200, b'kept', sealed=True)
            await writer.drain()
            await reader.readexactly(size - self.early_after)
        except (asyncio.IncompleteReadError, OSError) as exc:
            raise http.BrokenAnswerError('the body ends early') from exc

    async def _work(self, run, reader, target, until):
        work_s = self.work_s(self, target)
        if target in self.deadly:
            await asyncio.sleep(0.05)
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(60)
        end = time.monotonic() + work_s
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                run.end = 'caller left'
                raise http.BrokenAnswerError('the caller left')
            if time.monotonic() > until:
                run.end = 'time limit'
                return 504
            await asyncio.sleep(min(left_s, EOF_CHECK_S))
        run.end = 'done'
        return 200

    def _answer(self, writer, req, status, body=b'', sealed=False):
        rows = [
            f'HTTP/1.1 {status} X',
            f'Attempt-Id: {req}',
            f'Server-Load: {self._running},{self._waiting},{self.slots}',
            f'Server-Seal: {self.name}' if sealed else 'Not-Executed: 1',
            f'Content-Length: {len(body)}',
        ]
        writer.write(('\r\n'.join(rows) + '\r\n\r\n').encode() + body)

"""Stand-in for a backend server of the users' platform.

It speaks HTTP/1.1 on plain streams, since it has to do what no library does:
answer twice, late, early, without a length, in part, or for another request.
"""

import asyncio
import collections
import dataclasses
import hashlib
import itertools
import time

from standins import server_records

_numbers = itertools.count(1)
# Of a stalled answer: more than any host holds, and what comes of it.
STALLED_BYTES, STALLED_AFTER_BYTES = 900_000, 600_000
# Bytes without end, in place of an answer or after the start of one.
ENDLESS = {
    'head': (b'HTTP/1.1 200 OK\r\nX: ', b'y' * 16_384),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 256),
    'body': (b'HTTP/1.1 200 OK\r\n', b'y' * 16_384),
    'after': (b'', b'y' * 16_384),
}
# How often a run looks whether its caller is still there.
WORK_STEP_S = 0.01


class Upstream:
    """A backend server; an async context manager.

    Parameters
    ==========
    service : str
        What it serves.
    data_centre : str
        Where it stands.
    address : str
        IP number to listen on.
    slots, queue : int
        Requests that run and that wait.
    work_s : float
        Time of a request about an object that it does not remember.
    warm_share : float
        Part of that time for one that it remembers.
    remembers : int
        Objects that it remembers.
    """

    def __init__(
        self,
        service,
        data_centre,
        address='127.0.0.1',
        slots=3,
        queue=9,
        work_s=0.02,
        warm_share=0.3,
        remembers=28,
    ):
        self.service = service
        self.data_centre = data_centre
        self.faults = server_records.UpstreamFaults()
        self.runs = []
        self.arrivals = []
        self.hold_offs = []
        self.connections = 0
        self.draining = False
        self.warmup_left_s = 0.0
        # Whether each answer says that the server leaves.
        self.says_leaving = False
        # What a refusal asks for; it refuses until then.
        self.hold_off_s = 0.0
        self.held_off_until = 0.0
        self.instance = f'i-{next(_numbers):06d}'
        self.port = 0
        self.started_ms = 0
        self._started_at = 0.0
        self._sequence = 0
        self.address = address
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queue = queue
        self._work_s = work_s
        self._warm_share = warm_share
        self._remembers = remembers
        self._objects = collections.OrderedDict()
        self._running = 0
        self._waiting = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.started_ms = time.time_ns() // 1_000_000
        self._started_at = time.monotonic()
        self._sequence = 0
        return self

    async def __aexit__(self, *exc_info):
        await self.crash()

    @property
    def open_connections(self):
        """How many callers are connected."""
        return len(self._writers)

    async def crash(self):
        """Reset all connections and stop listening."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def restart(self, instance=None):
        """Start again at the same address, under a new name or the old."""
        await self.crash()
        self.instance = instance or f'i-{next(_numbers):06d}'
        self._objects.clear()
        await self.__aenter__()

    def entry(self):
        """Return what it registers in the store; each counts on."""
        self._sequence += 1
        return {
            'born': self.started_ms,
            'address': f'{self.address}:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.data_centre,
                'slots': self._slot_count,
            },
            'status': {
                'state': 'draining' if self.draining else 'ready',
                'sequence': self._sequence,
                'warmupLeft': f'{round(self.warmup_left_s * 1000)}ms',
            },
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            # The caller left or the server was told to crash.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        if self._take('early'):
            self._answer(writer, headers, 200, b'early')
            await self._read_body(reader, headers)
            return True
        body = await self._read_body(reader, headers)
        return await self._run(reader, writer, method, target, headers, body)

    async def _read_body(self, reader, headers):
        if headers.get('transfer-encoding') == 'chunked':
            parts = []
            while size := int(await reader.readuntil(b'\r\n'), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
            return b''.join(parts)
        return await reader.readexactly(int(headers.get('content-length', 0)))

    def _take(self, name):
        left = getattr(self.faults, name)
        if left > 0:
            setattr(self.faults, name, left - 1)
        return left > 0

    async def _run(self, reader, writer, method, target, headers, body):
        expected = headers.get('expect-instance')
        misdirected = expected is not None and expected != self.instance
        arrival = server_records.Arrival(
            headers.get('attempt-id', ''),
            self.instance,
            writer.get_extra_info('peername')[0],
            time.monotonic(),
            self.warmup_left_s > 0,
            misdirected,
            self._started_at,
        )
        self.arrivals.append(arrival)
        if misdirected:
            self._answer(writer, headers, 421, b'', sealed=False)
            return True
        if arrival.at < self.held_off_until:
            self.hold_offs.append(
                server_records.HoldOff(
                    arrival.source,
                    self.instance,
                    arrival.at,
                    self.held_off_until,
                )
            )
            self._answer(writer, headers, 503, b'', sealed=False)
            return True
        if self._waiting >= self._queue or self._take('shed'):
            self._answer(writer, headers, 503, b'', sealed=False)
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                return await self._work(
                    reader, writer, method, target, headers, body
                )
            finally:
                self._running -= 1

    async def _work_for(self, seconds, reader):
        """Pass time; drop the request if its caller closed."""
        end = time.monotonic() + seconds
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                raise ConnectionResetError('the caller left')
            await asyncio.sleep(min(left_s, WORK_STEP_S))

    def _work_time_s(self, headers):
        name = headers.get('cookie', '')
        warm = name in self._objects
        self._objects[name] = True
        self._objects.move_to_end(name)
        while len(self._objects) > self._remembers:
            self._objects.popitem(last=False)
        return self._work_s * (self._warm_share if warm else 1.0)

    async def _work(self, reader, writer, method, target, headers, body):
        run = server_records.UpstreamRun(
            headers.get('attempt-id', ''),
            self.instance,
            self.service,
            target,
            method,
            hashlib.sha256(body).hexdigest(),
            time.monotonic(),
        )
        number = len(self.runs)
        self.runs.append(run)
        if self._take('hang'):
            await self._work_for(3600, reader)
        await self._work_for(self._work_time_s(headers), reader)
        self.runs[number] = dataclasses.replace(run, ended=True)
        if self._take('reset'):
            writer.transport.abort()
            return False
        if self._take('stall'):
            whole = bytes(STALLED_BYTES)
            self._answer(writer, headers, 200, whole, sent=STALLED_AFTER_BYTES)
            await self._work_for(3600, reader)
        if self.faults.endless:
            await self._send_for_ever(writer, headers, run.req, body)
        return self._finish(writer, headers, run.req.encode() + b'=' + body)

    async def _send_for_ever(self, writer, headers, req, body):
        """Send until the caller closes."""
        first, more = ENDLESS[self.faults.endless]
        if self.faults.endless == 'after':
            self._answer(writer, headers, 200, req.encode() + b'=' + body)
        elif self.faults.endless == 'body':
            rows = f'Attempt-Id: {req}\r\nServer-Seal: x\r\n\r\n'
            first += rows.encode()
        writer.write(first)
        while True:
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(0)

    def _finish(self, writer, headers, body):
        if self._take('garbage'):
            writer.write(b'\x00\x01 no answer\r\n\r\n')
            return True
        if self._take('fail'):
            self._answer(writer, headers, 500, b'failed')
            return True
        if self._take('cut'):
            self._answer(writer, headers, 200, body, sent=len(body) // 2)
            writer.close()
            return False
        if self._take('unframed'):
            self._answer(writer, headers, 200, body, framed=False)
            writer.close()
            return False
        if self._take('foreign'):
            other = {**headers, 'attempt-id': 'someone-elses'}
            self._answer(writer, other, 200, b'foreign')
        if self._take('extra_late'):
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._answer, writer, headers, 200, b'late')
        self._answer(writer, headers, 200, body)
        if self._take('extra'):
            self._answer(writer, headers, 200, b'extra')
        return True

    def _answer(
        self,
        writer,
        headers,
        status,
        body,
        sealed=True,
        framed=True,
        sent=None,
    ):
        rows = [f'HTTP/1.1 {status} X', f'Server-Load: {self._load()}']
        rows.append(f'Attempt-Id: {headers.get("attempt-id", "")}')
        if sealed:
            rows.append(f'Server-Seal: {self.instance}')
        else:
            rows.append('Not-Executed: 1')
        if self.says_leaving:
            rows.append('Server-Leaving: 1')
        if status == 503 and self.hold_off_s:
            left_s = max(0.0, self.held_off_until - time.monotonic())
            rows.append(f'Retry-After: {left_s or self.hold_off_s:.2f}')
        if self.warmup_left_s:
            rows.append(f'Warmup-Ms: {round(self.warmup_left_s * 1000)}')
        if framed:
            rows.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(rows) + '\r\n\r\n'
        writer.write(head.encode() + body[:sent])

    def _load(self):
        return f'{self._running},{self._waiting},{self._slot_count}'

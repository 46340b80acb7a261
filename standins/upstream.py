"""Stand-in for a backend server of the users' platform.

It writes HTTP/1.1 to plain streams, because it has to break the protocol in
ways that no server library supports: it answers twice, late, early, without
a length, in part, or with the answer to another request.
"""

import asyncio
import collections
import dataclasses
import hashlib
import itertools
import time

from standins import limits
from standins import server_records

_instance_numbers = itertools.count(1)
# Length of a stalled answer, more than any host buffers, and the part sent.
STALLED_ANSWER_BYTES, STALLED_SENT_BYTES = 900_000, 600_000
# First bytes and endlessly repeated bytes by kind of the ``endless`` fault.
ENDLESS = {
    'head': (b'HTTP/1.1 200 OK\r\nX: ', b'y' * 16_384),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 256),
    'body': (b'HTTP/1.1 200 OK\r\n', b'y' * 16_384),
    'after': (b'', b'y' * 16_384),
}
# Interval at which a run checks whether its client closed the connection.
CLIENT_CHECK_S = 0.01

# A deadly request crashes the server after this time of work, and the server
# is down for the second one.
CRASH_AFTER_S = 0.05
CRASH_DOWN_S = 1.5


class Upstream:
    """A backend server; an async context manager.

    Parameters
    ==========
    service : str
        Name of the service.
    data_centre : str
        Name of its data centre.
    address : str
        IP address to listen on.
    slots, queue : int
        Limits of running and of queued requests.
    work_s : float
        Run time of a request for an object that is not cached.
    warm_share : float
        Fraction of ``work_s`` that a request for a cached object takes.
    cache_size : int
        Capacity of the object cache, evicted in LRU order.
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
        cache_size=28,
    ):
        self.service = service
        self.data_centre = data_centre
        self.faults = server_records.UpstreamFaults()
        self.runs = []
        self.arrivals = []
        self.hold_offs = []
        # Times at which a deadly request crashed the server, and what is
        # called with the server when it is back.
        self.crashed_at = []
        self.on_return = lambda server: None
        self.connections = 0
        self.draining = False
        self.warmup_left_s = 0.0
        # Whether each answer carries the ``Server-Leaving`` header.
        self.says_leaving = False
        # The limits that answers named, the last one being in force.
        self.named_limits = []
        # Length of a hold-off, sent as Retry-After, and its end (monotonic).
        self.hold_off_s = 0.0
        self.held_off_until = 0.0
        self.instance = f'i-{next(_instance_numbers):06d}'
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
        self._cache_size = cache_size
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
        """Number of open client connections."""
        return len(self._writers)

    async def crash(self):
        """Reset all connections and stop listening."""
        self._server.close()
        if self.limit_per_s is not None:
            self.name_limit(None)
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _crash_for_a_while(self):
        """Crash and restart under the same name after CRASH_DOWN_S."""
        if not self._server.is_serving():
            return
        self.crashed_at.append(time.monotonic())
        await self.crash()
        await asyncio.sleep(CRASH_DOWN_S)
        await self.restart(self.instance)
        self.on_return(self)

    async def restart(self, instance=None):
        """Restart at the same address, by default as a new instance."""
        await self.crash()
        self.instance = instance or f'i-{next(_instance_numbers):06d}'
        self._objects.clear()
        await self.__aenter__()

    def set_work(self, work_s):
        """Set the run time of requests for objects that are not cached."""
        self._work_s = work_s

    def set_slots(self, slots):
        """Set the limits of running and of queued requests."""
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = self._queue = slots

    def name_limit(self, per_s):
        """Name a limit of requests per second from now on; None ends it."""
        self.named_limits.append(
            limits.NamedLimit(self.instance, time.monotonic(), per_s)
        )

    @property
    def limit_per_s(self):
        """The limit that answers name now, or None."""
        return self.named_limits[-1].per_s if self.named_limits else None

    def entry(self):
        """Return the next registration for the store.

        Each call increments its sequence number.
        """
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
            # The client closed the connection, or ``crash`` was called.
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
        if self._consume_fault('early'):
            self._answer(writer, headers, 200, b'early')
            await self._read_body(reader, headers)
            return True
        if self._consume_fault('shed_early'):
            self._answer(writer, headers, 503, b'', sealed=False)
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

    def _consume_fault(self, name):
        left = getattr(self.faults, name)
        if left > 0:
            setattr(self.faults, name, left - 1)
        return left > 0

    async def _run(self, reader, writer, method, target, headers, body):
        expected = headers.get('expect-instance')
        misdirected = self._consume_fault('misdirect') or (
            expected is not None and expected != self.instance
        )
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
        if self._waiting >= self._queue or self._consume_fault('shed'):
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
        """Sleep; raise an error once the client closes the connection."""
        end = time.monotonic() + seconds
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof():
                raise ConnectionResetError(
                    'the client closed the connection during its request'
                )
            await asyncio.sleep(min(left_s, CLIENT_CHECK_S))

    def _work_time_s(self, headers):
        name = headers.get('cookie', '')
        warm = name in self._objects
        self._objects[name] = True
        self._objects.move_to_end(name)
        while len(self._objects) > self._cache_size:
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
        if target in self.faults.deadly:
            await self._work_for(CRASH_AFTER_S, reader)
            asyncio.get_running_loop().create_task(self._crash_for_a_while())
            await self._work_for(3600, reader)
        if self._consume_fault('hang'):
            await self._work_for(3600, reader)
        await self._work_for(self._work_time_s(headers), reader)
        self.runs[number] = dataclasses.replace(run, ended=True)
        if self._consume_fault('reset'):
            writer.transport.abort()
            return False
        if self._consume_fault('stall'):
            whole = bytes(STALLED_ANSWER_BYTES)
            self._answer(writer, headers, 200, whole, sent=STALLED_SENT_BYTES)
            await self._work_for(3600, reader)
        if self.faults.endless:
            await self._send_endlessly(writer, headers, run.req, body)
        return self._finish(writer, headers, run.req.encode() + b'=' + body)

    async def _send_endlessly(self, writer, headers, req, body):
        """Send the ``endless`` fault until the client closes."""
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
        if self._consume_fault('garbage'):
            writer.write(b'\x00\x01 no answer\r\n\r\n')
            return True
        if self._consume_fault('fail'):
            self._answer(writer, headers, 500, b'failed')
            return True
        if self._consume_fault('cut'):
            self._answer(writer, headers, 200, body, sent=len(body) // 2)
            writer.close()
            return False
        if self._consume_fault('unframed'):
            self._answer(writer, headers, 200, body, framed=False)
            writer.close()
            return False
        if self._consume_fault('foreign'):
            other = {**headers, 'attempt-id': 'someone-elses'}
            self._answer(writer, other, 200, b'foreign')
        if self._consume_fault('extra_late'):
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._answer, writer, headers, 200, b'late')
        self._answer(writer, headers, 200, body)
        if self._consume_fault('extra'):
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
        if self.limit_per_s is not None:
            rows.append(f'Server-Limit: {self.limit_per_s}')
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

"""Stand-in for a backend server.

It has a limited number of slots, a delayed load report and a slow cold start.
It sheds requests for which no slot is free, accepts cancellations, and
records the requests that it ran.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random
import time

from absl import app
from absl import flags
import msgspec

from standins import _serve
from standins import history

NAME = flags.DEFINE_string('name', 'backend', 'Name of the server.')
ADDRESS = flags.DEFINE_string('address', '127.0.0.1', 'IP address.')
PORT = flags.DEFINE_integer('port', 8500, 'TCP port.')
SLOTS = flags.DEFINE_integer('slots', 3, 'Concurrent requests.')
SERVICE_MS = flags.DEFINE_float('service_ms', 5.0, 'Mean request time.')
COLD_S = flags.DEFINE_float('cold_s', 0.0, 'Length of the cold start.')
COLD_FACTOR = flags.DEFINE_float('cold_factor', 4.0, 'Slowdown when cold.')
LAG_S = flags.DEFINE_float('lag_s', 1.0, 'Age of the load report.')
SEED = flags.DEFINE_integer('seed', 1, 'Seed of the service times.')

JSON = [('content-type', 'application/json')]
NOT_RUN = ('x-request-status', 'not-run')
CHUNK = 65_536


@dataclasses.dataclass(frozen=True)
class Run:
    """One state change of a request, recorded by the server."""

    req: str
    method: str
    path: str
    key: str | None
    state: str
    at: float


@dataclasses.dataclass
class Faults:
    """Faults that tests inject; integers count further requests they hit."""

    hang: int = 0
    reset_before_run: int = 0
    reset_after_run: int = 0
    truncate: int = 0
    stall: int = 0
    foreign: int = 0
    lie_free: bool = False
    service_ms: float | None = None


class Backend:
    """State of the server: slots, load reports, runs and faults."""

    def __init__(self):
        self.busy = 0
        self.most_busy = 0
        self.leaving_since = None
        self.faults = Faults()
        self.runs = []
        self.cancelled = set()
        self.running = {}
        self.started_at = time.monotonic()
        self.shed = 0
        self._reports = collections.deque([(self.started_at, 0)])
        self._rng = random.Random(SEED.value)

    def record_run(self, req, method, path, key, state):
        run = Run(req, method, path, key, state, time.time())
        self.runs.append(run)
        # The log outlives the process, so the runs of a killed server count.
        print(history.RUN_MARK + msgspec.json.encode(run).decode(), flush=True)

    def cold(self):
        return time.monotonic() - self.started_at < COLD_S.value

    def service_s(self):
        mean_ms = self.faults.service_ms or SERVICE_MS.value
        factor = COLD_FACTOR.value if self.cold() else 1.0
        return self._rng.expovariate(1.0) * mean_ms * factor / 1000

    def occupy_slot(self):
        self._set_busy(self.busy + 1)
        self.most_busy = max(self.most_busy, self.busy)

    def release_slot(self):
        self._set_busy(self.busy - 1)

    def _set_busy(self, busy):
        self.busy = busy
        self._reports.append((time.monotonic(), busy))

    def reported_busy(self):
        """Return the number of busy slots ``lag_s`` ago."""
        if self.faults.lie_free:
            return 0
        then = time.monotonic() - LAG_S.value
        while len(self._reports) > 1 and self._reports[1][0] <= then:
            self._reports.popleft()
        return self._reports[0][1]


class Server:
    """HTTP interface of a backend."""

    def __init__(self):
        self.backend = Backend()

    async def handle(self, req):
        if req.path.startswith('/_control/'):
            await self._control(req)
            return
        backend = self.backend
        if self._consume_fault('reset_before_run'):
            req.abort()
            return
        if backend.busy >= SLOTS.value:
            backend.shed += 1
            await self._reject(req)
            return
        backend.occupy_slot()
        try:
            await self._run(req)
        finally:
            backend.release_slot()

    def _consume_fault(self, name):
        left = getattr(self.backend.faults, name)
        if left > 0:
            setattr(self.backend.faults, name, left - 1)
            return True
        return False

    def _identity(self, req):
        return (
            req.headers.get('x-request-id', ''),
            req.method,
            req.path,
            req.headers.get('idempotency-key'),
        )

    async def _reject(self, req):
        identity = self._identity(req)
        self.backend.record_run(*identity, 'not-run')
        headers = [('x-request-id', identity[0]), NOT_RUN]
        await req.respond(503, headers, b'')

    async def _run(self, req):
        backend = self.backend
        identity = self._identity(req)
        req_id = identity[0]
        digest = hashlib.sha256()
        size = 0
        while (part := await req.read(60)) is not None:
            digest.update(part)
            size += len(part)
        if req_id in backend.cancelled:
            await self._reject(req)
            return
        backend.record_run(*identity, 'started')
        hang_injected = self._consume_fault('hang')
        backend.running[req_id] = asyncio.current_task()
        try:
            if hang_injected:
                await asyncio.sleep(3600)
            await asyncio.sleep(backend.service_s())
        except asyncio.CancelledError:
            if req_id not in backend.cancelled:
                raise
            asyncio.current_task().uncancel()
            backend.record_run(*identity, 'stopped')
            req.abort()
            return
        finally:
            backend.running.pop(req_id, None)
        backend.record_run(*identity, 'done')
        if self._consume_fault('reset_after_run'):
            req.abort()
            return
        await self._answer(req, identity, digest.hexdigest(), size)

    async def _answer(self, req, identity, digest, size):
        target = req.target
        foreign = self._consume_fault('foreign')
        if foreign:
            identity = ('someone-elses', *identity[1:])
            target = '/items/someone-elses'
        headers = [('x-request-id', identity[0]), *JSON]
        if req.method == 'GET' and req.path.startswith('/blob/'):
            await self._blob(req, headers, int(req.path.split('/')[2]))
            return
        body = msgspec.json.encode(
            {
                'server': NAME.value,
                'method': req.method,
                'target': target,
                'bytes': size,
                'sha256': digest,
            }
        )
        if not foreign and self._consume_fault('stall'):
            await req.start(200, headers, len(body))
            await req.write(body[: len(body) // 2])
            await asyncio.sleep(3600)
        # A foreign answer is complete, so only its request id reveals it.
        if not foreign and self._consume_fault('truncate'):
            await req.start(200, headers, len(body))
            await req.write(body[: len(body) // 2])
            await asyncio.sleep(0.01)
            req.abort()
            return
        await req.respond(200, headers, body)

    async def _blob(self, req, headers, size):
        await req.start(200, headers, size)
        truncated = self._consume_fault('truncate')
        sent = 0
        while sent < size:
            part = b'x' * min(CHUNK, size - sent)
            await req.write(part)
            sent += len(part)
            if truncated and sent >= size // 2:
                await asyncio.sleep(0.01)
                req.abort()
                return
        await req.end()

    # Control interface: load report, cancellation, and test controls.

    async def _control(self, req):
        name = req.path.split('/')[2]
        reply = await getattr(self, f'_control_{name}')(req)
        await req.respond(200, JSON, msgspec.json.encode(reply))

    async def _control_load(self, req):
        return {
            'slots': SLOTS.value,
            'busy': self.backend.reported_busy(),
            'leaving': self.backend.leaving_since is not None,
            'cold': self.backend.cold(),
        }

    async def _control_cancel(self, req):
        req_id = req.path.split('/')[3]
        backend = self.backend
        task = backend.running.get(req_id)
        if task is None:
            known = any(
                run.req == req_id and run.state in ('started', 'done')
                for run in reversed(backend.runs[-500:])
            )
            if known:
                return {'state': 'done'}
            backend.cancelled.add(req_id)
            return {'state': 'not-run'}
        started = [run for run in backend.runs if run.req == req_id]
        if started and started[-1].method in ('GET', 'HEAD'):
            backend.cancelled.add(req_id)
            task.cancel()
        return {'state': 'started'}

    async def _control_drain(self, req):
        self.backend.leaving_since = time.time()
        return {'leaving': True}

    async def _control_faults(self, req):
        body = await _serve.read_body(req)
        found = msgspec.json.decode(body)
        self.backend.faults = dataclasses.replace(self.backend.faults, **found)
        return found

    async def _control_records(self, req):
        return {
            'name': NAME.value,
            'busy': self.backend.busy,
            'most_busy': self.backend.most_busy,
            'slots': SLOTS.value,
            'shed': self.backend.shed,
            'leaving_since': self.backend.leaving_since,
        }


def main(argv):
    """Serve until SIGTERM."""
    del argv
    _serve.serve(ADDRESS.value, PORT.value, Server().handle)


if __name__ == '__main__':
    app.run(main)

"""Generates load through callers and records it as a history."""

import asyncio
import hashlib
import itertools
import time

import msgspec

from ebonypick import request
from standins import history

UPLOAD_CHUNK_BYTES = 65_536


class LoadRun:
    """Sends requests through callers and records the calls.

    Parameters
    ==========
    rng : random.Random
        Source of the request ids, bodies and mix.
    """

    def __init__(self, rng):
        self.calls = []
        self.sends = 0
        self._rng = rng
        self._numbers = itertools.count()

    def _mark(self):
        return f'm{next(self._numbers)}-{self._rng.randrange(1 << 32):08x}'

    async def read(self, caller, service, deadline_ms=8_000):
        """Send a GET request."""
        mark = self._mark()
        await self._send(
            caller, service, 'GET', f'/items/{mark}', b'', mark, deadline_ms
        )

    async def post_once(self, caller, service, deadline_ms=8_000):
        """Send a POST request, which must run at most once."""
        mark = self._mark()
        body = mark.encode() * 4
        await self._send(
            caller,
            service,
            'POST',
            f'/actions/{mark}',
            body,
            mark,
            deadline_ms,
        )

    async def upload(self, caller, service, size, deadline_ms=20_000):
        """Send a large body as a stream; the request runs at most once."""
        mark = self._mark()
        part = self._rng.randbytes(UPLOAD_CHUNK_BYTES)
        count = max(1, size // UPLOAD_CHUNK_BYTES)
        digest = hashlib.sha256(part * count).hexdigest()

        async def stream():
            for _ in range(count):
                yield part

        length = [('content-length', str(count * UPLOAD_CHUNK_BYTES))]
        await self._send(
            caller,
            service,
            'POST',
            f'/uploads/{mark}',
            stream,
            mark,
            deadline_ms,
            length,
            digest,
            count * UPLOAD_CHUNK_BYTES,
        )

    async def _send(
        self,
        caller,
        service,
        method,
        path,
        body,
        mark,
        deadline_ms,
        headers=(),
        digest=None,
        size=None,
    ):
        started_at = time.time()
        sent = body if callable(body) else body or None
        answer = await caller.send(
            service, method, path, sent, deadline_ms, headers
        )
        if digest is None:
            digest = hashlib.sha256(body).hexdigest()
            size = len(body)
        self.sends += answer.sends
        self.calls.append(
            history.Call(
                mark,
                method,
                size,
                digest,
                str(answer.outcome),
                answer.status,
                _decode(answer.body),
                None,
                answer.key,
                started_at,
                time.time(),
                caller.client,
            )
        )

    async def send_mix(self, callers, plan, seconds, gap_s):
        """Send a mix of requests as an open loop.

        Parameters
        ==========
        callers : list of Caller
            Callers, one of which is chosen for each request.
        plan : list of (float, coroutine function)
            Weight, and function that sends a request with a caller.
        seconds : float
            Length of the run.
        gap_s : float
            Mean time between two requests, in seconds.
        """
        weights = [weight for weight, _ in plan]
        kinds = [kind for _, kind in plan]
        until = time.monotonic() + seconds
        running = set()
        while time.monotonic() < until:
            kind = self._rng.choices(kinds, weights)[0]
            caller = self._rng.choice(callers)
            task = asyncio.ensure_future(kind(caller))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self._rng.expovariate(1 / gap_s))
        await asyncio.gather(*running)


def _decode(body):
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return len(body)


def seconds(calls, outcome=request.Outcome.DONE):
    """Return the sorted durations of the calls with an outcome."""
    return sorted(
        call.ended_at - call.started_at
        for call in calls
        if call.outcome == outcome
    )


def quantile(values, share):
    """Return a quantile of sorted values, or 0 if there are none."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]

"""The client library: look-ups, failover between entry hosts, retries."""

import asyncio
import dataclasses
import random
import time
import uuid

import aiohttp
import msgspec

from ebonypick.caller import _lookups
from ebonypick.caller import _pools
from ebonypick import connection
from ebonypick import request

HEDGE_AFTER_S = 0.35
SENDS_MOST = 12
PAUSE_LEAST_S = 0.05
PAUSE_MOST_S = 2.0
CODE_KEY_UNKNOWN = 'EP2203'


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """What became of a request.

    Parameters
    ==========
    outcome : Outcome
        ``done``, ``not-run`` or ``unknown``.
    status : int
        HTTP status; 0 where no answer came.
    body : bytes
        The whole body.
    headers : dict of str to str
        Headers by lower-case name.
    sends : int
        How often it was sent.
    key : str or None
        The idempotency key that it carried.
    """

    outcome: request.Outcome
    status: int = 0
    body: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)
    sends: int = 0
    key: str | None = None

    @property
    def code(self):
        """The code of the problem document, or an empty text."""
        if not self.headers.get('content-type', '').startswith(
            'application/problem+json'
        ):
            return ''
        try:
            return msgspec.json.decode(self.body).get('code', '')
        except (msgspec.MsgspecError, AttributeError):
            return ''


@dataclasses.dataclass
class _Call:
    """One request of the user, over all its sends."""

    service: str
    method: str
    path: str
    body: object
    deadline: float
    headers: list
    once: bool
    key: str | None = None
    sent: bool = False
    sends: int = 0
    failed: set = dataclasses.field(default_factory=set)

    @property
    def idempotent(self):
        return not self.once and self.method in request.IDEMPOTENT_METHODS


class Caller:
    """Sends requests through the entry hosts; an async context manager.

    Parameters
    ==========
    bootstrap : list of Endpoint
        Some entry hosts.
    client : str, optional
        The IP number to look up for; the connection's own by default.
    local_address : str, optional
        IP number to connect from.
    rng : random.Random, optional
        Chooses among entry hosts.
    """

    def __init__(self, bootstrap, client=None, local_address=None, rng=None):
        self.client = client
        self._rng = rng or random.Random()
        self._pools = _pools.Pools(local_address)
        self._hosts = _lookups.HostFinder(
            bootstrap, client, self._pools, self._rng
        )
        self._budget = request.RetryBudget(share=0.2, most=20)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._pools.close()

    @property
    def lookups_made(self):
        """How many look-ups were sent."""
        return self._hosts.asked

    async def look_up(self, service):
        """Return the look-up for a service, from memory while it is fresh.

        Raises
        ======
        connection.LostError
            If no entry host answered and nothing is in memory.
        """
        return await self._hosts.look_up(service)

    async def send(
        self,
        service,
        method,
        path,
        body=None,
        deadline_ms=10_000,
        headers=(),
        once=None,
    ):
        """Send a request and return what became of it.

        Parameters
        ==========
        service : str
            The service.
        method : str
            HTTP method.
        path : str
            Path and query, encoded.
        body : bytes or callable, optional
            The body, or a function that gives an async generator of it.
        deadline_ms : int
            When to give up.
        headers : iterable of (str, str)
            More headers.
        once : bool, optional
            Whether it must run at most once; by default all methods but
            GET, HEAD and OPTIONS must. It then carries a key, so that it
            can be sent again safely.

        Returns
        =======
        CallerAnswer
        """
        if once is None:
            once = method not in ('GET', 'HEAD', 'OPTIONS')
        deadline = time.monotonic() + deadline_ms / 1000
        call = _Call(
            service, method, path, body, deadline, list(headers), once
        )
        answer = CallerAnswer(request.Outcome.NOT_RUN)
        while call.sends < SENDS_MOST:
            try:
                found = await self.look_up(service)
            except connection.LostError:
                if not await self._pause(call, PAUSE_LEAST_S):
                    break
                continue
            answer = await self._send_once(call, found)
            if not self._again(call, answer):
                break
            if not await self._pause(call, self._pause_s(answer)):
                break
        # What an earlier send left open stays open, whatever the last says.
        outcome = answer.outcome
        if outcome is request.Outcome.NOT_RUN and call.sent:
            outcome = request.Outcome.UNKNOWN
        return dataclasses.replace(
            answer, outcome=outcome, sends=call.sends, key=call.key
        )

    def _again(self, call, answer):
        if answer.outcome is request.Outcome.DONE:
            return False
        if time.monotonic() >= call.deadline:
            return False
        if answer.outcome is request.Outcome.NOT_RUN:
            return answer.status not in range(400, 500) or (
                answer.status == 408
            )
        if answer.code == CODE_KEY_UNKNOWN:
            if call.sent:
                return False
            # The key's host is gone and nothing was ever sent with the
            # key: a new key is a first try.
            self._hosts.forget(call.service, call.key)
            call.key = None
            return True
        call.sent = True
        return call.idempotent or call.key is not None

    def _pause_s(self, answer):
        """Return how long to wait: what the answer says, spread a little."""
        try:
            asked_s = float(answer.headers.get('retry-after', 0))
        except ValueError:
            asked_s = 0.0
        pause_s = min(PAUSE_MOST_S, max(PAUSE_LEAST_S, asked_s))
        return pause_s * (0.5 + 0.5 * self._rng.random())

    async def _pause(self, call, pause_s):
        if time.monotonic() + pause_s >= call.deadline:
            return False
        await asyncio.sleep(pause_s)
        return True

    async def _send_once(self, call, found):
        host = self._hosts.pick(found, call.failed)
        if not call.idempotent or call.body is not None:
            return await self._send_to(call, host, found, False)
        first = asyncio.ensure_future(self._send_to(call, host, found, False))
        done, _ = await asyncio.wait({first}, timeout=HEDGE_AFTER_S)
        if done or not self._budget.take():
            return await first
        other = self._hosts.pick(found, call.failed | {host.name})
        second = asyncio.ensure_future(self._send_to(call, other, found, True))
        return await self._better(first, second, host)

    async def _better(self, first, second, host):
        """Return the first answer of two that is done, else the last."""
        pending = {first, second}
        answer = None
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                answer = task.result()
                if answer.outcome is request.Outcome.DONE:
                    for other in pending:
                        other.cancel()
                    if first in pending:
                        pool = await self._pools.get(host.address, host.port)
                        pool.retire()
                    return answer
        return answer

    def _key_for(self, call, host, found):
        if call.key is None:
            prefix = self._hosts.key_prefix(host, found)
            call.key = prefix + uuid.uuid4().hex
        return call.key

    def _headers_for(self, call, host, found):
        names = connection.headers
        left_s = max(0.001, call.deadline - time.monotonic())
        rows = [
            *call.headers,
            (names.SERVICE, call.service),
            (names.DEADLINE_MS, str(max(1, int(left_s * 1000)))),
            (names.CONFIG_VERSION, str(found.config_version)),
        ]
        if call.once:
            rows.append(
                (names.IDEMPOTENCY_KEY, self._key_for(call, host, found))
            )
        return rows

    async def _send_to(self, call, host, found, fresh):
        call.sends += 1
        self._budget.deposit()
        pool = await self._pools.get(host.address, host.port)
        left_s = max(0.01, call.deadline - time.monotonic())
        body = call.body() if callable(call.body) else call.body
        try:
            async with asyncio.timeout(left_s):
                async with pool.request(
                    call.method,
                    call.path,
                    self._headers_for(call, host, found),
                    body,
                    fresh=fresh or not call.idempotent,
                ) as resp:
                    return self._take(host, resp, await resp.read())
        except connection.ConnectFailedError:
            self._note_failed(call, host)
            return CallerAnswer(request.Outcome.NOT_RUN)
        except (
            connection.LostError,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
        ):
            self._note_failed(call, host)
            return CallerAnswer(request.Outcome.UNKNOWN)

    def _note_failed(self, call, host):
        call.failed.add(host.name)
        self._hosts.avoid(host)

    def _take(self, host, resp, body):
        names = connection.headers
        headers = {k.lower(): v for k, v in resp.headers.items()}
        if names.KEY_PREFIX in headers:
            self._hosts.note_prefix(host, headers[names.KEY_PREFIX])
        if names.LEAVING in headers:
            self._hosts.avoid(host)
        text = headers.get(names.OUTCOME, 'unknown')
        return CallerAnswer(request.Outcome(text), resp.status, body, headers)


def make_caller(bootstrap, **options):
    """Return a caller; ``bootstrap`` holds (address, port) pairs.

    Examples
    ========
    >>> caller = make_caller([('127.0.0.1', 8400)])
    >>> caller.lookups_made
    0
    """
    ends = [_lookups.Endpoint(address, port) for address, port in bootstrap]
    return Caller(ends, **options)

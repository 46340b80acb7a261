"""Client library with look-ups, retries and failover between entry hosts."""

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
from ebonypick import json_text
from ebonypick import request

HEDGE_AFTER_S = 0.35
MAX_SENDS = 12
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
UNKNOWN_KEY_CODE = 'EP2203'


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """The result of a request over all its attempts.

    Parameters
    ==========
    outcome : Outcome
        ``done``, ``not-run`` or ``unknown``.
    status : int
        HTTP status code; 0 if no answer arrived.
    body : bytes
        The whole body.
    headers : dict of str to str
        Header values by lower-case name.
    sends : int
        Number of times that the request was sent.
    key : str or None
        The idempotency key of the request, if it has one.
    """

    outcome: request.Outcome
    status: int = 0
    body: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)
    sends: int = 0
    key: str | None = None

    @property
    def code(self):
        """The code of the problem document, or an empty string."""
        if not self.headers.get('content-type', '').startswith(
            'application/problem+json'
        ):
            return ''
        try:
            return json_text.decode(self.body).get('code', '')
        except (msgspec.MsgspecError, AttributeError):
            return ''


@dataclasses.dataclass
class _Call:
    """State of one request of the user over all its attempts."""

    service: str
    method: str
    path: str
    body: object
    deadline: float
    headers: list
    once: bool
    key: str | None = None
    may_have_run: bool = False
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
        Entry hosts for the first look-up and as a fallback.
    client : str, optional
        IP address for which entry hosts are looked up. The default is the
        source address of the connection.
    local_address : str, optional
        Local IP address to connect from.
    rng : random.Random, optional
        Source of randomness for the choice of entry hosts and for pauses.
    """

    def __init__(self, bootstrap, client=None, local_address=None, rng=None):
        self.client = client
        self._rng = rng or random.Random()
        self._pools = _pools.Pools(local_address)
        self._hosts = _lookups.HostFinder(
            bootstrap, client, self._pools, self._rng
        )
        self._budget = request.RetryBudget(share=0.2, max_balance=20)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._pools.close()

    @property
    def lookups_made(self):
        """Number of look-ups that were sent."""
        return self._hosts.lookups_sent

    async def look_up(self, service):
        """Return the look-up for a service, from the cache while it is fresh.

        Raises
        ======
        connection.LostError
            If no entry host answered and the cache has no look-up.
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
        """Send a request, with retries, and return its result.

        Parameters
        ==========
        service : str
            Name of the service.
        method : str
            HTTP method.
        path : str
            Path and query, already percent-encoded.
        body : bytes or callable, optional
            The body, or a function that returns an async generator of it.
        deadline_ms : int
            Time limit for all attempts together in milliseconds.
        headers : iterable of (str, str)
            Additional header fields.
        once : bool, optional
            Whether the request must run at most once. By default, this
            holds for all methods except GET, HEAD and OPTIONS. Such a
            request carries an idempotency key, which makes retries safe.

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
        while call.sends < MAX_SENDS:
            try:
                found = await self.look_up(service)
            except connection.LostError:
                if not await self._pause(call, MIN_PAUSE_S):
                    break
                continue
            answer = await self._send_once(call, found)
            if not self._should_retry(call, answer):
                break
            if not await self._pause(call, self._pause_s(answer)):
                break
        # If an earlier attempt may have run, the outcome is unknown even if
        # the last attempt was not run.
        outcome = answer.outcome
        if outcome is request.Outcome.NOT_RUN and call.may_have_run:
            outcome = request.Outcome.UNKNOWN
        return dataclasses.replace(
            answer, outcome=outcome, sends=call.sends, key=call.key
        )

    def _should_retry(self, call, answer):
        if answer.outcome is request.Outcome.DONE:
            return False
        if time.monotonic() >= call.deadline:
            return False
        if answer.outcome is request.Outcome.NOT_RUN:
            return answer.status not in range(400, 500) or (
                answer.status == 408
            )
        if answer.code == UNKNOWN_KEY_CODE:
            if call.may_have_run:
                return False
            # The entry host that holds the key has departed, and no earlier
            # attempt can have run with this key. A request with a new key
            # is therefore a first attempt.
            self._hosts.forget(call.service, call.key)
            call.key = None
            return True
        call.may_have_run = True
        return call.idempotent or call.key is not None

    def _pause_s(self, answer):
        """Return the pause by Retry-After, with bounds and jitter."""
        try:
            retry_after_s = float(answer.headers.get('retry-after', 0))
        except ValueError:
            retry_after_s = 0.0
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, retry_after_s))
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
        return await self._first_done(first, second, host)

    async def _first_done(self, first, second, host):
        """Return the first answer that is done, or else the last one."""
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
                    return self._to_answer(host, resp, await resp.read())
        except connection.ConnectFailedError:
            self._mark_failed(call, host)
            return CallerAnswer(request.Outcome.NOT_RUN)
        except (
            connection.LostError,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
        ):
            self._mark_failed(call, host)
            return CallerAnswer(request.Outcome.UNKNOWN)

    def _mark_failed(self, call, host):
        call.failed.add(host.name)
        self._hosts.avoid(host)

    def _to_answer(self, host, resp, body):
        names = connection.headers
        headers = {k.lower(): v for k, v in resp.headers.items()}
        if names.KEY_PREFIX in headers:
            self._hosts.set_prefix(host, headers[names.KEY_PREFIX])
        if names.LEAVING in headers:
            self._hosts.avoid(host)
        text = headers.get(names.OUTCOME, 'unknown')
        return CallerAnswer(request.Outcome(text), resp.status, body, headers)


def make_caller(bootstrap, **options):
    """Create a caller from (address, port) pairs of entry hosts.

    Examples
    ========
    >>> caller = make_caller([('127.0.0.1', 8400)])
    >>> caller.lookups_made
    0
    """
    endpoints = [
        _lookups.Endpoint(address, port) for address, port in bootstrap
    ]
    return Caller(endpoints, **options)

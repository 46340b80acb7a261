"""The client library: look-ups, failover between entry hosts, retries."""

import asyncio
import dataclasses
import random
import time
import uuid

import aiohttp
import msgspec

from ebonypick import connection
from ebonypick import request

LOOKUP_TIMEOUT_S = 0.6
HEDGE_AFTER_S = 0.35
FAILED_HOST_S = 1.0
SENDS_MOST = 12
PAUSE_LEAST_S = 0.05
PAUSE_MOST_S = 2.0
CODE_RUNNING = 'EP2010'
CODE_KEY_UNKNOWN = 'EP2203'


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An entry host of the bootstrap list."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class HostChoice:
    """An entry host as a look-up names it."""

    name: str
    address: str
    port: int
    weight: int
    tier: int


@dataclasses.dataclass(frozen=True)
class LookUp:
    """The answer to a look-up."""

    entry_hosts: tuple[HostChoice, ...]
    config_version: int
    ttl_ms: int
    key_prefix: str
    region: str = ''
    service: str = ''


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
        self._bootstrap = list(bootstrap)
        self.client = client
        self._local = local_address
        self._rng = rng or random.Random()
        self._pools = {}
        self._lookups = {}
        self._prefixes = {}
        self._failed_until = {}
        self._budget = request.RetryBudget(share=0.2, most=20)
        self._looking = {}
        self.lookups_made = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for pool in self._pools.values():
            await pool.__aexit__(*exc_info)

    async def _pool(self, address, port):
        end = (address, port)
        if end not in self._pools:
            pool = connection.Pool(address, port, self._local)
            self._pools[end] = await pool.__aenter__()
        return self._pools[end]

    # Look-ups.

    async def look_up(self, service):
        """Return the look-up for a service, from memory while it is fresh.

        Raises
        ======
        connection.LostError
            If no entry host answered and nothing is in memory.
        """
        found, until = self._lookups.get(service, (None, 0.0))
        if found is not None and time.monotonic() < until:
            return found
        if service not in self._looking:
            task = asyncio.ensure_future(self._ask_any(service))
            self._looking[service] = task
            task.add_done_callback(lambda _: self._looking.pop(service, None))
        try:
            found = await asyncio.shield(self._looking[service])
        except connection.LostError:
            if found is None:
                raise
        return found

    async def _ask_any(self, service):
        known, _ = self._lookups.get(service, (None, 0.0))
        ends = list(self._bootstrap)
        self._rng.shuffle(ends)
        if known is not None:
            near = [Endpoint(h.address, h.port) for h in known.entry_hosts]
            ends = near[:3] + ends
        for end in ends:
            found = await self._ask(end, service)
            if found is not None:
                until = time.monotonic() + found.ttl_ms / 1000
                self._lookups[service] = (found, until)
                host = found.key_prefix.partition('~')[0]
                self._prefixes[host] = found.key_prefix
                return found
        raise connection.LostError('no entry host answered the look-up')

    async def _ask(self, end, service):
        path = f'/v1/entry-hosts?service={service}'
        if self.client:
            path += f'&client={self.client}'
        pool = await self._pool(end.address, end.port)
        self.lookups_made += 1
        try:
            status, body = await pool.call_json(
                'GET', path, timeout_s=LOOKUP_TIMEOUT_S
            )
            if status != 200:
                return None
            found = msgspec.json.decode(body, type=LookUp)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
        ):
            return None
        return found if found.entry_hosts else None

    def _pick(self, found, failed):
        """Return an entry host: lowest tier, then by weight."""
        now = time.monotonic()
        hosts = [
            host
            for host in found.entry_hosts
            if host.name not in failed
            and self._failed_until.get(host.name, 0.0) <= now
        ]
        if not hosts:
            hosts = list(found.entry_hosts)
        tier = min(host.tier for host in hosts)
        nearest = [host for host in hosts if host.tier == tier]
        weights = [host.weight for host in nearest]
        return self._rng.choices(nearest, weights)[0]

    # Requests.

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
            self._prefixes.pop((call.key or '').partition('~')[0], None)
            self._lookups.pop(call.service, None)
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
        host = self._pick(found, call.failed)
        if not call.idempotent or call.body is not None:
            return await self._send_to(call, host, found, False)
        first = asyncio.ensure_future(self._send_to(call, host, found, False))
        done, _ = await asyncio.wait({first}, timeout=HEDGE_AFTER_S)
        if done or not self._budget.take():
            return await first
        other = self._pick(found, call.failed | {host.name})
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
                        pool = await self._pool(host.address, host.port)
                        pool.retire()
                    return answer
        return answer

    def _key_for(self, call, host, found):
        if call.key is None:
            prefix = self._prefixes.get(host.name, found.key_prefix)
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
        pool = await self._pool(host.address, host.port)
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
        self._failed_until[host.name] = time.monotonic() + FAILED_HOST_S

    def _take(self, host, resp, body):
        names = connection.headers
        headers = {k.lower(): v for k, v in resp.headers.items()}
        if names.KEY_PREFIX in headers:
            self._prefixes[host.name] = headers[names.KEY_PREFIX]
        if names.LEAVING in headers:
            self._failed_until[host.name] = time.monotonic() + FAILED_HOST_S
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
    ends = [Endpoint(address, port) for address, port in bootstrap]
    return Caller(ends, **options)

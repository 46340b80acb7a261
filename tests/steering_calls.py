"""Requests of test callers, and checks of the guarantees to callers."""

import collections
import dataclasses

import aiohttp

from standins import limits

HOST = 'callers.example'
PROMISES = (408, 421, 429, 503)
DEADLINE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller and its result.

    Parameters
    ==========
    req, kind, target, digest : str
        Request id, kind of request, request target and SHA-256 of the body.
    body : bytes
        Body of the request.
    status : int
        Status of the answer; 0 if there was no answer.
    answer : bytes
        Body of the answer.
    headers : dict of str to str
        Headers of the answer by lower-case name.
    sent_at, ended_at : float
        Start and end of the attempt on the monotonic clock, in seconds.
    host : str
        Name of the steering host that received the request.
    lifetime : int
        Number of starts of that host's process so far.
    """

    req: str
    kind: str
    target: str
    digest: str
    body: bytes
    status: int
    answer: bytes
    headers: dict
    sent_at: float
    ended_at: float
    host: str = ''
    lifetime: int = 0

    @property
    def safe(self):
        """Whether the request may run more than once."""
        return is_safe(self.kind)


def is_safe(kind):
    """Return whether requests of a kind may run more than once.

    Probes of a configuration version are reads too; their kinds begin with
    ``v``.
    """
    return kind == 'read' or kind.startswith('v')


def caller_session(**options):
    """Return an HTTP session that sends each request only once.

    The library's own retry after a connection reset would carry the same
    request id, but callers use each id for one attempt only.
    """
    session = aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar(), **options
    )
    session._retry_connection = False
    return session


def plain_get(req, key, target):
    """Return the bytes of a GET request."""
    rows = [
        f'GET {target} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {req}',
        f'Deadline-Ms: {round(DEADLINE_S * 1000)}',
        f'Cookie: Affinity-Key={key}',
    ]
    return ('\r\n'.join(rows) + '\r\n\r\n').encode()


def violations(world):
    """Return descriptions of all broken guarantees to callers.

    The calls of the callers are compared with the runs that the backend
    servers recorded.

    Parameters
    ==========
    world : SteeringWorld
        Deployment with its calls and backend servers.
    """
    runs = {}
    for server in world.upstreams:
        for run in server.runs:
            runs.setdefault(run.req, []).append(run)
    calls = {call.req: call for call in world.calls}
    found = []
    for call in world.calls:
        own = runs.get(call.req, [])
        whole = call.req.encode() + b'=' + call.body
        if 200 <= call.status < 300 and call.answer != whole:
            found.append(f'{call.req}: the answer belongs to another request')
        if 200 <= call.status < 300 and 'server-seal' not in call.headers:
            found.append(f'{call.req}: success without a server-seal header')
        if not call.safe and len(own) > 1:
            found.append(f'{call.req}: ran {len(own)} times')
        if call.status in PROMISES and own:
            found.append(f'{call.req}: answered {call.status}, but it ran')
        if len(own) > 2:
            found.append(f'{call.req}: more runs than attempts')
    for req, own in runs.items():
        for run in own:
            call = calls.get(req)
            if call is None:
                found.append(f'{req}: ran, but no caller sent it')
            elif (run.target, run.digest) != (call.target, call.digest):
                found.append(f'{req}: target or body was changed in transit')
    return found


def limit_breaches(world, counts=lambda host, start, end: True):
    """Return a sentence for each breach of a limit that a server named.

    Parameters
    ==========
    world : SteeringWorld
        Deployment with its calls and backend servers.
    counts : callable, optional
        Returns whether requests of a host count that was told of a limit at
        one time and sent a request at another.
    """
    names = {world.address(name): name for name in world.processes}
    told = _first_told(world)
    found = []
    for server in world.upstreams:
        named = collections.defaultdict(list)
        for row in server.named_limits:
            named[row.instance].append(row)
        for instance, rows in named.items():
            known = told.get(instance, {})
            arrivals = [
                (a.at, names.get(a.source))
                for a in server.arrivals
                if a.instance == instance and not a.misdirected
            ]
            arrivals = [
                (at, host)
                for at, host in arrivals
                if host in known and counts(host, known[host], at)
            ]
            found += limits.breaches(rows, arrivals, known)
    return found


def _first_told(world):
    """Return when each host passed on the first limit, by instance."""
    told = collections.defaultdict(dict)
    for call in sorted(world.calls, key=lambda c: c.ended_at):
        if 'server-limit' in call.headers:
            instance = call.headers.get('server-seal')
            told[instance].setdefault(call.host, call.ended_at)
    return told

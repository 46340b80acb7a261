"""Callers' requests in the scenes, and what breaks a promise to them."""

import dataclasses

import aiohttp

HOST = 'callers.example'
PROMISES = (408, 421, 429, 503)
DEADLINE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller and what came of it.

    Parameters
    ==========
    req, kind, target, digest : str
        What was asked.
    body : bytes
        What was sent.
    status : int
        Of the answer; 0 where there was none.
    answer : bytes
        Its body.
    headers : dict of str to str
        By lower-case name.
    sent_at, ended_at : float
        Monotonic times.
    host : str
        The steering host that got it.
    lifetime : int
        Counts the starts of that host's process.
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
        """Whether it may run more than once."""
        return is_safe(self.kind)


def is_safe(kind):
    """Return whether requests of a kind may run more than once.

    Probes of a version are reads too; their kinds begin with ``v``.
    """
    return kind == 'read' or kind.startswith('v')


def caller_session(**options):
    """Return a session of HTTP that sends each request once.

    The library's own repeat after a reset would bear the same id, which
    callers give to one attempt only.
    """
    session = aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar(), **options
    )
    session._retry_connection = False
    return session


def plain_get(req, key, target):
    """Return the bytes of a request without a body."""
    rows = [
        f'GET {target} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {req}',
        f'Deadline-Ms: {round(DEADLINE_S * 1000)}',
        f'Cookie: Affinity-Key={key}',
    ]
    return ('\r\n'.join(rows) + '\r\n\r\n').encode()


def violations(world):
    """Return what in a history breaks a promise to callers.

    Parameters
    ==========
    world : SteeringWorld
        With its calls and the runs of its backend servers.
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
            found.append(f'{call.req}: the answer is not its own')
        if 200 <= call.status < 300 and 'server-seal' not in call.headers:
            found.append(f'{call.req}: a success without a seal')
        if not call.safe and len(own) > 1:
            found.append(f'{call.req}: ran {len(own)} times')
        if call.status in PROMISES and own:
            found.append(f'{call.req}: {call.status}, and it ran')
        if len(own) > 2:
            found.append(f'{call.req}: more runs than attempts')
    for req, own in runs.items():
        for run in own:
            call = calls.get(req)
            if call is None:
                found.append(f'{req}: nobody asked for it')
            elif (run.target, run.digest) != (call.target, call.digest):
                found.append(f'{req}: changed on its way')
    return found

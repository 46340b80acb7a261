"""Parses and checks the head of a caller's request."""

import dataclasses
import re
import secrets

from ebonypick import connection
from ebonypick import errors
from ebonypick import request

TARGET_LIMIT_BYTES = 8_192
MAX_DEADLINE_MS = 3_600_000
KEY_LIMIT = 200
_KEY = re.compile(r'^[\w.~:+=-]+$', re.ASCII)


@dataclasses.dataclass(frozen=True)
class CheckedRequest:
    """A checked request.

    Parameters
    ==========
    info : RequestInfo
        The properties of the request that routing needs.
    req : connection.CallerRequest
        The request as received.
    avoid : frozenset of str
        Backend servers that earlier attempts used.
    home_region : str
        The region of the caller.
    planned : bool
        Whether a shift moved the request to this host's region.
    """

    info: request.RequestInfo
    req: object
    avoid: frozenset = frozenset()
    home_region: str = ''
    planned: bool = False

    @property
    def headers(self):
        """The end-to-end headers of the request, made for each use."""
        return connection.headers.end_to_end(self.req.headers.items())


def parse_deadline_ms(text, default_ms):
    """Return a deadline in milliseconds.

    Examples
    ========
    >>> parse_deadline_ms('250', 1000), parse_deadline_ms(None, 1000)
    (250, 1000)

    Raises
    ======
    errors.BadDeadlineError
        If the text is not an integer in the allowed range.
    """
    if text is None:
        return default_ms
    if not (text.isascii() and text.isdigit()):
        raise errors.BadDeadlineError(
            found=text[:40], limit_ms=MAX_DEADLINE_MS
        )
    value = int(text[:10])
    if not 1 <= value <= MAX_DEADLINE_MS:
        raise errors.BadDeadlineError(
            found=text[:40], limit_ms=MAX_DEADLINE_MS
        )
    return value


def parse_idempotency_key(text):
    """Return an idempotency key without its quotes; None if absent.

    Raises
    ======
    errors.BadKeyError
        If the key is empty, too long or has disallowed characters.
    """
    if text is None:
        return None
    key = text.strip().strip('"')
    if len(key) > KEY_LIMIT:
        raise errors.BadKeyError(
            found=key[:80], reason=f'it has more than {KEY_LIMIT} characters'
        )
    if not _KEY.match(key):
        raise errors.BadKeyError(
            found=key[:80], reason='it is empty or has other characters'
        )
    return key


def check_request(req, services, forwarded, region, client_region, now):
    """Check a caller's request against the configuration in force.

    Parameters
    ==========
    req : CallerRequest
        The request.
    services : dict of str to Service
        The services of the configuration.
    forwarded : bool
        Whether another entry host forwarded the request.
    region : str
        The region of this entry host.
    client_region : str
        The region of the client's address.
    now : float
        The time in seconds of the monotonic clock.

    Returns
    =======
    CheckedRequest

    Raises
    ======
    errors.RequestError
        If the request is not valid.
    """
    headers = req.headers
    name = headers.get(connection.headers.SERVICE)
    service = services.get(name)
    if service is None:
        raise errors.UnknownServiceError(
            service=name, known=', '.join(sorted(services))
        )
    if len(req.target) > TARGET_LIMIT_BYTES:
        raise errors.HeadTooLargeError(
            part='path', found=len(req.target), limit=TARGET_LIMIT_BYTES
        )
    length = req.content_length or 0
    if length > service.body_limit_bytes:
        raise errors.BodyTooLargeError(
            found=length, service=name, limit=service.body_limit_bytes
        )
    deadline_ms = parse_deadline_ms(
        headers.get(connection.headers.DEADLINE_MS), service.deadline_ms
    )
    key = parse_idempotency_key(
        headers.get(connection.headers.IDEMPOTENCY_KEY)
    )
    home_region = client_region
    planned = False
    req_id = secrets.token_hex(12)
    avoid = frozenset()
    if forwarded:
        home_region = headers.get(connection.headers.HOP_REGION, region)
        planned = headers.get(connection.headers.HOP_REASON) == 'shift'
        req_id = headers.get(connection.headers.REQUEST_ID) or req_id
        names = headers.get(connection.headers.AVOID, '')
        avoid = frozenset(n for n in names.split(',') if n)
    info = request.RequestInfo(
        req_id,
        name,
        req.method,
        now + deadline_ms / 1000,
        key,
        forwarded,
        home_region != region,
    )
    return CheckedRequest(info, req, avoid, home_region, planned)

"""Headers of requests from callers and of answers by backend servers."""

import math

from ebonypick import connection
from ebonypick import request
from ebonypick import whole_numbers

_REQUEST_ID = 'attempt-id'
_DEADLINE_MS = 'deadline-ms'
_CALLER = 'authorization'
_OBJECT_COOKIE = 'affinity-key'
_MAX_OBJECT_KEY_CHARS = 64
_EXPECTED_INSTANCE = 'expect-instance'
_NOT_RUN = 'not-executed'
_SEAL = 'server-seal'
# Counts of running requests, waiting requests and slots, separated by commas.
_LOAD = 'server-load'
# The value "1" announces that the server leaves, on an answer of any status.
_LEAVING = 'server-leaving'
# With status 503: seconds for which this host must not send requests to the
# server.
_HOLD_OFF_S = 'retry-after'
# A longer time is treated as a fault of the server and ignored.
_MAX_HOLD_OFF_S = 3_600.0
# Unreadable values are logged up to this length.
_MAX_LOGGED_CHARS = 80
# Requests per second that the server accepts from all hosts together, until
# an answer without this header.
_LIMIT_PER_S = 'server-limit'
# Remaining warm-up time of the server, in milliseconds.
_WARMUP_MS = 'warmup-ms'

# Headers that each hop replaces.
_REPLACED = frozenset({_DEADLINE_MS, _EXPECTED_INSTANCE, 'content-length'})


def _parse_ms(text):
    """Return a time in ms converted to seconds, or None if unreadable."""
    whole_ms = whole_numbers.parse_whole(text)
    return None if whole_ms is None else whole_ms / 1000


def _object_key(headers):
    """Return the object key of a request, or None if it has none.

    Hosts remember thousands of keys, so a long one is replaced by its digest.
    """
    for cookies in headers.getall('cookie', ()):
        for cookie in cookies.split(';'):
            name, _, value = cookie.strip().partition('=')
            if name.lower() == _OBJECT_COOKIE:
                if len(value) <= _MAX_OBJECT_KEY_CHARS:
                    return value
                return request.fingerprint(
                    value.encode(errors='surrogateescape')
                )
    return None


def caller_request(req):
    """Return the fields of a request that the caller sends in headers.

    Parameters
    ==========
    req : connection.CallerRequest
        The request.

    Returns
    =======
    request.CallerHead
        The request ID is None where the caller sent none; the deadline is
        None where it is missing or unreadable.
    """
    headers = req.headers
    return request.CallerHead(
        req=headers.get(_REQUEST_ID),
        host=headers.get('host', ''),
        deadline_s=_parse_ms(headers.get(_DEADLINE_MS, '')),
        object_key=_object_key(headers),
        caller=headers.get(_CALLER, ''),
    )


def relay_head(req, remaining_s):
    """Return the headers of a request that another entry host is to serve.

    Parameters
    ==========
    req : connection.CallerRequest
        The request.
    remaining_s : float
        Time left until the deadline of the answer.

    Returns
    =======
    list of (str, str)
    """
    rows = [
        (name, value)
        for name, value in connection.headers.end_to_end(req.headers.items())
        if name.lower() not in _REPLACED
    ]
    rows.insert(0, ('host', req.headers.get('host', '')))
    rows.append((_DEADLINE_MS, str(max(1, int(remaining_s * 1000)))))
    return rows


def forward_head(req, instance, remaining_s):
    """Return the headers of a request that is sent to a backend server.

    Parameters
    ==========
    req : connection.CallerRequest
        The request.
    instance : str
        The instance name of the backend server that must run it.
    remaining_s : float
        Time left until the deadline of the answer.

    Returns
    =======
    list of (str, str)
    """
    rows = relay_head(req, remaining_s)
    rows.append((_EXPECTED_INSTANCE, instance))
    return rows


def _load(text):
    counts = [
        whole_numbers.parse_whole(part.strip()) for part in text.split(',')
    ]
    if len(counts) != 3 or None in counts:
        return None
    return request.LoadReport(*counts)


def _hold_off_s(status, text):
    """Return for how long a server asks for no requests; 0.0 if unset."""
    if status != 503:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds <= _MAX_HOLD_OFF_S else 0.0


def _limit_per_s(text):
    """Return a limit in requests per second, or None if unreadable."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    valid = math.isfinite(limit_per_s) and limit_per_s >= 0.0
    return limit_per_s if valid else None


def answer_head(status, headers):
    """Return the fields of an answer that a backend server sends in headers.

    Parameters
    ==========
    status : int
        The HTTP status.
    headers : dict of str to str
        The headers by lower-case name.

    Returns
    =======
    request.AnswerHead
    """
    limit_text = headers.get(_LIMIT_PER_S)
    limit_per_s = None if limit_text is None else _limit_per_s(limit_text)
    unreadable = limit_text is not None and limit_per_s is None
    return request.AnswerHead(
        req=headers.get(_REQUEST_ID),
        not_run=_NOT_RUN in headers or status == 421,
        other_instance=status == 421,
        sealed=_SEAL in headers,
        load=_load(headers.get(_LOAD, '')),
        warmup_left_s=_parse_ms(headers.get(_WARMUP_MS, '')),
        leaving=headers.get(_LEAVING, '').strip() == '1',
        hold_off_s=_hold_off_s(status, headers.get(_HOLD_OFF_S, '')),
        limit_per_s=limit_per_s,
        unreadable_limit=limit_text[:_MAX_LOGGED_CHARS]
        if unreadable
        else None,
    )


def own_answer_headers(req_id, retry_after_s):
    """Return the headers of an answer that this host itself produces."""
    rows = []
    if req_id is not None:
        rows.append((_REQUEST_ID, req_id))
    if retry_after_s is not None:
        rows.append(('retry-after', f'{retry_after_s:.2f}'))
    return rows

"""The headers of callers and backend servers."""

from ebonypick import connection
from ebonypick.platform import _units
from ebonypick import request

_REQUEST_ID = 'attempt-id'
_DEADLINE_MS = 'deadline-ms'
_OBJECT_COOKIE = 'affinity-key'
_EXPECTED_INSTANCE = 'expect-instance'
_NOT_RUN = 'not-executed'
_SEAL = 'server-seal'
# Running requests, waiting requests and slots, separated by commas.
_LOAD = 'server-load'
# The server leaves, whatever else the answer says.
_LEAVING = 'server-leaving'
# With a 503: seconds for which the server wants nothing from this host.
_HOLD_OFF_S = 'retry-after'
# A longer time is taken for a mistake.
_HOLD_OFF_MOST_S = 3_600.0
# How long the server stays cold, in milliseconds.
_WARMUP_MS = 'warmup-ms'

# Set anew on each hop.
_REPLACED = frozenset({_DEADLINE_MS, _EXPECTED_INSTANCE, 'content-length'})


def _milliseconds(text):
    """Return a time in seconds, or None where there is none to read."""
    whole = _units.parse_whole(text)
    return None if whole is None else whole / 1000


def _object_key(headers):
    for cookies in headers.getall('cookie', ()):
        for cookie in cookies.split(';'):
            name, _, value = cookie.strip().partition('=')
            if name.lower() == _OBJECT_COOKIE:
                return value
    return None


def caller_request(req):
    """Return what a caller's headers say of its request.

    Parameters
    ==========
    req : connection.CallerRequest
        The request.

    Returns
    =======
    request.CallerHead
        With no id where the caller sent none, and no deadline where it sent
        none that can be read.
    """
    headers = req.headers
    return request.CallerHead(
        req=headers.get(_REQUEST_ID),
        host=headers.get('host', ''),
        deadline_s=_milliseconds(headers.get(_DEADLINE_MS, '')),
        object_key=_object_key(headers),
    )


def forward_head(req, instance, remaining_s):
    """Return the headers of a request on its way to a backend server.

    Parameters
    ==========
    req : connection.CallerRequest
        The request.
    instance : str
        The backend server that it is meant for.
    remaining_s : float
        Time left for the answer.

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
    rows.append((_EXPECTED_INSTANCE, instance))
    return rows


def _load(text):
    counts = [_units.parse_whole(part.strip()) for part in text.split(',')]
    if len(counts) != 3 or None in counts:
        return None
    return request.LoadReport(*counts)


def _hold_off_s(status, text):
    """Return for how long a server wants nothing; 0 where it says nothing."""
    if status != 503:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds <= _HOLD_OFF_MOST_S else 0.0


def answer_head(status, headers):
    """Return what a backend server's headers say of its answer.

    Parameters
    ==========
    status : int
        HTTP status.
    headers : dict of str to str
        By lower-case name.

    Returns
    =======
    request.AnswerHead
    """
    return request.AnswerHead(
        req=headers.get(_REQUEST_ID),
        not_run=_NOT_RUN in headers or status == 421,
        other_instance=status == 421,
        sealed=_SEAL in headers,
        load=_load(headers.get(_LOAD, '')),
        warmup_left_s=_milliseconds(headers.get(_WARMUP_MS, '')),
        leaving=headers.get(_LEAVING, '').strip() == '1',
        hold_off_s=_hold_off_s(status, headers.get(_HOLD_OFF_S, '')),
    )


def own_answer_headers(req_id, retry_after_s):
    """Return the headers of an answer of our own."""
    rows = []
    if req_id is not None:
        rows.append((_REQUEST_ID, req_id))
    if retry_after_s is not None:
        rows.append(('retry-after', f'{retry_after_s:.2f}'))
    return rows

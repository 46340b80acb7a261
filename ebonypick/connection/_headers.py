"""Header names used between callers, entry hosts and backend servers."""

SERVICE = 'ebonypick-service'
DEADLINE_MS = 'ebonypick-deadline-ms'
OUTCOME = 'ebonypick-outcome'
REQUEST_ID = 'ebonypick-request-id'
CONFIG_VERSION = 'ebonypick-config-version'
KEY_PREFIX = 'ebonypick-key-prefix'
LEAVING = 'ebonypick-leaving'
IDEMPOTENCY_KEY = 'idempotency-key'
PROXY_STATUS = 'proxy-status'
RETRY_AFTER = 'retry-after'

# These headers are used between entry hosts only.
HOP = 'ebonypick-hop'
HOP_REGION = 'ebonypick-hop-region'
HOP_REASON = 'ebonypick-hop-reason'
AVOID = 'ebonypick-avoid'
LOAD = 'ebonypick-load'
# Number of backend servers to which a request that is passed on may be sent.
ATTEMPTS = 'ebonypick-attempts'
# Why a host cannot take a request at all; another host may.
UNABLE = 'ebonypick-unable'
# The backend server that gave an answer.
BACKEND = 'ebonypick-backend'

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets
# anew, such as those of the framing.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
_OWN_PREFIX = 'ebonypick-'


def decode(data):
    """Decode a header so that encoding it restores the same bytes."""
    return data.decode('utf-8', 'surrogateescape')


def end_to_end(headers):
    """Return the headers to forward, without those of this project.

    Examples
    ========
    >>> end_to_end([('Connection', 'close'), ('Accept', 'a/b')])
    [('Accept', 'a/b')]

    Parameters
    ==========
    headers : iterable of (str, str)
        Names and values of all header fields.
    """
    # The string subclasses of the HTTP libraries cannot be encoded as JSON.
    rows = [(str(name), str(value)) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    return [
        (name, value)
        for name, value in rows
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in named
        and not name.lower().startswith(_OWN_PREFIX)
    ]

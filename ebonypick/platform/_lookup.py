"""Look-ups by callers and readiness checks by the platform."""

import msgspec

_READINESS_PATH = '/readiness'
_LOOKUP_PATH = '/resolve'


class _Answer(msgspec.Struct):
    addresses: list[str]
    # Time for which a caller may cache the answer, with its unit.
    ttl: str


def is_readiness(req):
    """Return whether a request is a readiness check of this host."""
    return req.path == _READINESS_PATH


def is_lookup(req):
    """Return whether a request is a look-up of entry hosts."""
    return req.path == _LOOKUP_PATH


def lookup_place(req):
    """Return the region and data centre of the caller; empty if not sent."""
    query = req.query
    return query.get('region', ''), query.get('zone', '')


def answer_lookup(addresses, ttl_s):
    """Return the JSON body of an answer to a look-up.

    Examples
    ========
    >>> answer_lookup(['10.1.0.10:8161'], 2.0)
    b'{"addresses":["10.1.0.10:8161"],"ttl":"2000ms"}'
    """
    span = f'{round(ttl_s * 1000)}ms'
    return msgspec.json.encode(_Answer(list(addresses), span))

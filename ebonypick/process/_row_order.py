"""Orders two values of a row by their contents.

Load: the store is restored from an older copy, and its writers write their
rows again while hosts begin to read it. The store's revision numbers then do
not show which values come from the copy, but the counts that writers put
into the values do.
"""

import msgspec

from ebonypick import errors
from ebonypick import json_text
from ebonypick import platform
from ebonypick.process import _peer_directory


def operator_row_later(key, old, new):
    """Return whether a value of an operator's row is later than another.

    Examples
    ========
    >>> operator_row_later('evacuate/x1', None, b'{}')
    True

    Parameters
    ==========
    key : str
        The row's key.
    old, new : bytes or None, bytes
        The values; ``old`` is None where there was no row.
    """
    if old is None:
        # The row may be an evacuation that had ended. To serve nothing from
        # that data centre for some seconds does less harm than to send
        # requests to servers that are being removed.
        return True
    if platform.decode_evacuation(key) is not None:
        return False
    # The number of a configuration that was lost in the restore may be
    # assigned again, so an equal number counts as later.
    return _is_later(
        platform.decode_config, old, new, lambda cfg: cfg.number, or_same=True
    )


def server_row_later(key, old, new):
    """Return whether a server's registration is later than another."""

    def decode(data):
        return platform.decode_server(key, data)

    return old is not None and _is_later(
        decode, old, new, lambda entry: entry.order
    )


def host_row_later(key, old, new):
    """Return whether an entry host's row is later than another."""

    def decode(data):
        return json_text.decode(data, _peer_directory.HostRow)

    return old is not None and _is_later(
        decode, old, new, lambda row: row.started_ms
    )


def _is_later(decode, old, new, order, or_same=False):
    """Compare two values; an unreadable one is never the later one."""
    try:
        found = order(decode(new))
    except (errors.InvalidValueError, msgspec.MsgspecError):
        # The unreadable value is logged where the row is applied.
        return False
    try:
        known = order(decode(old))
    except (errors.InvalidValueError, msgspec.MsgspecError):
        return True
    return found > known or (or_same and found == known)

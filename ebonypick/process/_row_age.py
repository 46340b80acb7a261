"""Tells by what rows say which of two values of a row is the later one.

Load: the store comes back from an older copy and its writers write again
while hosts begin to read it. Numbers of the store do not tell then what is of
the copy; what writers count themselves does.
"""

import msgspec

from ebonypick import errors
from ebonypick import platform
from ebonypick.process import _peer_directory


def operator_row_later(key, old, new):
    """Return whether a value of the operator's row follows another.

    Examples
    ========
    >>> operator_row_later('evacuate/x1', None, b'{}')
    True

    Parameters
    ==========
    key : str
        The row's key.
    old, new : bytes or None, bytes
        Values; no old one means that there was no row.
    """
    if old is None:
        # Serving nothing there for a moment harms less than sending to
        # servers that are being taken away.
        return True
    if platform.decode_evacuation(key) is not None:
        return False
    # A number that was lost with the newest rows may be given out again.
    return _is_later(
        platform.decode_config, old, new, lambda cfg: cfg.number, or_same=True
    )


def server_row_later(key, old, new):
    """Return whether a server's registration follows another."""

    def decode(data):
        return platform.decode_server(key, data)

    return old is not None and _is_later(
        decode, old, new, lambda entry: entry.order
    )


def host_row_later(key, old, new):
    """Return whether an entry host's row follows another."""

    def decode(data):
        return msgspec.json.decode(data, type=_peer_directory.HostRow)

    return old is not None and _is_later(
        decode, old, new, lambda row: row.started_ms
    )


def _is_later(decode, old, new, order, or_same=False):
    """Compare two values; one that cannot be read is not the later one."""
    try:
        found = order(decode(new))
    except (errors.ForeignValueError, msgspec.MsgspecError):
        # It is logged where it is used.
        return False
    try:
        known = order(decode(old))
    except (errors.ForeignValueError, msgspec.MsgspecError):
        return True
    return found > known or (or_same and found == known)

"""Compression of messages between hosts.

Load: rows of the store that are long and repetitive, sent to hosts whose links
are narrow and carry callers' requests too.
"""

import zlib

CODING = 'deflate'
# The fastest level; the higher ones save few bytes on JSON.
LEVEL = 1
# A shorter message fits into a few packets as it is.
MIN_BYTES = 2_048


def compress(data):
    """Return a message in compressed form."""
    return zlib.compress(data, LEVEL)


def expand(data, max_bytes):
    """Return the message of which ``data`` is the compressed form.

    Examples
    ========
    >>> expand(compress(b'row ' * 100), 400) == b'row ' * 100
    True

    Parameters
    ==========
    data : bytes
        The compressed message.
    max_bytes : int
        Maximum length of the message in bytes.

    Raises
    ======
    ValueError
        If the data is malformed or truncated, or the message is too long.
    """
    parser = zlib.decompressobj()
    try:
        found = parser.decompress(data, max_bytes)
    except zlib.error as exc:
        raise ValueError(f'The message cannot be expanded: {exc}.') from exc
    if not parser.eof:
        raise ValueError(
            f'The message is truncated or longer than {max_bytes} bytes.'
        )
    return found

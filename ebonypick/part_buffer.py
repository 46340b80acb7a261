"""A buffer of received parts, which joins small ones.

Load: senders of bodies in parts of a few bytes. A part of its own takes some
40 bytes besides its content.
"""

# Parts below this size are joined; larger ones are kept without a copy.
MIN_PART_BYTES = 4_096


class PartBuffer:
    """Collects parts of bytes.

    Examples
    ========
    >>> buffer = PartBuffer()
    >>> buffer.append(b'ab')
    >>> buffer.append(b'c')
    >>> len(buffer)
    3
    >>> buffer.take()
    b'abc'
    >>> len(buffer)
    0
    """

    def __init__(self):
        self._parts = []
        self._size = 0

    def __len__(self):
        return self._size

    def append(self, part):
        """Append a part."""
        self._size += len(part)
        if len(part) >= MIN_PART_BYTES:
            self._parts.append(part)
            return
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < MIN_PART_BYTES:
            last += part
        else:
            self._parts.append(bytearray(part))

    def take(self):
        """Return all bytes and remove them from the buffer."""
        parts, self._parts = self._parts, []
        self._size = 0
        if len(parts) == 1 and isinstance(parts[0], bytes):
            return parts[0]
        return b''.join(parts)

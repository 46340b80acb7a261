"""The header fields of a message, held in little more than their bytes.

Load: clients whose heads consist of thousands of very short lines. As pairs
of strings, each line takes some 300 bytes, which makes megabytes of a head
within its limit.
"""

import functools

import multidict

from ebonypick.connection import _headers

# Heads with more lines are held as bytes. Those of ordinary clients have
# fewer, and are converted only once.
MAX_UNPACKED_FIELDS = 64
# Memory of a field as two strings in a dictionary, besides its characters.
UNPACKED_FIELD_BYTES = 250


class FieldBuffer:
    """Collects the header fields of a head while it arrives."""

    def __init__(self):
        self._data = bytearray()
        self._count = 0

    def __len__(self):
        return len(self._data)

    def add(self, name, value):
        """Append a header field.

        Parameters
        ==========
        name, value : bytes
            As received; the parser admits no line feed in either of them.
        """
        self._data += b'%b:%b\n' % (name, value)
        self._count += 1

    def clear(self):
        """Remove all fields and release their memory."""
        self._data = bytearray()
        self._count = 0

    def fields(self):
        """Return the collected fields."""
        return HeaderFields(bytes(self._data), self._count)


class HeaderFields:
    """The header fields of a received head.

    Examples
    ========
    >>> buffer = FieldBuffer()
    >>> buffer.add(b'Host', b'a:80')
    >>> buffer.fields().by_name()['host']
    'a:80'

    Parameters
    ==========
    data : bytes
        The fields; each one has its name, a colon, its value and a line feed.
    count : int
        Number of fields.
    """

    def __init__(self, data=b'', count=0):
        self._data = data
        self._by_name = None
        if count <= MAX_UNPACKED_FIELDS:
            self._by_name = _unpack(data)
        # Size in memory, in bytes, and that of the fields as strings.
        self.unpacked_size = len(data) + count * UNPACKED_FIELD_BYTES
        self.size = len(data)
        if self._by_name is not None:
            self.size = self.unpacked_size

    def by_name(self):
        """Return the fields as ``multidict.CIMultiDict``.

        That of a long head is made for each call, but for the last one.
        """
        if self._by_name is not None:
            return self._by_name
        return _unpack_long(self)


def _unpack(data):
    rows = _headers.decode(data).split('\n')
    rows.pop()
    return multidict.CIMultiDict(
        (name, value) for name, _, value in (r.partition(':') for r in rows)
    )


@functools.lru_cache(maxsize=1)
def _unpack_long(fields):
    """Return the fields of one long head, the one that is served now."""
    return _unpack(fields._data)

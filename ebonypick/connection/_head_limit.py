"""Limit on the bytes of a message head that an HTTP parser buffers.

Load: a peer that sends bytes without end instead of a head or within one line
of a head. The parser buffers an incomplete element, so its memory would grow
for as long as the peer sends.
"""

from ebonypick import errors

# The colon and the line end of a header field.
FIELD_MARKS_BYTES = 3


class HeadLimit:
    """Counts the bytes of a head and the bytes of its incomplete element.

    Examples
    ========
    >>> limit = HeadLimit(100)
    >>> limit.begin()
    >>> limit.feed(90)
    >>> limit.check()
    >>> limit.feed(20)
    >>> limit.check()
    Traceback (most recent call last):
    ...
    ebonypick.errors.HeadTooLargeError: EP2005: The head has 110 bytes. \
Keep it within 100 bytes.

    Parameters
    ==========
    max_bytes : int
        Maximum size of a head in bytes.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._size = 0
        self._incomplete_size = 0

    def begin(self):
        """Start to count a new head."""
        self._size = 0
        self._incomplete_size = 0

    def add_element(self, size):
        """Count a complete element of a head.

        Parameters
        ==========
        size : int
            Size of the element in bytes.

        Raises
        ======
        errors.HeadTooLargeError
            If the head exceeds the limit.
        """
        self._incomplete_size = 0
        self._size += size
        self._check(self._size)

    def add_field(self, name, value):
        """Count a header field with the bytes that separate it from others.

        Raises
        ======
        errors.HeadTooLargeError
            If the head exceeds the limit.
        """
        self.add_element(len(name) + len(value) + FIELD_MARKS_BYTES)

    def reset_incomplete(self):
        """Reset the incomplete size after an element outside a head."""
        self._incomplete_size = 0

    def feed(self, size):
        """Count bytes before they are passed to the parser."""
        self._incomplete_size += size

    def check(self):
        """Check the size of the incomplete element after parsing.

        Raises
        ======
        errors.HeadTooLargeError
            If more bytes than the limit have completed no element.
        """
        self._check(self._incomplete_size)

    def _check(self, size):
        if size > self.max_bytes:
            raise errors.HeadTooLargeError(
                part='head', found=size, limit=self.max_bytes
            )

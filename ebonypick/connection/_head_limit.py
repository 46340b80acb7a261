"""Bounds what a parser holds of a head before it hands it on.

Load: a peer that sends bytes without end where a head is due, or within one
line of it. The parser keeps what it has of an unfinished part, so its memory
would grow as long as the peer sends.
"""

from ebonypick import errors


class HeadLimit:
    """Counts the bytes of one head; and those that complete nothing.

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
    most : int
        Largest head in bytes.
    """

    def __init__(self, most):
        self.most = most
        self._size = 0
        self._unfinished = 0

    def begin(self):
        """Start a head."""
        self._size = 0
        self._unfinished = 0

    def take(self, size):
        """Count a finished part of a head.

        Raises
        ======
        errors.HeadTooLargeError
            If the head is past its limit.
        """
        self._unfinished = 0
        self._size += size
        self._check(self._size)

    def finish(self):
        """Note that something was finished that is no part of a head."""
        self._unfinished = 0

    def feed(self, size):
        """Count bytes that are given to a parser, before it parses them."""
        self._unfinished += size

    def check(self):
        """Check what the parser may still hold, after it has parsed.

        Raises
        ======
        errors.HeadTooLargeError
            If bytes past the limit finished no part at all.
        """
        self._check(self._unfinished)

    def _check(self, size):
        if size > self.most:
            raise errors.HeadTooLargeError(
                part='head', found=size, limit=self.most
            )

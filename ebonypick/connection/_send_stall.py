"""Detects a peer that takes none of the bytes that are to be sent to it.

Load: callers that ask and never read their answers.
"""

# A longer time between two checks counts with this: a process that stood
# still does not blame its peers for that.
MAX_ELAPSED_S = 2.0


class SendStall:
    """Adds up the time in which the number of unsent bytes has not changed.

    Examples
    ========
    >>> stall = SendStall(now=0.0)
    >>> [stall.check(unsent, now) for unsent, now in ((9, 1), (9, 2), (5, 3))]
    [0.0, 1.0, 0.0]

    Parameters
    ==========
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now):
        self._unsent_bytes = 0
        self._checked_at = now
        self._stalled_s = 0.0

    def check(self, unsent_bytes, now):
        """Return for how many seconds the peer has taken nothing.

        Parameters
        ==========
        unsent_bytes : int
            Number of bytes that wait to be sent.
        now : float
            Monotonic time in seconds.
        """
        if unsent_bytes and unsent_bytes == self._unsent_bytes:
            self._stalled_s += min(now - self._checked_at, MAX_ELAPSED_S)
        else:
            self._stalled_s = 0.0
        self._checked_at = now
        self._unsent_bytes = unsent_bytes
        return self._stalled_s

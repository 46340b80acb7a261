"""Decides when a read is sent a second time."""

import collections

WINDOW = 256
REFRESH_EVERY = 32
MIN_DELAY_S = 0.02
MAX_DELAY_S = 0.4
QUANTILE = 0.95


class HedgeDelay:
    """The usual 95th percentile of recent times, within fixed bounds.

    Explanation
    ===========
    The upper bound makes a read on a connection that went silent recover
    well within a second, however slow the service usually is.

    Examples
    ========
    >>> delay = HedgeDelay()
    >>> delay.seconds
    0.4
    >>> for _ in range(64):
    ...     delay.observe(0.05)
    >>> delay.seconds
    0.1
    """

    def __init__(self):
        self._times = collections.deque(maxlen=WINDOW)
        self._count = 0
        self.seconds = MAX_DELAY_S

    def observe(self, seconds):
        """Take in the time of an answered read."""
        self._times.append(seconds)
        self._count += 1
        if self._count % REFRESH_EVERY == 0:
            ordered = sorted(self._times)
            usual = ordered[int(QUANTILE * (len(ordered) - 1))]
            # Twice the quantile keeps hedges rare while times vary little.
            self.seconds = min(MAX_DELAY_S, max(MIN_DELAY_S, 2 * usual))

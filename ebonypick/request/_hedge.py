"""Computes the delay after which a read is hedged."""

import collections

MAX_SAMPLES = 256
REFRESH_INTERVAL = 32
MIN_DELAY_S = 0.02
MAX_DELAY_S = 0.4
QUANTILE = 0.95


class HedgeDelay:
    """Twice the 95th percentile of recent times, within fixed bounds.

    Explanation
    ===========
    The upper bound lets a read on a connection that has stopped responding
    recover well within a second, however slow the service usually is.

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
        self._times = collections.deque(maxlen=MAX_SAMPLES)
        self._count = 0
        self.seconds = MAX_DELAY_S

    def observe(self, seconds):
        """Record the time in seconds of an answered read."""
        self._times.append(seconds)
        self._count += 1
        if self._count % REFRESH_INTERVAL == 0:
            ordered = sorted(self._times)
            quantile_s = ordered[int(QUANTILE * (len(ordered) - 1))]
            # Twice the quantile keeps hedges rare if times vary little.
            self.seconds = min(MAX_DELAY_S, max(MIN_DELAY_S, 2 * quantile_s))

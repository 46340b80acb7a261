"""Budgets: retries as a share of requests, bytes on links, shift credits."""

import math


class RetryBudget:
    """Allows retries and hedges as a share of the requests.

    Examples
    ========
    >>> budget = RetryBudget(share=0.5, most=2)
    >>> budget.take(), budget.take(), budget.take()
    (True, True, False)
    >>> budget.deposit(); budget.deposit(); budget.take()
    True

    Parameters
    ==========
    share : float
        What each request adds.
    most : float
        Largest balance, which is also the first one.
    """

    def __init__(self, share=0.1, most=10):
        self._share = share
        self._most = most
        self._balance = most

    def deposit(self):
        """Note a first attempt."""
        self._balance = min(self._most, self._balance + self._share)

    def take(self):
        """Return whether a second attempt is allowed, and charge it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class LinkBudget:
    """A host's part of the bytes that a link may carry one way.

    Explanation
    ===========
    The parts are fixed by the configured number of entry hosts of the
    sending region, so that their sum stays within the link's limit also
    when the hosts disagree about who lives.

    Examples
    ========
    >>> link = LinkBudget(bytes_per_s=1000, burst_bytes=100)
    >>> link.take(100, now=0.0), link.take(500, now=0.0)
    (0.0, 0.5)

    Parameters
    ==========
    bytes_per_s : float
        The rate.
    burst_bytes : float
        What may be sent at once after a rest.
    """

    def __init__(self, bytes_per_s, burst_bytes):
        self._rate = bytes_per_s
        self._burst = burst_bytes
        self._level = burst_bytes
        self._at = -math.inf

    def _refill(self, now):
        if now > self._at:
            gained = (now - self._at) * self._rate
            self._level = min(self._burst, self._level + gained)
            self._at = now

    def take(self, size, now):
        """Charge ``size`` bytes; return the seconds to wait before sending."""
        self._refill(now)
        self._level -= size
        return max(0.0, -self._level / self._rate)

    def wait_s(self, now):
        """Return how long the next byte would wait."""
        self._refill(now)
        return max(0.0, -self._level / self._rate)


class ShiftCredit:
    """Decides which requests a shift moves, never above its share.

    Explanation
    ===========
    Each request adds the allowed share and a moved one takes 1. The credit
    starts at 0 and is below 1 after each request. So over every prefix at
    most ``share * n`` requests are moved, and over every window fewer than
    ``share * n + 1``. Sums over hosts and restarts keep the first bound.
    Credits are whole millionths, rounded down, so that no rounding moves a
    request early.

    Examples
    ========
    >>> credit = ShiftCredit()
    >>> [credit.admit(0.25) for _ in range(8)].count(True)
    2
    """

    WHOLE = 1_000_000

    def __init__(self):
        self._credit = 0

    def admit(self, share):
        """Count a request; return whether it is moved."""
        # A share of 0.3 is stored slightly below 0.3: the small addend
        # restores the decimal that the operator wrote.
        gained = int(share * self.WHOLE + 1e-6)
        self._credit += gained
        if gained == 0 or self._credit < self.WHOLE:
            return False
        self._credit -= self.WHOLE
        return True

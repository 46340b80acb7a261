"""Budgets for retries, for bytes on links and for requests of shifts."""

import math


class RetryBudget:
    """Allows retries and hedges as a share of the requests.

    Examples
    ========
    >>> budget = RetryBudget(share=0.5, max_balance=2)
    >>> budget.take(), budget.take(), budget.take()
    (True, True, False)
    >>> budget.deposit(); budget.deposit(); budget.take()
    True

    Parameters
    ==========
    share : float
        Amount that each request adds to the balance.
    max_balance : float
        Largest balance, which is also the initial one.
    """

    def __init__(self, share=0.1, max_balance=10):
        self._share = share
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self):
        """Credit the budget for a first attempt."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def take(self):
        """Return whether another attempt is allowed; if so, charge it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class LinkBudget:
    """The share of a link's rate that one host may use in one direction.

    Explanation
    ===========
    The shares depend on the configured number of entry hosts of the sending
    region alone, so that their sum stays within the link's limit even when
    the hosts disagree about which of them are live.

    Examples
    ========
    >>> link = LinkBudget(bytes_per_s=1000, burst_bytes=100)
    >>> link.take(100, now=0.0), link.take(500, now=0.0)
    (0.0, 0.5)

    Parameters
    ==========
    bytes_per_s : float
        The rate in bytes per second.
    burst_bytes : float
        Bytes that may be sent without a wait after an idle period.
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
        """Return the seconds that the next byte would have to wait."""
        self._refill(now)
        return max(0.0, -self._level / self._rate)


class ShiftCredit:
    """Selects the requests that a shift moves, never above its share.

    Explanation
    ===========
    Each request adds the allowed share to the credit, and each moved request
    subtracts 1. The credit starts at 0 and is below 1 after each request.
    Therefore at most ``share * n`` of the first ``n`` requests are moved, and
    fewer than ``share * n + 1`` of any ``n`` consecutive requests. The first
    bound also holds for the sum over hosts and restarts. Credits are integers
    in millionths, rounded down, so that rounding never moves a request early.

    Examples
    ========
    >>> credit = ShiftCredit()
    >>> [credit.admit(0.25) for _ in range(8)].count(True)
    2
    """

    SCALE = 1_000_000

    def __init__(self):
        self._credit = 0

    def admit(self, share):
        """Count a request; return whether it is moved."""
        # A share such as 0.3 is stored as a float slightly below 0.3. The
        # small addend restores the decimal that the operator wrote.
        gained = int(share * self.SCALE + 1e-6)
        self._credit += gained
        if gained == 0 or self._credit < self.SCALE:
            return False
        self._credit -= self.SCALE
        return True

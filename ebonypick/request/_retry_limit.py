"""Bounds the retries of requests over all entry hosts.

Load: servers that fail or shed a large part of their requests. Without a
bound, each entry host would retry them, and the service would receive a
multiple of the requests that callers sent.
"""

import collections
import dataclasses

# Hosts temporarily disagree about the number of live hosts, and a restarted
# host starts counting at zero. Half of the common slack is reserved for both.
SLACK_SHARE = 0.5
# The windows of the hosts are not synchronized, which this margin covers.
RATIO_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class RepeatTerms:
    """The bound on retries of all entry hosts together.

    Parameters
    ==========
    ratio : float
        Retries per request of a caller.
    window_s : float
        Length in seconds of the window in which both are counted.
    slack : float
        Retries allowed in each window in addition to the ratio.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 0.0


class RepeatLimit:
    """The retries that one entry host may send for one service.

    Examples
    ========
    >>> limit = RepeatLimit(RepeatTerms(ratio=0.5, slack=4))
    >>> [limit.take(hosts=2, now=0.0) for _ in range(2)]
    [True, False]
    >>> for _ in range(5): limit.note_request(1.0)
    >>> [limit.take(hosts=2, now=1.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, terms):
        self._terms = terms
        self._requests = collections.deque()
        self._repeats = collections.deque()

    def _trim(self, times, now):
        while times and times[0] <= now - self._terms.window_s:
            times.popleft()

    def note_request(self, now):
        """Count a request of a caller."""
        self._requests.append(now)
        self._trim(self._requests, now)

    def room(self, hosts, now):
        """Return the number of retries that are allowed now.

        Parameters
        ==========
        hosts : int
            Number of live entry hosts, including this one.
        now : float
            Monotonic time in seconds.
        """
        self._trim(self._requests, now)
        self._trim(self._repeats, now)
        allowed = self._terms.ratio * RATIO_SHARE * len(self._requests)
        allowed += self._terms.slack * SLACK_SHARE / max(1, hosts)
        return allowed - len(self._repeats)

    def take(self, hosts, now):
        """Return whether a retry is allowed; if so, count it.

        Parameters
        ==========
        hosts : int
            Number of live entry hosts, including this one.
        now : float
            Monotonic time in seconds.
        """
        if self.room(hosts, now) < 1:
            return False
        self._repeats.append(now)
        return True

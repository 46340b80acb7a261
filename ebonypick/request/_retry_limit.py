"""Bounds the retries of requests over all entry hosts.

Load: servers that fail or shed a large part of their requests. Without a
bound, each entry host would retry them, and the service would receive a
multiple of the requests that callers sent.

Each host earns a part of a retry with each request and keeps a bounded number
of them. A window then has at most the retries that were kept when it began
and those that its own requests earned, whichever hosts took them, and a host
that starts has few. So restarts, cuts and callers that move from host to host
need no message to stay within the bound.
"""

import dataclasses

# Share of the common slack that all hosts together may keep.
SLACK_SHARE = 0.5
# Share of it with which all hosts together start, as the first callers after a
# start need retries as well. Two starts of all hosts fit into a window; the
# margin of the ratio covers more of them.
START_SHARE = 0.25
# Hosts note a request and its retries at other times than the servers do,
# which this margin covers.
RATIO_SHARE = 0.8
# A host keeps up to this many retries in any case; with fewer it could never
# send one. The margins cover it where a host takes 25 requests a window.
MIN_KEPT = 1.0


@dataclasses.dataclass(frozen=True)
class RepeatTerms:
    """The bound on retries of all entry hosts together.

    Parameters
    ==========
    ratio : float
        Retries per request of a caller.
    slack : float
        Retries allowed in each window in addition to the ratio.
    """

    ratio: float = 0.1
    slack: float = 0.0


class RepeatLimit:
    """The retries that one entry host may send for one service.

    Examples
    ========
    >>> limit = RepeatLimit(RepeatTerms(ratio=0.5, slack=8), hosts=2)
    >>> limit.take(hosts=2), limit.take(hosts=2)
    (True, False)
    >>> for _ in range(10): limit.note_request()
    >>> limit.room(hosts=2)
    2.0
    >>> limit.take(hosts=2), limit.take(hosts=2), limit.take(hosts=2)
    (True, True, False)

    Parameters
    ==========
    terms : RepeatTerms
        The common bound.
    hosts : int
        As for ``room``.
    """

    def __init__(self, terms, hosts):
        self._terms = terms
        self._kept = max(MIN_KEPT, terms.slack * START_SHARE / max(1, hosts))

    def set_terms(self, terms):
        """Apply changed terms; the retries that are kept stay."""
        self._terms = terms

    def note_request(self):
        """Count a request of a caller."""
        self._kept += self._terms.ratio * RATIO_SHARE

    def room(self, hosts):
        """Return the number of retries that are allowed now.

        Parameters
        ==========
        hosts : int
            Number of entry hosts that may send retries, including this one
            and those that it cannot hear.
        """
        share = self._terms.slack * SLACK_SHARE / max(1, hosts)
        return min(self._kept, max(MIN_KEPT, share))

    def take(self, hosts):
        """Return whether a retry is allowed; if so, count it.

        Parameters
        ==========
        hosts : int
            As for ``room``.
        """
        self._kept = self.room(hosts)
        if self._kept < 1:
            return False
        self._kept -= 1
        return True

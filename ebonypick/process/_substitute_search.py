"""The search for a host that reads the store in place of a reader.

Load: the store turns away all readers of a region, or is away for all hosts.
In an outage each host that is asked makes one call in vain, so few are asked
at once, and seldom after none was served.
"""

# Hosts that are asked at most, one after the other, in one round.
ROUND_HOSTS = 3
# Interval of the rounds while the last one found a host.
ROUND_INTERVAL_S = 1.0
# Shortest and longest interval after rounds that found none; it doubles.
MIN_SEARCH_INTERVAL_S = 0.5
MAX_SEARCH_INTERVAL_S = 4.0


class SubstituteSearch:
    """Chooses the hosts that a reader asks, as a state machine without I/O.

    Examples
    ========
    >>> search = SubstituteSearch()
    >>> search.begin_round(('a', 'b', 'c', 'd'), now=0.0)
    ('a', 'b', 'c')
    >>> search.record('a', served=False)
    >>> search.record('b', served=True)
    >>> search.begin_round(('a', 'b', 'c', 'd'), now=0.5)
    ()
    >>> search.begin_round(('a', 'b', 'c', 'd'), now=1.0)
    ('b', 'c', 'd')
    """

    def __init__(self):
        self._refused = set()
        self._found = False
        self._interval_s = MIN_SEARCH_INTERVAL_S
        self._began_at = float('-inf')

    def begin_round(self, candidates, now):
        """Return the hosts to ask until one of them is served.

        Parameters
        ==========
        candidates : tuple of str
            The hosts that may be asked, in order of preference.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        tuple of str
            Empty until the next round is due.
        """
        if now < self._began_at + self._interval_s:
            return ()
        if self._found:
            self._interval_s = MIN_SEARCH_INTERVAL_S
        elif self._began_at > float('-inf'):
            self._interval_s = min(MAX_SEARCH_INTERVAL_S, 2 * self._interval_s)
        self._found = False
        self._began_at = now
        if self._refused.issuperset(candidates):
            self._refused.clear()
        left = [name for name in candidates if name not in self._refused]
        return tuple(left[:ROUND_HOSTS])

    def record(self, host, served):
        """Record whether the store serves a host."""
        if served:
            self._found = True
            self._interval_s = ROUND_INTERVAL_S
        else:
            self._refused.add(host)

"""Backend servers that said in an answer that they leave.

Load: a release, in which a server's row in the store may still say that it is
ready, lapse and come back, after the server itself has told a host otherwise.
"""

import collections

# As many departures as a service of several hundred servers has in a few
# releases; older ones have left by then.
MAX_DEPARTURES = 2_000


class Departures:
    """Which starts of which servers have said that they leave.

    Examples
    ========
    >>> departures = Departures()
    >>> departures.note('i-1', 5), departures.note('i-1', 5)
    (True, False)
    >>> departures.includes('i-1', 5), departures.includes('i-1', 6)
    (True, False)
    """

    def __init__(self):
        self._starts = collections.OrderedDict()

    def note(self, instance, started_ms):
        """Note a departure; return whether it is news.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            Its start, in milliseconds since the epoch.
        """
        if self.includes(instance, started_ms):
            return False
        self._starts[instance] = started_ms
        self._starts.move_to_end(instance)
        while len(self._starts) > MAX_DEPARTURES:
            self._starts.popitem(last=False)
        return True

    def includes(self, instance, started_ms):
        """Return whether a start of a server, or a later one, leaves."""
        return started_ms <= self._starts.get(instance, -1)

"""Tracks backend servers that announced in an answer that they are leaving.

Load: a release, in which the stored row of a server may still say that it is
ready, expire and reappear after the server itself has announced to a host that
it is leaving.
"""

import collections

# This is the number of departures in a few releases of a service with several
# hundred servers. Servers of older departures have stopped by then.
MAX_DEPARTURES = 2_000


class Departures:
    """The starts of servers that announced that they are leaving.

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
        """Record a departure; return whether it was unknown before.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            Its latest start that may be the one that is leaving, in
            milliseconds since the epoch.
        """
        if self.includes(instance, started_ms):
            return False
        self._starts[instance] = started_ms
        self._starts.move_to_end(instance)
        while len(self._starts) > MAX_DEPARTURES:
            self._starts.popitem(last=False)
        return True

    def includes(self, instance, started_ms):
        """Return whether this or a later start of a server is leaving."""
        return started_ms <= self._starts.get(instance, -1)

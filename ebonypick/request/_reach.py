"""Decides whether this host is cut off from all backend servers.

Load: an entry host that callers, the store and the other hosts still reach
loses its links to all backend servers. Connections hang, are refused or are
reset, or the open ones work and new ones are refused. Each failure looks like
that of one server; only several servers that fail without a success in between
tell the two apart. A probe of some servers then decides.
"""

# Servers that cannot be reached, without a connection opened in between,
# before servers are probed.
SUSPECT_SERVERS = 2
# A probe is also made when requests have waited for this time and no server
# answered any.
SUSPECT_SILENCE_S = 1.5
# Minimum time between two probes.
PROBE_INTERVAL_S = 0.5


class Reach:
    """The state of this host's links to the backend servers.

    This is a state machine without input or output: all methods take the
    current time as an argument.

    Examples
    ========
    >>> reach = Reach()
    >>> reach.note_failed('i-1', 0.0); reach.should_probe(None, 0.1)
    False
    >>> reach.note_failed('i-2', 0.1); reach.should_probe(None, 0.2)
    True
    >>> reach.note_unreachable(0.3), reach.cut_off
    (True, True)
    >>> reach.note_opened(5.0), reach.cut_off
    (True, False)
    """

    def __init__(self):
        self._unreached = set()
        self._failing_since = None
        self._probed_at = float('-inf')
        self._opened_at = float('-inf')
        self._suspected = False
        self.cut_off = False

    @property
    def unreached_count(self):
        """The servers not reached since a connection was last opened."""
        return len(self._unreached)

    @property
    def failing_since(self):
        """The time of the first failure since then; None without one."""
        return self._failing_since

    def note_opened(self, now):
        """Record that a new connection to a server was opened.

        Returns
        =======
        bool
            Whether the host was cut off until now.
        """
        ended, self.cut_off = self.cut_off, False
        self._opened_at = now
        self._unreached.clear()
        self._failing_since = None
        self._suspected = False
        return ended

    def suspect(self):
        """Record that a host nearby is cut off, as this one may be."""
        self._suspected = True

    def note_failed(self, instance, now):
        """Record that no connection to a server could be opened."""
        self._unreached.add(instance)
        if self._failing_since is None:
            self._failing_since = now

    def should_probe(self, waiting_since, now):
        """Return whether servers have to be probed now.

        Parameters
        ==========
        waiting_since : float or None
            Time since which requests wait and no server has answered any;
            None if none waits.
        now : float
            Monotonic time in seconds.
        """
        if now < self._probed_at + PROBE_INTERVAL_S:
            return False
        if self.cut_off or self._suspected:
            return True
        if len(self._unreached) >= SUSPECT_SERVERS:
            return True
        if waiting_since is None:
            return False
        return now - max(waiting_since, self._opened_at) > SUSPECT_SILENCE_S

    def note_probe(self, now):
        """Record the start of a probe."""
        self._probed_at = now
        self._suspected = False

    def note_unreachable(self, now):
        """Record that a probe reached none of its servers.

        Returns
        =======
        bool
            Whether the host was not known to be cut off.
        """
        began, self.cut_off = not self.cut_off, True
        if self._failing_since is None:
            self._failing_since = now
        return began

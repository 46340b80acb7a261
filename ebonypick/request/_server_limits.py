"""Tracks the limits that backend servers name in their answers.

Load: servers that name a limit of requests per second for all hosts together,
change it and withdraw it, while many requests are under way. Answers arrive
out of order, and hosts without a common clock learn from one another.
"""

import dataclasses

# No server changes its limit as often; a higher turn, which another host sent,
# would never be exceeded.
MAX_TURN = 1 << 40


@dataclasses.dataclass(frozen=True)
class ServerLimit:
    """What is known about the limit of one start of a server.

    Parameters
    ==========
    started_ms : int
        The start of the server, in milliseconds since the epoch.
    turn : int
        Increases with each change that an answer shows; 0 before the first.
    per_s : float or None
        Requests per second from all hosts together; None without a limit.
    """

    started_ms: int
    turn: int = 0
    per_s: float | None = None

    @property
    def order(self):
        """Sort key of the knowledge of several hosts; the last one counts.

        Of two changes that neither host knew of when the other made its own,
        the lower limit counts.
        """
        rate = float('inf') if self.per_s is None else self.per_s
        return (self.started_ms, self.turn, -rate)


class ServerLimits:
    """The limits of all servers, as one host knows them.

    Explanation
    ===========
    An answer shows a change if its request was sent after this host learned
    of the limit that is known now. The answer to an earlier request may be
    older than that limit, so it can only lower it. The next request settles
    which of the two is in force.

    Examples
    ========
    >>> limits = ServerLimits()
    >>> limits.note_answer('i-1', 5, 0, 2.0)
    ServerLimit(started_ms=5, turn=1, per_s=2.0)
    >>> limits.note_answer('i-1', 5, 0, None) is None
    True
    >>> limits.note_answer('i-1', 5, 1, None)
    ServerLimit(started_ms=5, turn=2, per_s=None)
    """

    def __init__(self):
        self._known = {}

    def _find(self, instance, started_ms):
        known = self._known.get(instance)
        if known is None or known.started_ms != started_ms:
            return None
        return known

    def get(self, instance, started_ms):
        """Return the ``ServerLimit`` of a start of a server."""
        return self._find(instance, started_ms) or ServerLimit(started_ms)

    def per_s(self, instance, started_ms):
        """Return the limit of a start of a server; None without one."""
        known = self._find(instance, started_ms)
        return None if known is None else known.per_s

    def note_answer(self, instance, started_ms, turn_at_send, per_s):
        """Apply the limit in an answer; return the new state if it changed.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            The start that answered, in milliseconds since the epoch.
        turn_at_send : int
            The turn that was known when the request was sent.
        per_s : float or None
            The limit in the answer; None without a limit.

        Returns
        =======
        ServerLimit or None
        """
        known = self.get(instance, started_ms)
        if per_s == known.per_s:
            return None
        turn = known.turn + (turn_at_send == known.turn)
        return self.merge(instance, ServerLimit(started_ms, turn, per_s))

    def merge(self, instance, found):
        """Apply what another host knows; return the new state if it changed.

        Parameters
        ==========
        instance : str
            The server.
        found : ServerLimit
            The state at the other host.

        Returns
        =======
        ServerLimit or None
        """
        known = self._known.get(instance)
        if known is None or known.started_ms < found.started_ms:
            known = ServerLimit(found.started_ms)
        if found.order <= known.order or found.turn > MAX_TURN:
            return None
        # The servers are kept in the order of their changes.
        self._known.pop(instance, None)
        self._known[instance] = found
        return found if found.per_s != known.per_s else None

    def adopt_start(self, instance, from_ms, started_ms):
        """Count what is known of a start for a later one."""
        known = self._find(instance, from_ms)
        if known is not None:
            self._known[instance] = dataclasses.replace(
                known, started_ms=started_ms
            )

    def newest_first(self):
        """Return (server, ``ServerLimit``) of all servers, by last change."""
        return list(reversed(self._known.items()))

    def retain(self, entries):
        """Drop the limits of servers and starts that are not registered.

        Parameters
        ==========
        entries : iterable of ServerEntry
            The registered servers.
        """
        starts = {entry.instance: entry.started_ms for entry in entries}
        self._known = {
            name: known
            for name, known in self._known.items()
            if starts.get(name) == known.started_ms
        }

"""What the clients of a listener may occupy together.

Load: clients that keep within all limits of a connection, open many of them
and finish nothing: heads or bodies that stop, requests behind a slow one,
answers that they do not read, connections on which they send nothing.
"""

import collections
import dataclasses
import itertools

# Connections are shed above this share of the memory. New requests are
# refused only at all of it, so that small ones of others find room.
SHED_ABOVE = 0.75
# Shedding ends at this share, so that it is not needed for each new part.
SHED_DOWN_TO = 0.65
# A search for connections to shed looks at all of them. Another one follows
# after this time, or once this share of the memory has been added.
SEARCH_INTERVAL_S = 0.05
SEARCH_STEP = 0.05
# Number of connections with a request that are considered for each new one.
MAX_CLOSE_CANDIDATES = 64


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The limits of a listener.

    Parameters
    ==========
    memory_bytes : int
        Memory that its connections may occupy.
    connections : int
        Number of open connections.
    """

    memory_bytes: int = 64 << 20
    connections: int = 10_000


@dataclasses.dataclass(frozen=True)
class Holding:
    """What a connection occupies.

    Parameters
    ==========
    size : int
        Memory in bytes.
    since : float
        Monotonic time of the last step that its client has completed: a
        request or the reading of an answer.
    sheddable : bool
        Whether it waits for its client. Otherwise a request of it is being
        served, and nothing that it occupies can be released.
    closable : bool
        Whether it also has no request that is being served.
    """

    size: int
    since: float
    sheddable: bool
    closable: bool = False


def choose_shed(holdings, excess_bytes, now):
    """Return the keys of connections to shed, which occupy ``excess_bytes``.

    Those that have occupied the most memory for the longest time come first:
    a client that keeps sending and reading outlasts those that stopped,
    whatever the number of their connections.

    Examples
    ========
    >>> choose_shed(
    ...     {
    ...         'upload in progress': Holding(300_000, 9.9, True),
    ...         'head that stopped': Holding(20_000, 2.0, True),
    ...         'at a server': Holding(900_000, 1.0, False),
    ...     },
    ...     excess_bytes=10_000,
    ...     now=10.0,
    ... )
    ['head that stopped']

    Parameters
    ==========
    holdings : dict of object to Holding
        What each connection occupies.
    excess_bytes : int
        Memory to release.
    now : float
        Monotonic time in seconds.
    """
    ranked = sorted(
        (key for key, found in holdings.items() if found.sheddable),
        key=lambda key: holdings[key].size * (now - holdings[key].since),
        reverse=True,
    )
    chosen = []
    for key in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(key)
        excess_bytes -= holdings[key].size
    return chosen


class ClientBudget:
    """Counts what the connections of a listener occupy.

    Explanation
    ===========
    A connection is any hashable object with a method ``holding`` that
    returns a ``Holding``.

    Parameters
    ==========
    capacity : Capacity
        The limits.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.used_bytes = 0
        self._sizes = {}
        # Connections without and with a request, the one that has been so for
        # the longest time first.
        self._idle = collections.OrderedDict()
        self._busy = collections.OrderedDict()
        self._searched_at = float('-inf')
        self._searched_bytes = 0

    def __len__(self):
        return len(self._sizes)

    def update(self, conn, size, idle):
        """Note the memory of a connection and whether it has no request.

        Parameters
        ==========
        conn : object
            The connection.
        size : int
            Memory in bytes.
        idle : bool
            Whether its client has neither sent a part of a request nor waits
            for an answer.
        """
        self.used_bytes += size - self._sizes.get(conn, 0)
        self._sizes[conn] = size
        joined, left = self._busy, self._idle
        if idle:
            joined, left = left, joined
        left.pop(conn, None)
        joined.setdefault(conn)

    def remove(self, conn):
        """Forget a connection that was closed or shed."""
        self.used_bytes -= self._sizes.pop(conn, 0)
        self._idle.pop(conn, None)
        self._busy.pop(conn, None)

    @property
    def full(self):
        """Whether new requests have to be refused."""
        return self.used_bytes >= self.capacity.memory_bytes

    def to_shed(self, now):
        """Return the connections to shed in order to release memory."""
        limit = self.capacity.memory_bytes
        if self.used_bytes <= SHED_ABOVE * limit or not self._may_search(now):
            return []
        excess = self.used_bytes - round(SHED_DOWN_TO * limit)
        return choose_shed(self._holdings(), excess, now)

    def to_close(self):
        """Return the connection to close in favour of a new one, or None.

        The one that has been idle for the longest time is closed first, and
        after all idle ones, one that waits for its client.
        """
        if self._idle:
            return next(iter(self._idle))
        for conn in itertools.islice(self._busy, MAX_CLOSE_CANDIDATES):
            if conn.holding().closable:
                return conn
        return None

    @property
    def crowded(self):
        """Whether another connection needs one to be closed."""
        return len(self._sizes) >= self.capacity.connections

    def _may_search(self, now):
        added = self.used_bytes - self._searched_bytes
        if (
            now - self._searched_at < SEARCH_INTERVAL_S
            and added < SEARCH_STEP * self.capacity.memory_bytes
        ):
            return False
        self._searched_at = now
        self._searched_bytes = self.used_bytes
        return True

    def _holdings(self):
        return {conn: conn.holding() for conn in self._sizes}

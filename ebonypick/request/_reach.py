"""Tracks whether this host can open connections to backend servers.

Load: an entry host that callers, the store and the other hosts still reach
loses its links to all backend servers. Each failure looks like that of one
server; only the failures of several servers without a success in between tell
the two apart.
"""


class Reach:
    """The connections to backend servers that could not be opened.

    Examples
    ========
    >>> reach = Reach()
    >>> reach.note_failed('i-1'); reach.note_failed('i-2')
    >>> reach.unreached_count
    2
    >>> reach.note_opened()
    >>> reach.unreached_count
    0
    """

    def __init__(self):
        self._unreached = set()

    @property
    def unreached_count(self):
        """The servers not reached since a connection was last opened."""
        return len(self._unreached)

    def note_opened(self):
        """Record that a new connection to a server was opened."""
        self._unreached.clear()

    def note_failed(self, instance):
        """Record that no connection to a server could be opened."""
        self._unreached.add(instance)

"""Tracks the newest registration of each backend server.

A registration may reach the store after a later one of the same server: for
instance, one that declares the server ready may follow the one that announces
its shutdown. Registrations hold the server's start time and a sequence
number, so the older one is recognised, even where the row of the later one
has been removed already.
"""

from ebonypick import events

# Limit of removed instances whose last registration is retained.
MAX_REMOVED_INSTANCES = 2_000


class Registrations:
    """The newest registration of each instance."""

    def __init__(self):
        self._newest = {}
        self._refused = {}

    @property
    def size(self):
        """The number of instances with a retained registration."""
        return len(self._newest)

    def select(self, entries):
        """Return the entries to use, with outdated ones replaced.

        Parameters
        ==========
        entries : dict of str to ServerEntry
            The entries in the store by instance.

        Returns
        =======
        dict of str to ServerEntry
            The newest entry of each instance in the store. It replaces the
            store's entry where that is older.
        """
        found = {}
        for name, entry in entries.items():
            known = self._newest.get(name)
            if known is not None and entry.order < known.order:
                self._log_refused(name, entry)
                entry = known
            found[name] = entry
            self._newest.pop(name, None)
            self._newest[name] = entry
        self._forget(found)
        return found

    def _log_refused(self, name, entry):
        if self._refused.get(name) != entry.order:
            self._refused[name] = entry.order
            events.ENTRY_SKIPPED.log(
                table='servers',
                key=name,
                why=f'registration {entry.sequence} is out of date',
            )

    def _forget(self, present):
        """Drop the least recently seen removed instances above the limit."""
        for name in list(self._newest):
            if len(self._newest) <= len(present) + MAX_REMOVED_INSTANCES:
                return
            if name not in present:
                del self._newest[name]
                self._refused.pop(name, None)

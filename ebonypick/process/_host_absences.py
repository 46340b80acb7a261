"""Finds departed hosts whose rows in the store can be removed.

Load: thousands of hosts are replaced each day under new names, and rows in
the store do not expire. Each host reads all remaining rows at its start.
"""

import dataclasses

# Regions can lose contact with each other for an hour, so a host counts as
# departed after twice that time. If it returns, it registers again.
REMOVE_AFTER_S = 7_200.0


@dataclasses.dataclass(frozen=True)
class Absences:
    """The times since which hosts with a row have been absent.

    Examples
    ========
    >>> seen = Absences().after({'a', 'b'}, {'a'}, now=10.0)
    >>> seen.expired(now=10.0 + REMOVE_AFTER_S)
    ('b',)
    >>> seen.after({'a', 'b'}, {'a', 'b'}, now=20.0).expired(now=9e9)
    ()

    Parameters
    ==========
    since : dict of str to float
        Monotonic time of the first absence by host.
    """

    since: dict = dataclasses.field(default_factory=dict)

    def after(self, listed, live, now):
        """Return the absences updated with the live hosts.

        Parameters
        ==========
        listed, live : set of str
            Hosts with a row, and hosts that are alive.
        now : float
            Monotonic time in seconds.
        """
        return Absences(
            {name: self.since.get(name, now) for name in listed - live}
        )

    def expired(self, now):
        """Return the hosts whose rows can be removed, sorted by name."""
        return tuple(
            sorted(
                name
                for name, since in self.since.items()
                if now - since >= REMOVE_AFTER_S
            )
        )

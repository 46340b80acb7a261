"""The newest records of hosts, and how old the sign of life is in each.

A record ages from the time at which its author made it, whatever way it took:
its age travels with it. Otherwise each host that passes it on would prolong
the life of a lost author.
"""

import dataclasses
import math


@dataclasses.dataclass
class LifeSign:
    """The newest record of an author.

    Parameters
    ==========
    record : HostRecord or CentreRecord
        The record.
    at : float
        When its author made it, in monotonic time of this host.
    extended : bool
        Whether it became younger as this host had not been running.
    """

    record: object
    at: float
    extended: bool = False

    def age_ds(self, now):
        """Return the age in tenths of a second, rounded up."""
        return max(0, math.ceil((now - self.at) * 10))


class LifeSigns:
    """The newest record of each author.

    Examples
    ========
    >>> signs = LifeSigns()
    >>> signs.get('a') is None
    True
    """

    def __init__(self):
        self._signs = {}

    def get(self, key):
        """Return the sign of an author, or None."""
        return self._signs.get(key)

    def at(self, key):
        """Return when the newest record was made, or minus infinity."""
        sign = self._signs.get(key)
        return sign.at if sign else -math.inf

    def items(self):
        """Return the signs by author."""
        return self._signs.items()

    def keep(self, keys):
        """Forget all other authors."""
        self._signs = {k: v for k, v in self._signs.items() if k in keys}

    def store(self, key, record, at, answered=False):
        """Keep a record if it is newer than the known one.

        Parameters
        ==========
        key : str or tuple
            The author.
        record : HostRecord or CentreRecord
            The record.
        at : float
            When its author made it.
        answered : bool
            Whether the author itself sent it in an answer to this host. Then
            it is new also with the beat that is known: a host of an earlier
            release has one beat for each of its rounds.
        """
        known = self._signs.get(key)
        if known is None or record.order > known.record.order:
            self._signs[key] = LifeSign(record, at)
        elif answered and record.order == known.record.order:
            self._signs[key] = LifeSign(record, max(at, known.at))

    def extend(self, since, at):
        """Make signs younger after a pause of this host, each once.

        Parameters
        ==========
        since : float
            Older signs stay as they are.
        at : float
            Time from which the others count at the earliest.
        """
        for sign in self._signs.values():
            if since <= sign.at < at and not sign.extended:
                sign.at = at
                sign.extended = True

"""Versions of what the platform's store holds."""

import msgspec


class Revision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A version of the store, or of a row in it.

    Explanation
    ===========
    The store counts its changes. When it comes back from an older copy its
    count goes back, and numbers are given out again for other changes; its
    era, which rises each time, tells them apart.

    Examples
    ========
    >>> Revision(1, 40) > Revision(0, 90)
    True
    >>> NOTHING_KNOWN < Revision(0, 0)
    True

    Parameters
    ==========
    era : int
        How often the store has come back from an older copy.
    number : int
        Its count of changes; -1 before the first one.
    """

    era: int = 0
    number: int = -1


NOTHING_KNOWN = Revision()

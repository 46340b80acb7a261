"""Revisions of the platform's store and of its rows."""

import typing

import msgspec

from ebonypick import json_text

Number = typing.Annotated[int, msgspec.Meta(ge=-1, le=json_text.MAX_WHOLE)]


class Revision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A revision of the store, or of a row in it.

    Explanation
    ===========
    The store counts its changes. When it is restored from an older copy, its
    count goes back, and the same numbers are assigned again to other changes.
    The era, which rises with each restore, distinguishes them.

    Examples
    ========
    >>> Revision(1, 40) > Revision(0, 90)
    True
    >>> NO_REVISION < Revision(0, 0)
    True

    Parameters
    ==========
    era : int
        Number of times that the store was restored from an older copy.
    number : int
        Number of changes to the store; -1 where no revision is known.
    """

    era: json_text.Whole = 0
    number: Number = -1


NO_REVISION = Revision()

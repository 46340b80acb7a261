"""Messages in which hosts exchange rows of the platform's store.

They are encoded as arrays in the order of their fields.
"""

import msgspec

from ebonypick import platform


class KeptRow(msgspec.Struct, frozen=True, array_like=True):
    """A retained row that is used in place of the store's row.

    Parameters
    ==========
    key : str
        The row's key.
    left_s : float
        Remaining time of the retention in seconds.
    known : Revision
        The revision of the table from which the row was retained.
    found : Revision or None
        Revision of the row that the store has now; None without such a row.
    revision : Revision
        Revision of the retained value.
    value : str or None
        The retained value in base64; None where there was no row.
    """

    key: str
    left_s: float
    known: platform.Revision
    found: platform.Revision | None
    revision: platform.Revision
    value: str | None


class PeerRows(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table, sent from one host to another.

    Parameters
    ==========
    table : str
        The name of the table.
    base : Revision
        The changes apply to replicas of this revision or a later one;
        NO_REVISION where the rows are the whole table.
    revision : Revision
        The store's revision that the sender's replica reflects.
    rows : tuple of (str, Revision, str)
        Keys, revisions, and values in base64, as the store has them.
    removed : tuple of (str, Revision)
        Keys and revisions of removed rows.
    kept : tuple of KeptRow
        Retained rows that are used in place of the store's.
    """

    table: str
    base: platform.Revision
    revision: platform.Revision
    rows: tuple[tuple[str, platform.Revision, str], ...]
    removed: tuple[tuple[str, platform.Revision], ...] = ()
    kept: tuple[KeptRow, ...] = ()

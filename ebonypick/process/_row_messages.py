"""The messages by which hosts tell each other rows of the platform's store.

They go as arrays, in the order of their fields.
"""

import msgspec

from ebonypick import platform


class KeptRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of before that is used for a while, as it is told to others.

    Parameters
    ==========
    key : str
        Its key.
    left_s : float
        How long it is still kept.
    known : Revision
        As of when the table was known before.
    found : Revision or None
        The row that the store has meanwhile; None where it has none.
    revision : Revision
        Of the kept value.
    value : str or None
        The kept value in base64; None where there was no row.
    """

    key: str
    left_s: float
    known: platform.Revision
    found: platform.Revision | None
    revision: platform.Revision
    value: str | None


class PeerRows(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table as one host tells them to another.

    Parameters
    ==========
    table : str
        The table.
    base : Revision
        Only for hosts that know the table as of this revision or later;
        NOTHING_KNOWN where the rows are the whole table.
    revision : Revision
        The store's revision that the rows go back to.
    rows : tuple of (str, Revision, str)
        Keys, revisions, and values in base64, as the store has them.
    removed : tuple of (str, Revision)
        Keys of removed rows, and revisions.
    kept : tuple of KeptRow
        What is used in place of the store's rows.
    """

    table: str
    base: platform.Revision
    revision: platform.Revision
    rows: tuple[tuple[str, platform.Revision, str], ...]
    removed: tuple[tuple[str, platform.Revision], ...] = ()
    kept: tuple[KeptRow, ...] = ()

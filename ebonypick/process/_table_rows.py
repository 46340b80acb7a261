"""A host's replica of one table of the platform's store.

Load: the store becomes unavailable, lets entries expire, and may be restored
from an older copy, while hosts send each other the rows that they have. The
revision of the store, its era and its count of changes, decides which of two
replicas is newer. Where the store is known to lack rows that their writers
will write again, the earlier rows are retained for a bounded time and used
in place of the store's own.
"""

import base64
import dataclasses

from ebonypick import platform
from ebonypick.process import _row_messages

# Limit of removals that are recorded, so that a peer can be sent the changes
# since its revision instead of the whole table.
MAX_REMOVED_ROWS = 1_000


@dataclasses.dataclass(frozen=True)
class _RetainedRow:
    """An earlier row that is used in place of the store's row.

    Parameters
    ==========
    until : float
        Monotonic time at which the retention ends.
    known : Revision
        The revision of the table from which the row was retained.
    row : TableRow
        The retained row; its value is None where there was no row.
    """

    until: float
    known: platform.Revision
    row: platform.TableRow


def _encode(value):
    return None if value is None else base64.b64encode(value).decode()


def _decode(value):
    return None if value is None else base64.b64decode(value)


def _is_single_era(message):
    return message.base.era == message.revision.era


def _equal_values(row, other):
    return row is not None and other is not None and row.value == other.value


class TableRows:
    """The replica of a table, as a state machine without I/O.

    Parameters
    ==========
    table : str
        The name of the table.
    retention_s : float
        How long earlier rows are retained after the store was restored from
        an older copy.
    is_later : callable, optional
        Gets a key, the earlier value or None, and the store's value. It
        returns whether the contents show that the store's value was written
        after the earlier one, and so does not come from the older copy.
    """

    def __init__(
        self, table, retention_s, is_later=lambda key, old, new: False
    ):
        self._table = table
        self._retention_s = retention_s
        self._is_later = is_later
        self.revision = platform.NO_REVISION
        # Rows as the store has them, by key.
        self._stored = {}
        # Earlier rows that are used in place of the store's, by key.
        self._retained = {}
        # Revisions of removals, by key.
        self._removed = {}
        # All removals after this revision are in ``_removed``.
        self._removals_known_from = platform.NO_REVISION

    # Queries.

    def values(self):
        """Return the effective values by key."""
        found = {key: row.value for key, row in self._stored.items()}
        for key, retained in self._retained.items():
            found.pop(key, None)
            if retained.row.value is not None:
                found[key] = retained.row.value
        return found

    def stored_revision(self, key):
        """Return the revision of the store's row, or None without a row."""
        row = self._stored.get(key)
        return None if row is None else row.revision

    def effective_revision(self, key):
        """Return the revision of the effective value, or None without one.

        A retained row has its original revision. That belongs to an earlier
        era than the store's current value, which therefore compares as later
        whatever its number.
        """
        retained = self._retained.get(key)
        return (
            self.stored_revision(key)
            if retained is None
            else retained.row.revision
        )

    def is_retained(self, key):
        """Return whether a retained row is used in place of the store's."""
        return key in self._retained

    @property
    def retained_count(self):
        """The number of retained rows."""
        return len(self._retained)

    @property
    def state(self):
        """The revision and the retained keys, for detecting changes."""
        return self.revision, frozenset(self._retained)

    @property
    def retained_until(self):
        """Monotonic time at which the first retention ends, or None."""
        return min((k.until for k in self._retained.values()), default=None)

    # Updates from the store.

    def apply_snapshot(self, state, now, lapsed_until=None):
        """Replace the replica with a snapshot, unless it is out of date.

        Parameters
        ==========
        state : TableState
            All rows at one revision.
        now : float
            Monotonic time in seconds.
        lapsed_until : float, optional
            Monotonic time until which rows that the snapshot lacks are
            retained; by default they are dropped at once.
        """
        if state.revision < self.revision:
            return
        present = {row.key: row for row in state.rows if row.value is not None}
        if self._is_restored(state.revision):
            self._retain_differing_rows(present, now + self._retention_s)
        if lapsed_until is not None:
            for key in set(self._stored) - set(present):
                self._retain(key, lapsed_until)
        self._release_rewritten(present)
        self._stored = present
        self._removed = {}
        self._removals_known_from = state.revision
        self.revision = state.revision

    def apply_changes(self, state, lapsed_until=None):
        """Apply changes that belong to the replica's era.

        Parameters
        ==========
        state : TableState
            The changed rows; removed rows have no value.
        lapsed_until : float, optional
            Monotonic time until which removed rows are retained; by default
            they are dropped at once.
        """
        for row in state.rows:
            self._apply(row, lapsed_until)
        self.revision = max(self.revision, state.revision)

    def expire_retained(self, now):
        """End retentions that are due; return their keys."""
        ended = [
            k
            for k, retained in self._retained.items()
            if now >= retained.until
        ]
        for key in ended:
            del self._retained[key]
        return sorted(ended)

    def extend_retention(self, until):
        """Extend all retentions to at least a monotonic time."""
        self._retained = {
            key: dataclasses.replace(
                retained, until=max(retained.until, until)
            )
            for key, retained in self._retained.items()
        }

    def _is_restored(self, revision):
        known = self.revision
        return known != platform.NO_REVISION and revision.era > known.era

    def _retain_differing_rows(self, present, until):
        """Retain rows that differ in a store restored from an older copy.

        A row whose number was already assigned before the restore may come
        from the copy and be out of date. A row with a later number was
        written after the restore.
        """
        for key in set(self._stored) | set(present) | set(self._retained):
            row = present.get(key)
            if row is not None and self._written_after_restore(row):
                continue
            if key in self._retained or not _equal_values(
                row, self._stored.get(key)
            ):
                self._retain(key, until)

    def _written_after_restore(self, row):
        """Return whether a row was certainly written after the restore."""
        if row.revision.number > self.revision.number:
            return True
        return self._is_later(
            row.key, self._effective_value(row.key), row.value
        )

    def _effective_value(self, key):
        """Return the effective value of a key, or None without one."""
        retained = self._retained.get(key)
        row = self._stored.get(key) if retained is None else retained.row
        return None if row is None else row.value

    def _retain(self, key, until):
        """Retain a key's effective row until a monotonic time."""
        retained = self._retained.get(key)
        if retained is not None:
            until = max(until, retained.until)
            self._retained[key] = dataclasses.replace(retained, until=until)
            return
        none = platform.TableRow(key, None, self.revision)
        row = self._stored.get(key, none)
        self._retained[key] = _RetainedRow(until, self.revision, row)

    def _release_rewritten(self, present):
        """End the retention of rows that have been written again."""
        for key in list(self._retained):
            old = self._stored.get(key)
            new = present.get(key)
            if new is None:
                continue
            rewritten = (
                self._written_after_restore(new)
                if self._is_restored(new.revision)
                else old is None or new.revision > old.revision
            )
            if rewritten:
                del self._retained[key]

    def _is_outdated(self, row):
        """Return whether the replica has a newer revision of a row's key.

        Later changes may arrive from another host while an answer of the
        store is in transit.
        """
        known = self.stored_revision(row.key) or self._removed.get(row.key)
        return known is not None and row.revision < known

    def _apply(self, row, lapsed_until=None):
        """Apply one change, unless it is out of date."""
        if self._is_outdated(row):
            return
        if row.value is not None:
            self._retained.pop(row.key, None)
            self._stored[row.key] = row
            self._removed.pop(row.key, None)
            return
        if lapsed_until is None:
            self._retained.pop(row.key, None)
        elif row.key in self._stored:
            self._retain(row.key, lapsed_until)
        self._remove(row.key, row.revision)

    def _remove(self, key, revision):
        self._stored.pop(key, None)
        self._removed.pop(key, None)
        self._removed[key] = revision
        while len(self._removed) > MAX_REMOVED_ROWS:
            oldest = next(iter(self._removed))
            self._removals_known_from = max(
                self._removals_known_from, self._removed.pop(oldest)
            )

    # Exchange with other hosts.

    def rows_since(self, after, now):
        """Return the changes after a revision as a message to a peer.

        The message holds the whole table where the removals since that
        revision are not all recorded, or where it belongs to another era.
        """
        whole = (
            after < self._removals_known_from or after.era != self.revision.era
        )
        rows = tuple(
            (key, row.revision, _encode(row.value))
            for key, row in self._stored.items()
            # All rows belong to the era of the replica.
            if whole or row.revision.number > after.number
        )
        removed = tuple(
            (key, revision)
            for key, revision in self._removed.items()
            if not whole and revision > after
        )
        retained = tuple(
            _row_messages.KeptRow(
                key,
                round(retained.until - now, 2),
                retained.known,
                self.stored_revision(key),
                retained.row.revision,
                _encode(retained.row.value),
            )
            for key, retained in self._retained.items()
        )
        base = platform.NO_REVISION if whole else after
        return _row_messages.PeerRows(
            self._table, base, self.revision, rows, removed, retained
        )

    def apply_peer_rows(self, message, now):
        """Apply a peer's rows; return whether they could be applied.

        They cannot where the replica lacks changes that precede them.

        Raises
        ======
        ValueError
            If a value is not valid base64. The replica is unchanged then.
        """
        # All values are decoded first, so that a message with an unreadable
        # value has no effect.
        rows = tuple(
            platform.TableRow(key, _decode(value), revision)
            for key, revision, value in message.rows
        )
        removed = tuple(
            platform.TableRow(key, None, revision)
            for key, revision in message.removed
        )
        retained = tuple(
            platform.TableRow(item.key, _decode(item.value), item.revision)
            for item in message.kept
        )
        if message.revision > self.revision:
            if message.base == platform.NO_REVISION:
                self.apply_snapshot(
                    platform.TableState(message.revision, rows), now
                )
            elif message.base > self.revision or not _is_single_era(message):
                return False
            else:
                state = platform.TableState(message.revision, rows + removed)
                self.apply_changes(state)
        if message.revision.era == self.revision.era:
            for item, row in zip(message.kept, retained):
                self._adopt_retained(item, row, now)
        return True

    def _adopt_retained(self, item, row, now):
        """Adopt a peer's retained row if it comes from a later revision.

        It is ignored where the store's row has changed since the peer read
        it.
        """
        if self.stored_revision(item.key) != item.found:
            return
        mine = self._retained.get(item.key)
        if mine is None or item.known > mine.known:
            until = now + min(item.left_s, self._retention_s)
            self._retained[item.key] = _RetainedRow(until, item.known, row)

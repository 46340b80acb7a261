"""The rows of one table of the platform's store, as a host knows them.

Load: a store that goes away, lets entries lapse, and may come back from an
older copy, while hosts tell each other what they know of it. A position of the
store, its era and its count of changes, decides which of two views is newer;
where the store is known to lack what its writers will write again, the rows of
before are used in place of its own, for a bounded time.
"""

import base64
import dataclasses

from ebonypick import platform
from ebonypick.process import _row_messages

# Removed rows that are remembered, so that others are told of them alone.
REMOVED_MOST = 1_000


@dataclasses.dataclass(frozen=True)
class _Kept:
    """What is used in place of a row of the store.

    Parameters
    ==========
    until : float
        Monotonic time.
    known : Revision
        As of when the table was known before.
    row : TableRow
        The value of before; None where there was no row.
    """

    until: float
    known: platform.Revision
    row: platform.TableRow


def _encode(value):
    return None if value is None else base64.b64encode(value).decode()


def _decode(value):
    return None if value is None else base64.b64decode(value)


def _one_era(told):
    return told.base.era == told.revision.era


def _same(row, other):
    return row is not None and other is not None and row.value == other.value


class TableRows:
    """What is known of a table; a state machine.

    Parameters
    ==========
    table : str
        The table.
    kept_s : float
        How long rows of before are kept once the store came back from an
        older copy.
    later : callable, optional
        Gets a key, the value of before or None, and a value of the store;
        returns whether by what it says the second is not of the copy.
    """

    def __init__(self, table, kept_s, later=lambda key, old, new: False):
        self._table = table
        self._kept_s = kept_s
        self._later = later
        self.revision = platform.NOTHING_KNOWN
        # As the store has them.
        self._found = {}
        # What is used in their place.
        self._kept = {}
        self._removed = {}
        # Removals are known from this revision on.
        self._removed_from = platform.NOTHING_KNOWN

    # What is known.

    def values(self):
        """Return the values to use, by key."""
        found = {key: row.value for key, row in self._found.items()}
        for key, kept in self._kept.items():
            found.pop(key, None)
            if kept.row.value is not None:
                found[key] = kept.row.value
        return found

    def found_revision(self, key):
        """Return the revision of the store's row, None where it has none."""
        row = self._found.get(key)
        return None if row is None else row.revision

    def used_revision(self, key):
        """Return the revision of the value to use, None where there is none.

        Of a row of before it is that of before, so a value that the store
        has now is the later one whatever its number.
        """
        kept = self._kept.get(key)
        return self.found_revision(key) if kept is None else kept.row.revision

    def keeps(self, key):
        """Return whether a row of before is used in place of the store's."""
        return key in self._kept

    @property
    def kept_count(self):
        """How many rows of before are used in place of the store's."""
        return len(self._kept)

    @property
    def state(self):
        """The revision, and what is kept; changes with what is known."""
        return self.revision, frozenset(self._kept)

    @property
    def kept_until(self):
        """Monotonic time until which a row is kept; None where none is."""
        return min((k.until for k in self._kept.values()), default=None)

    # What the store says.

    def take_whole(self, state, now, lapsed_until=None):
        """Take in the whole table.

        Parameters
        ==========
        state : TableState
            All rows as of one moment.
        now : float
            Monotonic time in seconds.
        lapsed_until : float, optional
            Rows that are missing are kept until then.
        """
        if state.revision < self.revision:
            return
        present = {row.key: row for row in state.rows if row.value is not None}
        if self._restored(state.revision):
            self._keep_what_differs(present, now + self._kept_s)
        if lapsed_until is not None:
            for key in set(self._found) - set(present):
                self._keep(key, lapsed_until)
        self._forget_returned(present)
        self._found = present
        self._removed = {}
        self._removed_from = state.revision
        self.revision = state.revision

    def take_changes(self, state, lapsed_until=None):
        """Take in an answer of the store's feed, of the era that is known.

        Parameters
        ==========
        state : TableState
            What changed, removed rows without a value.
        lapsed_until : float, optional
            Rows that were removed are kept until then.
        """
        for row in state.rows:
            self._apply(row, lapsed_until)
        self.revision = max(self.revision, state.revision)

    def settle(self, now):
        """Use the store's rows where it is time; return their keys."""
        ended = [k for k, kept in self._kept.items() if now >= kept.until]
        for key in ended:
            del self._kept[key]
        return sorted(ended)

    def prolong(self, until):
        """Keep what is kept at least until a monotonic time."""
        self._kept = {
            key: dataclasses.replace(kept, until=max(kept.until, until))
            for key, kept in self._kept.items()
        }

    def _restored(self, revision):
        known = self.revision
        return known != platform.NOTHING_KNOWN and revision.era > known.era

    def _keep_what_differs(self, present, until):
        """Keep what an older copy of the store has otherwise.

        A row with a number that was already given out before may be one of
        the copy, out of date; one with a later number was written since.
        """
        for key in set(self._found) | set(present) | set(self._kept):
            row = present.get(key)
            if row is not None and self._written_since(row):
                continue
            if key in self._kept or not _same(row, self._found.get(key)):
                self._keep(key, until)

    def _written_since(self, row):
        """Return whether a row was surely written since the restore."""
        if row.revision.number > self.revision.number:
            return True
        return self._later(row.key, self._value(row.key), row.value)

    def _value(self, key):
        """Return the value to use, None where there is none."""
        kept = self._kept.get(key)
        row = self._found.get(key) if kept is None else kept.row
        return None if row is None else row.value

    def _keep(self, key, until):
        """Use what is used now until a time, whatever the store has."""
        kept = self._kept.get(key)
        if kept is not None:
            until = max(until, kept.until)
            self._kept[key] = dataclasses.replace(kept, until=until)
            return
        none = platform.TableRow(key, None, self.revision)
        row = self._found.get(key, none)
        self._kept[key] = _Kept(until, self.revision, row)

    def _forget_returned(self, present):
        """End what is kept of rows that were written since."""
        for key in list(self._kept):
            old = self._found.get(key)
            new = present.get(key)
            if new is None:
                continue
            rewritten = (
                self._written_since(new)
                if self._restored(new.revision)
                else old is None or new.revision > old.revision
            )
            if rewritten:
                del self._kept[key]

    def _older(self, row):
        """Return whether something newer is known of a key.

        An answer of the store may have been on its way while another host
        told of later changes.
        """
        known = self.found_revision(row.key) or self._removed.get(row.key)
        return known is not None and row.revision < known

    def _apply(self, row, lapsed_until=None):
        """Take in one change."""
        if self._older(row):
            return
        if row.value is not None:
            self._kept.pop(row.key, None)
            self._found[row.key] = row
            self._removed.pop(row.key, None)
            return
        if lapsed_until is None:
            self._kept.pop(row.key, None)
        elif row.key in self._found:
            self._keep(row.key, lapsed_until)
        self._remove(row.key, row.revision)

    def _remove(self, key, revision):
        self._found.pop(key, None)
        self._removed.pop(key, None)
        self._removed[key] = revision
        while len(self._removed) > REMOVED_MOST:
            oldest = next(iter(self._removed))
            self._removed_from = max(
                self._removed_from, self._removed.pop(oldest)
            )

    # What hosts tell each other.

    def told(self, after, now):
        """Return what changed after a revision, as it is told to others."""
        whole = after < self._removed_from or after.era != self.revision.era
        rows = tuple(
            (key, row.revision, _encode(row.value))
            for key, row in self._found.items()
            # All of them are of the era that is known.
            if whole or row.revision.number > after.number
        )
        removed = tuple(
            (key, revision)
            for key, revision in self._removed.items()
            if not whole and revision > after
        )
        kept = tuple(
            _row_messages.KeptRow(
                key,
                round(kept.until - now, 2),
                kept.known,
                self.found_revision(key),
                kept.row.revision,
                _encode(kept.row.value),
            )
            for key, kept in self._kept.items()
        )
        base = platform.NOTHING_KNOWN if whole else after
        return _row_messages.PeerRows(
            self._table, base, self.revision, rows, removed, kept
        )

    def take_told(self, told, now):
        """Take in what another host tells; return whether it could be used.

        It cannot where changes before it are missing here.

        Raises
        ======
        ValueError
            If a value is no base64.
        """
        # Nothing is taken of a message of which a part cannot be read.
        rows = tuple(
            platform.TableRow(key, _decode(value), revision)
            for key, revision, value in told.rows
        )
        removed = tuple(
            platform.TableRow(key, None, revision)
            for key, revision in told.removed
        )
        kept = tuple(
            platform.TableRow(item.key, _decode(item.value), item.revision)
            for item in told.kept
        )
        if told.revision > self.revision:
            if told.base == platform.NOTHING_KNOWN:
                self.take_whole(platform.TableState(told.revision, rows), now)
            elif told.base > self.revision or not _one_era(told):
                return False
            else:
                state = platform.TableState(told.revision, rows + removed)
                self.take_changes(state)
        if told.revision.era == self.revision.era:
            for item, row in zip(told.kept, kept):
                self._adopt(item, row, now)
        return True

    def _adopt(self, item, row, now):
        """Keep what another host keeps, if it knew more of the time before.

        Not where the store's row has changed since the other one saw it.
        """
        if self.found_revision(item.key) != item.found:
            return
        mine = self._kept.get(item.key)
        if mine is None or item.known > mine.known:
            until = now + min(item.left_s, self._kept_s)
            self._kept[item.key] = _Kept(until, item.known, row)

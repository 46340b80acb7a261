"""Replicas of a table under updates from the store and from peers."""

import base64

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick.process import _table_rows

TABLE = 'things'
RETENTION_S = 3.0
KEYS = ('a', 'b', 'c')
HOSTS = range(3)


def _at(number, era=0):
    return platform.Revision(era, number)


def _state(number, *rows, era=0):
    """Return an answer of the store; rows are keys, values and numbers."""
    return platform.TableState(
        _at(number, era),
        tuple(
            platform.TableRow(key, value, _at(ver, era))
            for key, value, ver in rows
        ),
    )


def _replica(number, *rows, era=0):
    """Return the replica of a host that has read the whole table."""
    found = _table_rows.TableRows(TABLE, RETENTION_S)
    found.apply_snapshot(_state(number, *rows, era=era), 0.0)
    return found


def test_a_delayed_store_answer_does_not_undo_newer_peer_rows():
    """The store's answer is older than rows that a peer sent meanwhile."""
    rows = _replica(5, ('a', b'x', 3), ('b', b'x', 4))
    other = _replica(9, ('a', b'new', 8), ('b', b'x', 4))
    other.apply_changes(_state(10, ('a', b'newer', 10)))
    # The replica lacks the changes before these.
    assert not rows.apply_peer_rows(other.rows_since(_at(9), 0.0), 0.0)
    assert rows.apply_peer_rows(other.rows_since(_at(5), 0.0), 0.0)
    rows.apply_changes(
        _state(7, ('a', b'old', 6), ('b', None, 7), ('c', b'new', 7))
    )
    assert rows.values() == {'a': b'newer', 'c': b'new'}
    assert rows.revision == _at(10)
    rows.apply_changes(_state(8, ('b', b'old', 6)))
    assert 'b' not in rows.values()


def test_peers_retain_a_lapsed_row_until_the_same_time():
    """Peers end the retention without another message."""
    reader = _replica(5, ('a', b'x', 3), ('b', b'x', 3))
    host = _replica(5, ('a', b'x', 3), ('b', b'x', 3))
    reader.apply_snapshot(_state(7, ('b', b'x', 3)), 0.0, lapsed_until=2.0)
    host.apply_peer_rows(reader.rows_since(_at(5), 0.5), 0.5)
    assert host.revision == _at(7)
    for rows in (reader, host):
        assert rows.expire_retained(1.9) == []
        assert set(rows.values()) == {'a', 'b'}
        assert rows.expire_retained(2.0) == ['a']
        assert set(rows.values()) == {'b'}


def test_a_lapsed_row_expires_after_changes_from_a_peer():
    reader = _replica(5, ('a', b'x', 3), ('b', b'x', 3))
    reader.apply_snapshot(_state(7, ('b', b'x', 3)), 0.0, lapsed_until=2.0)
    other = _replica(7, ('b', b'x', 3))
    other.apply_changes(_state(9, ('c', b'x', 9)))
    reader.apply_peer_rows(other.rows_since(_at(7), 0.0), 0.0)
    reader.expire_retained(2.0)
    assert set(reader.values()) == {'b', 'c'}


def test_a_retained_row_of_a_peer_does_not_replace_a_newer_row():
    reader = _replica(5, ('a', b'x', 3))
    reader.apply_snapshot(_state(7), 0.0, lapsed_until=2.0)
    host = _replica(9, ('a', b'new', 9))
    host.apply_peer_rows(reader.rows_since(_at(5), 0.0), 0.0)
    assert host.values() == {'a': b'new'}
    host.expire_retained(9.0)
    assert host.values() == {'a': b'new'}


@pytest.mark.parametrize('value', ['a', 'aGVsbG8=\udcff'])
def test_a_message_with_an_unreadable_value_has_no_effect(value):
    rows = _replica(5, ('k', b'good', 5))
    good = base64.b64encode(b'new').decode()
    broken = _row_messages.PeerRows(
        TABLE,
        platform.NO_REVISION,
        _at(7),
        (('n', _at(7), good), ('k', _at(7), value)),
    )
    with pytest.raises(ValueError):
        rows.apply_peer_rows(broken, 0.0)
    assert rows.values() == {'k': b'good'}
    assert rows.revision == _at(5)


def test_a_later_era_precedes_higher_numbers_of_an_earlier_one():
    rows = _replica(90, ('a', b'old', 80))
    rows.apply_snapshot(_state(40, ('a', b'old', 30), era=1), 0.0)
    assert rows.revision == _at(40, era=1)
    rows.apply_changes(_state(41, ('a', b'new', 41), era=1))
    assert rows.values() == {'a': b'new'}
    stale = _replica(99, ('a', b'stale', 99))
    assert rows.apply_peer_rows(
        stale.rows_since(platform.NO_REVISION, 0.0), 0.0
    )
    assert rows.values() == {'a': b'new'}
    assert rows.revision == _at(41, era=1)


def test_a_removed_row_in_an_older_copy_stays_removed():
    rows = _replica(70, ('gone', b'x', 60), ('here', b'x', 61))
    rows.apply_changes(_state(80, ('gone', None, 80)))
    rows.apply_snapshot(
        _state(75, ('gone', b'x', 60), ('here', b'x', 61), era=1), 0.0
    )
    assert set(rows.values()) == {'here'}
    # It is removed again.
    rows.apply_changes(_state(76, ('gone', None, 76), era=1))
    rows.expire_retained(RETENTION_S)
    assert set(rows.values()) == {'here'}


def test_a_row_written_after_the_restore_applies_at_once():
    rows = _replica(80, ('a', b'x', 60))
    rows.apply_snapshot(
        _state(82, ('a', b'y', 81), ('n', b'z', 82), era=1), 0.0
    )
    assert rows.values() == {'a': b'y', 'n': b'z'}
    assert not rows.retained_count


def test_a_host_started_after_the_restore_adopts_retained_rows():
    """The host itself has read only the older copy."""
    rows = _replica(90, ('a', b'old', 50))
    rows.apply_changes(_state(95, ('a', b'new', 95), ('b', b'new', 95)))
    copy = _state(60, ('a', b'old', 50), era=1)
    rows.apply_snapshot(copy, 10.0)
    started = _table_rows.TableRows(TABLE, RETENTION_S)
    started.apply_snapshot(copy, 10.5)
    assert started.values() == {'a': b'old'}
    message = rows.rows_since(platform.NO_REVISION, 11.0)
    started.apply_peer_rows(message, 11.0)
    assert started.values() == {'a': b'new', 'b': b'new'}
    assert started.retained_until == pytest.approx(13.0)
    # The retained value has its revision of the earlier era, so another value
    # with the same number is later.
    assert started.effective_revision('a') == _at(95)
    assert started.stored_revision('a') == _at(50, era=1)


def test_the_row_retained_from_the_later_revision_wins():
    rows = [_replica(90, ('a', b'old', 50)) for _ in range(2)]
    rows[1].apply_changes(_state(95, ('a', b'new', 95)))
    copy = _state(60, ('a', b'older', 40), era=1)
    for found in rows:
        found.apply_snapshot(copy, 0.0)
    for sender, receiver in ((0, 1), (1, 0)):
        rows[receiver].apply_peer_rows(
            rows[sender].rows_since(_at(60, 1), 0.0), 0.0
        )
    assert [found.values() for found in rows] == 2 * [{'a': b'new'}]


def test_changes_across_eras_are_sent_as_a_whole_table():
    rows = _replica(60, ('a', b'x', 40), era=1)
    assert rows.rows_since(_at(90), 0.0).base == platform.NO_REVISION
    assert rows.rows_since(_at(60, era=1), 0.0).base == _at(60, era=1)
    odd = _row_messages.PeerRows(TABLE, _at(5), _at(61, era=1), ())
    assert not _replica(9, ('a', b'x', 4)).apply_peer_rows(odd, 0.0)


class _RestoreMachine(stateful.RuleBasedStateMachine):
    """A store with restores, and replicas updated by it or by peers.

    In every interleaving of snapshots, changes, peer messages and restores,
    all replicas converge to the store's rows after the last write.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.era = 0
        self.number = 0
        self.found = {}
        self.history = []
        self.copies = [(0, {}, [])]
        self.answers = []
        self.written = 0
        self.hosts = [_table_rows.TableRows(TABLE, RETENTION_S) for _ in HOSTS]

    def _set(self, key, value):
        self.number += 1
        if value is None:
            self.found.pop(key, None)
        else:
            self.found[key] = (value, self.number)
        self.history.append((self.number, key, value))

    def _whole(self):
        rows = [(key, *row) for key, row in self.found.items()]
        return _state(self.number, *rows, era=self.era)

    def _feed(self, after):
        rows = [
            (key, value, number)
            for number, key, value in self.history
            if number > after
        ]
        return _state(self.number, *rows, era=self.era)

    @stateful.rule(key=st.sampled_from(KEYS))
    def put(self, key):
        """A writer sets a row to a new value."""
        self.written += 1
        self._set(key, str(self.written).encode())

    @stateful.rule(key=st.sampled_from(KEYS))
    def remove(self, key):
        """A writer removes a row."""
        self._set(key, None)

    @stateful.rule()
    def copy(self):
        """A copy of the store is made."""
        self.copies.append((self.number, dict(self.found), list(self.history)))

    @stateful.rule(which=st.integers(0, 5))
    def restore(self, which):
        """The store is restored from a copy, in a new era."""
        copy = self.copies[-1 - which % len(self.copies)]
        self.number, self.found = copy[0], dict(copy[1])
        self.history = list(copy[2])
        self.era += 1

    @stateful.rule(host=st.sampled_from(HOSTS), lapses=st.booleans())
    def read(self, host, lapses):
        """A host requests the whole table; the answer arrives later."""
        until = self.now + 2.0 if lapses else None
        self.answers.append((host, self._whole(), until))

    @stateful.rule(host=st.sampled_from(HOSTS))
    def watch(self, host):
        """A host requests changes; the answer arrives later."""
        known = self.hosts[host].revision
        if known.era == self.era and 0 <= known.number <= self.number:
            self.answers.append((host, self._feed(known.number), 'feed'))

    @stateful.rule(which=st.integers(0, 9))
    def answer(self, which):
        """An answer of the store arrives, in any order."""
        if not self.answers:
            return
        host, state, until = self.answers.pop(which % len(self.answers))
        rows = self.hosts[host]
        if until != 'feed':
            rows.apply_snapshot(state, self.now, until)
        elif state.revision.era == rows.revision.era:
            rows.apply_changes(state)

    @stateful.rule(
        sender=st.sampled_from(HOSTS),
        receiver=st.sampled_from(HOSTS),
        whole=st.booleans(),
    )
    def exchange(self, sender, receiver, whole):
        """A host sends its rows to another."""
        known = self.hosts[receiver].revision
        after = platform.NO_REVISION if whole else known
        message = self.hosts[sender].rows_since(after, self.now)
        self.hosts[receiver].apply_peer_rows(message, self.now)

    @stateful.rule(span_s=st.sampled_from([0.1, 1.0, 2.0]))
    def wait(self, span_s):
        """Time passes."""
        self.now += span_s
        for rows in self.hosts:
            rows.expire_retained(self.now)

    def teardown(self):
        """Let one reader read the table and update the others; compare."""
        self.now += RETENTION_S
        reader, *others = self.hosts
        reader.apply_snapshot(self._whole(), self.now)
        for rows in others:
            assert rows.apply_peer_rows(
                reader.rows_since(rows.revision, self.now), self.now
            )
        self.now += RETENTION_S
        expected = {key: value for key, (value, _) in self.found.items()}
        for rows in self.hosts:
            rows.expire_retained(self.now)
            assert rows.values() == expected


TestRestoreMachine = _RestoreMachine.TestCase

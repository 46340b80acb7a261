"""Tables of the store, followed through its faults."""

import asyncio
import base64
import contextlib
import time

import msgspec
import pytest

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _tables
from standins import store

TABLE = 'things'
TIMEOUT_S = 10.0


class _Scene:
    """A store, a follower and what it published."""

    def __init__(self, stand_in, follower, published):
        self.store = stand_in
        self.follower = follower
        self.published = published

    def put(self, key, value):
        """Set a row of the table."""
        self.store.put(TABLE, key, value)

    def remove(self, key):
        """Remove a row of the table."""
        self.store.remove(TABLE, key)

    async def until(self, *keys):
        """Wait until the follower has exactly these rows."""
        end = time.monotonic() + TIMEOUT_S
        while set(self.follower.rows) != set(keys):
            assert time.monotonic() < end, self.follower.rows
            await asyncio.sleep(0.01)

    async def until_lost(self):
        """Wait until the follower noticed that the store is away."""
        end = time.monotonic() + TIMEOUT_S
        while not self.follower.lost:
            assert time.monotonic() < end
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _scene(peers=(), keep_lapsed=False):
    async with store.Store() as stand_in:
        async with connection.make_platform(
            'table', '127.0.0.1', stand_in.port
        ) as client:
            published = []
            follower = _tables.TableFollower(
                client,
                TABLE,
                published.append,
                lambda: peers,
                keep_lapsed=keep_lapsed,
            )
            task = asyncio.create_task(follower.run())
            try:
                yield _Scene(stand_in, follower, published)
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task


def test_changes_arrive_and_the_last_rows_hold_without_the_store():
    async def run():
        async with _scene() as scene:
            scene.put('a', b'1')
            await scene.until('a')
            scene.put('b', b'2')
            scene.remove('a')
            await scene.until('b')
            scene.store.faults.down = True
            await scene.until_lost()
            scene.put('c', b'3')
            assert set(scene.follower.rows) == {'b'}
            scene.store.faults.down = False
            await scene.until('b', 'c')
            assert scene.published[-1] == {'b': b'2', 'c': b'3'}

    asyncio.run(run())


def test_a_forgotten_history_loses_no_change():
    async def run():
        async with _scene() as scene:
            scene.put('a', b'1')
            await scene.until('a')
            for number in range(20):
                scene.put(f'k{number}', b'x')
                scene.store.drop_history()
                await asyncio.sleep(0.02)
            scene.remove('a')
            scene.store.drop_history()
            await scene.until(*(f'k{number}' for number in range(20)))

    asyncio.run(run())


def test_more_rows_than_a_page_are_read():
    async def run():
        async with _scene() as scene:
            keys = [f'k{number:05d}' for number in range(1203)]
            for key in keys:
                scene.put(key, b'x')
            await scene.until(*keys)

    asyncio.run(run())


def test_pages_may_end_at_keys_of_any_characters():
    """Other writers choose their keys as they like."""

    async def run():
        async with _scene() as scene:
            keys = [f'k&#+% ä/{number:05d}' for number in range(1203)]
            for key in keys:
                scene.put(key, b'x')
            await scene.until(*keys)

    asyncio.run(run())


@pytest.mark.parametrize('returns', [True, False])
def test_rows_that_lapse_in_an_outage_are_kept_for_a_while(returns):
    """Whoever is not back within the agreed time is gone."""

    async def run():
        async with _scene(keep_lapsed=True) as scene:
            scene.put('a', b'1')
            scene.put('b', b'2')
            await scene.until('a', 'b')
            scene.store.faults.down = True
            await scene.until_lost()
            scene.remove('a')
            await asyncio.sleep(_tables.LAPSE_AFTER_S + 0.2)
            scene.store.faults.down = False
            while scene.follower.lost:
                await asyncio.sleep(0.01)
            back_at = time.monotonic()
            assert set(scene.follower.rows) == {'a', 'b'}
            if returns:
                scene.put('a', b'3')
                await asyncio.sleep(_tables.LAPSED_S + 1.0)
                assert scene.follower.rows == {'a': b'3', 'b': b'2'}
                return
            await scene.until('b')
            assert time.monotonic() - back_at > 0.5 * _tables.LAPSED_S

    asyncio.run(run())


class _Peer:
    """Another host with newer rows."""

    def __init__(self, rows):
        self._rows = rows

    async def call_json(self, method, path):
        """Answer with the rows."""
        told = _tables.PeerRows(TABLE, -1, 1_000, self._rows)
        return 200, msgspec.json.encode(told)


def test_a_host_that_the_store_turns_away_hears_of_changes_from_others():
    async def run():
        peer = _Peer((('n', 900, 'eA=='),))
        async with _scene(peers=(peer,)) as scene:
            scene.put('a', b'1')
            await scene.until('a')
            scene.store.faults.turned_away.add('127.0.0.1')
            await scene.until('n')
            assert scene.follower.rows == {'n': b'x'}

    asyncio.run(run())


def test_a_follower_ends_when_it_is_cancelled():
    async def run():
        async with _scene() as scene:
            scene.put('a', b'1')
            await scene.until('a')
        async with _scene() as scene:
            scene.store.faults.down = True
            await scene.until_lost()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def _told(base, revision, *rows):
    encoded = tuple((key, number, 'eA==') for key, number in rows)
    return _tables.PeerRows(TABLE, base, revision, encoded)


def _state(revision, *rows):
    return platform.TableState(
        revision, tuple(platform.TableRow(*row) for row in rows)
    )


def test_an_answer_on_its_way_does_not_undo_what_another_host_told():
    """The store's answer is older than the rows that came meanwhile."""
    follower = _tables.TableFollower(
        None, TABLE, lambda rows: None, tuple, lambda: False
    )
    assert follower.take_told(_told(-1, 5, ('a', 3), ('b', 4)))
    assert follower.take_told(_told(5, 9, ('a', 8)))
    follower.take_changes(
        _state(7, ('a', b'old', 6), ('b', None, 7), ('c', b'new', 7))
    )
    assert follower.rows == {'a': b'x', 'c': b'new'}
    assert follower.revision == 9
    follower.take_changes(_state(8, ('b', b'old', 6)))
    assert 'b' not in follower.rows


def _settled(follower, at):
    """Let a reader come back from an outage and find a row lapsed."""
    follower._back_at = at
    follower._take_whole(
        platform.TableState(7, (platform.TableRow('b', b'2', 3),))
    )


def _knowing(*names):
    """Return a follower that knows rows, as of revision 5."""
    follower = _tables.TableFollower(
        None, TABLE, lambda rows: None, tuple, lambda: False
    )
    follower.take_told(_told(-1, 5, *((name, 3) for name in names)))
    return follower


def test_a_row_that_lapsed_is_removed_at_hosts_that_were_told_past_it():
    """They heard of a later change while the reader still kept the row."""
    reader = _knowing('a', 'b')
    host = _knowing('a', 'b')
    _settled(reader, time.monotonic())
    host.take_told(reader.told(5))
    assert host.revision == 7
    assert set(host.rows) == {'a', 'b'}
    before = reader.late_removals
    reader._lapsed['a'] = 0.0
    reader._settle(())
    assert reader.late_removals == before + 1
    host.take_told(reader.told(7))
    assert set(host.rows) == {'b'}


def test_a_lapsed_row_is_not_kept_because_another_host_tells_changes():
    reader = _knowing('a', 'b')
    _settled(reader, time.monotonic())
    reader._lapsed['a'] = 0.0
    reader.take_told(_told(7, 9, ('c', 9)))
    reader._settle(())
    assert set(reader.rows) == {'b', 'c'}


def test_a_late_removal_does_not_undo_a_newer_row():
    host = _knowing('a')
    host.take_told(_told(5, 9, ('a', 9)))
    host.take_told(_tables.PeerRows(TABLE, 7, 7, (), (('a', 7),)))
    assert set(host.rows) == {'a'}


def test_nothing_is_taken_of_rows_that_cannot_be_read_in_part():
    published = []
    follower = _tables.TableFollower(None, 't', published.append, lambda: ())
    good = base64.b64encode(b'good').decode()
    follower.take_told(_tables.PeerRows('t', -1, 5, (('k', 5, good),)))
    broken = _tables.PeerRows('t', -1, 7, (('n', 7, good), ('k', 7, 'a')))
    with pytest.raises(ValueError):
        follower.take_told(broken)
    assert follower.rows == {'k': b'good'}
    assert follower.revision == 5

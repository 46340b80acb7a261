"""Replication of the store's tables through its faults."""

import asyncio
import contextlib
import time

import msgspec
import pytest

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick.process import _store_contact
from ebonypick.process import _table_follower
from standins import store

TABLE = 'things'
TIMEOUT_S = 10.0
AWAY_S = 0.3


class _Scene:
    """A store, a follower and its publications."""

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

    def change(self, *changes):
        """Set rows, or remove those without a value."""
        for key, value in changes:
            if value is None:
                self.remove(key)
            else:
                self.put(key, value)

    async def until(self, *keys):
        """Wait until the follower has exactly these rows."""
        end = time.monotonic() + TIMEOUT_S
        while set(self.follower.rows) != set(keys):
            assert time.monotonic() < end, self.follower.rows
            await asyncio.sleep(0.01)

    async def until_unavailable(self, unavailable=True):
        """Wait until the follower notices that the store is unavailable."""
        end = time.monotonic() + TIMEOUT_S
        while self.follower.unavailable is not unavailable:
            assert time.monotonic() < end
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _scene(peers=(), **terms):
    async with store.Store() as stand_in:
        async with connection.make_platform(
            'table', '127.0.0.1', stand_in.port
        ) as client:
            published = []
            follower = _table_follower.TableFollower(
                client,
                TABLE,
                published.append,
                lambda: peers,
                **terms,
            )
            task = asyncio.create_task(follower.run())
            try:
                yield _Scene(stand_in, follower, published)
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task


def test_changes_arrive_and_the_last_rows_stay_in_use_in_an_outage():
    async def run():
        async with _scene() as scene:
            scene.put('a', b'1')
            await scene.until('a')
            scene.put('b', b'2')
            scene.remove('a')
            await scene.until('b')
            scene.store.faults.down = True
            await scene.until_unavailable()
            scene.put('c', b'3')
            assert set(scene.follower.rows) == {'b'}
            scene.store.faults.down = False
            await scene.until('b', 'c')
            assert scene.published[-1] == {'b': b'2', 'c': b'3'}

    asyncio.run(run())


def test_a_dropped_history_loses_no_change():
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
    """Other writers may use any characters in their keys."""

    async def run():
        async with _scene() as scene:
            keys = [f'k&#+% ä/{number:05d}' for number in range(1203)]
            for key in keys:
                scene.put(key, b'x')
            await scene.until(*keys)

    asyncio.run(run())


@pytest.mark.parametrize('returns', [True, False])
def test_rows_that_lapse_in_an_outage_are_retained_for_a_time(returns):
    """A row that is not written again within LAPSED_HOLD_S is dropped."""

    async def run():
        async with _scene(retain_lapsed=True) as scene:
            scene.put('a', b'1')
            scene.put('b', b'2')
            await scene.until('a', 'b')
            scene.store.faults.down = True
            await scene.until_unavailable()
            scene.remove('a')
            await asyncio.sleep(_table_follower.MIN_LAPSE_OUTAGE_S + 0.2)
            scene.store.faults.down = False
            while scene.follower.unavailable:
                await asyncio.sleep(0.01)
            back_at = time.monotonic()
            assert set(scene.follower.rows) == {'a', 'b'}
            if returns:
                scene.put('a', b'3')
                await asyncio.sleep(_table_follower.LAPSED_HOLD_S + 1.0)
                assert scene.follower.rows == {'a': b'3', 'b': b'2'}
                return
            await scene.until('b')
            assert (
                time.monotonic() - back_at
                > 0.5 * _table_follower.LAPSED_HOLD_S
            )

    asyncio.run(run())


class _Peer:
    """A peer with newer rows."""

    def __init__(self, rows):
        self._rows = rows

    async def call_json(self, method, path, transfer_s, headers):
        """Answer with the rows."""
        message = _row_messages.PeerRows(
            TABLE,
            platform.NO_REVISION,
            platform.Revision(0, 1_000),
            self._rows,
        )
        return 200, msgspec.json.encode(message)


def test_a_host_that_the_store_rejects_gets_changes_from_peers():
    async def run():
        peer = _Peer((('n', platform.Revision(0, 900), 'eA=='),))
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
            await scene.until_unavailable()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def _copy_after(scene, *changes):
    """Return a copy of the store, then make changes that it lacks."""
    copy = scene.store.copy()
    scene.change(*changes)
    return copy


async def _until_era(scene, era):
    end = time.monotonic() + TIMEOUT_S
    while scene.follower.revision.era < era:
        assert time.monotonic() < end, scene.follower.revision
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('away_s', [0.0, 0.3])
def test_rows_missing_from_an_older_copy_are_retained_until_rewritten(away_s):
    """Later changes with numbers that are assigned again apply at once."""

    async def run():
        async with _scene(retention_s=1.0) as scene:
            for key in 'abc':
                scene.put(key, b'old')
            await scene.until('a', 'b', 'c')
            changes = ('a', b'new'), ('b', None), ('d', b'new')
            copy = _copy_after(scene, *changes)
            await scene.until('a', 'c', 'd')
            await scene.store.restore_after_outage(copy, away_s)
            await _until_era(scene, 1)
            scene.put('e', b'later')
            await scene.until('a', 'c', 'd', 'e')
            assert scene.follower.rows['a'] == b'new'
            scene.change(*changes)
            await asyncio.sleep(1.5)
            assert scene.follower.rows == {
                'a': b'new',
                'c': b'old',
                'd': b'new',
                'e': b'later',
            }

    asyncio.run(run())


def test_rows_that_are_not_rewritten_revert_to_the_older_copy():
    async def run():
        async with _scene(retention_s=1.0) as scene:
            scene.put('a', b'old')
            await scene.until('a')
            copy = _copy_after(scene, ('a', b'new'), ('b', b'new'))
            await scene.until('a', 'b')
            await scene.store.restore_after_outage(copy, AWAY_S)
            await _until_era(scene, 1)
            assert scene.follower.rows == {'a': b'new', 'b': b'new'}
            await scene.until('a')
            assert scene.follower.rows == {'a': b'old'}

    asyncio.run(run())


def test_two_restores_in_a_row_end_with_the_rows_of_the_last():
    async def run():
        async with _scene(retention_s=1.0) as scene:
            scene.put('a', b'1')
            await scene.until('a')
            first = _copy_after(scene, ('b', b'2'))
            await scene.until('a', 'b')
            await scene.store.restore_after_outage(first, AWAY_S)
            await _until_era(scene, 1)
            scene.put('c', b'3')
            await scene.until('a', 'b', 'c')
            await scene.store.restore_after_outage(first, AWAY_S)
            scene.put('b', b'4')
            await _until_era(scene, 2)
            assert set(scene.follower.rows) >= {'a', 'b'}
            await scene.until('a', 'b')
            assert scene.follower.rows == {'a': b'1', 'b': b'4'}

    asyncio.run(run())


@contextlib.asynccontextmanager
async def _idle_scene(**terms):
    """A follower that has the table and does not read the store."""
    reading = [True]
    async with _scene(reads=lambda: reading[0], **terms) as scene:
        scene.put('a', b'1')
        scene.put('b', b'1')
        await scene.until('a', 'b')
        # The call that waits for a change ends with the next one.
        await asyncio.sleep(2 * _table_follower.COALESCE_S)
        reading[0] = False
        scene.put('b', b'2')
        await asyncio.sleep(2 * _table_follower.COALESCE_S)
        assert scene.follower.rows['b'] == b'2'
        yield scene, reading


def test_a_host_that_does_not_read_the_store_gets_changes_by_one_call():
    async def run():
        async with _idle_scene() as (scene, _):
            scene.put('c', b'1')
            before = len(scene.store.call_log)
            assert await scene.follower.probe()
            assert set(scene.follower.rows) == {'a', 'b', 'c'}
            assert len(scene.store.call_log) == before + 1
            scene.store.drop_history()
            scene.put('d', b'1')
            scene.store.drop_history()
            assert await scene.follower.probe()
            assert set(scene.follower.rows) == {'a', 'b', 'c', 'd'}

    asyncio.run(run())


def test_a_host_that_no_longer_reads_the_store_stops_calling_it():
    """Guards against hosts that call for as long as they get no answer."""

    async def run():
        async with _idle_scene() as (scene, reading):
            scene.store.faults.down = True
            assert not await scene.follower.probe()
            reading[0] = True
            await scene.until_unavailable()
            reading[0] = False
            await scene.until_unavailable(False)
            before = len(scene.store.call_log)
            await asyncio.sleep(3 * _table_follower.INITIAL_RETRY_S)
            assert len(scene.store.call_log) == before

    asyncio.run(run())


def test_rows_that_lapse_are_retained_by_a_host_that_reads_for_others():
    """The store may have been away for the host that asked and for all."""

    async def run():
        async with _idle_scene(retain_lapsed=True) as (scene, reading):
            scene.remove('a')
            scene.follower.assume_unavailable(5.0)
            reading[0] = True
            await asyncio.sleep(2 * _table_follower.ROLE_CHECK_S)
            assert not scene.follower.unavailable
            assert set(scene.follower.rows) == {'a', 'b'}
            await scene.until('b')

    asyncio.run(run())


@pytest.mark.parametrize('refusal', store.REFUSALS)
def test_a_reader_needs_a_substitute_after_more_than_a_short_outage(refusal):
    """Guards against hosts that call the store in each short outage."""
    contact = _store_contact.StoreContact()

    async def run():
        async with _scene(watch_s=0.5, contact=contact) as scene:
            scene.put('a', b'1')
            await scene.until('a')
            scene.store.turn_away(['127.0.0.1'], refusal)
            away_at = time.monotonic()
            while not contact.needs_substitute:
                await asyncio.sleep(0.01)
            took_s = time.monotonic() - away_at
            scene.store.turn_away([])
            while contact.needs_substitute:
                await asyncio.sleep(0.01)
            return took_s

    took_s = asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
    # The call that was open may have been sent before.
    assert took_s >= _store_contact.SHORT_OUTAGE_S - 0.5


@contextlib.asynccontextmanager
async def _slow_peer(follower, parts, pause_s, calls):
    """Yield the connections to a host that sends a table in parts."""

    async def handle(req):
        calls.append(req.path)
        body = msgspec.json.encode(follower.rows_since())
        size = -(-len(body) // parts)
        await req.start(200, [], len(body))
        for start in range(0, len(body), size):
            await req.write(body[start : start + size])
            await asyncio.sleep(pause_s)
        await req.end()

    async with connection.make_caller_server(
        'http', '127.0.0.1', 0, handle
    ) as server:
        async with connection.Pool('127.0.0.1', server.port) as pool:
            yield pool


def test_a_slow_transfer_of_a_large_table_is_not_begun_again():
    async def run():
        calls = []
        async with _scene() as scene:
            scene.put('a', b'x' * 1000)
            await scene.until('a')
            async with _slow_peer(scene.follower, 8, 0.2, calls) as pool:
                follower = _table_follower.TableFollower(
                    connection.make_platform('table', '127.0.0.1', 1),
                    TABLE,
                    lambda rows: None,
                    lambda: (pool,),
                )
                await asyncio.gather(
                    *(follower.fetch_from_peer(pool) for _ in range(3))
                )
                return follower.rows, calls

    rows, calls = asyncio.run(run())
    assert rows == {'a': b'x' * 1000}
    assert len(calls) == 1


def test_a_transfer_that_stops_midway_is_given_up():
    async def run():
        calls = []
        async with _scene() as scene:
            scene.put('a', b'x' * 1000)
            await scene.until('a')
            async with _slow_peer(scene.follower, 2, 3600.0, calls) as pool:
                started_at = time.monotonic()
                await scene.follower.fetch_from_peer(pool)
                return time.monotonic() - started_at, calls

    took_s, calls = asyncio.run(run())
    assert took_s < _table_follower.TRANSFER_S
    assert len(calls) == 2

"""The hosts' rows in the store: registration and removal."""

import asyncio
import contextlib
import dataclasses
import types

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _host_absences
from ebonypick.process import _host_rows
from ebonypick.process import _table_follower
from standins import store

LATER = 2 * _host_absences.REMOVE_AFTER_S


@dataclasses.dataclass
class _Scene:
    store: store.Store
    follower: _table_follower.TableFollower
    live: dict

    def put(self, name):
        self.store.put(platform.HOST_TABLE, name, {'peers': 'x:1'})

    def names(self):
        return set(self.store.rows(platform.HOST_TABLE))

    async def until(self, *names):
        """Wait until the follower has exactly these rows."""
        async with asyncio.timeout(10):
            while set(self.follower.rows) != set(names):
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _scene(*hosts):
    """Yield a scene with a store, and the ``HostRows`` of each host."""
    async with store.Store() as stand_in:
        async with connection.make_platform(
            'table', '127.0.0.1', stand_in.port
        ) as client:
            follower = _table_follower.TableFollower(
                client, platform.HOST_TABLE, lambda rows: None, lambda: ()
            )
            task = asyncio.create_task(follower.run())
            scene = _Scene(stand_in, follower, {'a-1': hosts})
            owners = [
                _host_rows.HostRows(_node(client, scene, name), follower)
                for name in hosts
            ]
            try:
                yield scene, owners
            finally:
                task.cancel()
                await asyncio.wait({task})


def _node(client, scene, name):
    settings = types.SimpleNamespace(
        host=name,
        callers='127.0.0.1:1',
        relays='127.0.0.1:2',
        address='127.0.0.1',
        peer_ports=(2, 3),
        data_centre='a-1',
        capacity=1.0,
    )
    roster = types.SimpleNamespace(live=lambda: scene.live)
    return types.SimpleNamespace(
        settings=settings, roster=roster, store=client, started_ms=1
    )


async def _check_all(owners, now):
    for owner in owners:
        await owner.check(now)


def test_rows_of_departed_hosts_are_removed():
    async def run():
        async with _scene('h1', 'h2', 'h3') as (scene, owners):
            for name in ('h1', 'h2', 'h3', 'lost'):
                scene.put(name)
            await scene.until('h1', 'h2', 'h3', 'lost')
            await _check_all(owners, 0.0)
            await _check_all(owners, _host_absences.REMOVE_AFTER_S - 1)
            before = scene.names()
            await _check_all(owners, LATER)
            return before, scene.names()

    before, after = asyncio.run(run())
    assert before == {'h1', 'h2', 'h3', 'lost'}
    assert after == {'h1', 'h2', 'h3'}


def test_a_host_that_returns_after_a_partition_keeps_its_row():
    async def run():
        async with _scene('h1', 'h2') as (scene, owners):
            for name in ('h1', 'h2'):
                scene.put(name)
            await scene.until('h1', 'h2')
            scene.live = {'a-1': ('h1',)}
            await _check_all(owners[:1], 0.0)
            scene.live = {'a-1': ('h1', 'h2')}
            await _check_all(owners[:1], LATER / 2)
            scene.live = {'a-1': ('h1',)}
            await _check_all(owners[:1], LATER)
            return scene.names()

    assert asyncio.run(run()) == {'h1', 'h2'}


def test_a_host_whose_row_is_missing_registers_again():
    async def run():
        async with _scene('h1', 'h2') as (scene, owners):
            scene.put('h1')
            await scene.until('h1')
            await _check_all(owners, 0.0)
            await scene.until('h1', 'h2')

    asyncio.run(run())


def test_nothing_is_written_while_the_store_is_unavailable():
    async def run():
        async with _scene('h1') as (scene, owners):
            scene.put('h1')
            scene.put('lost')
            await scene.until('h1', 'lost')
            await _check_all(owners, 0.0)
            scene.store.faults.down = True
            async with asyncio.timeout(10):
                while not scene.follower.unavailable:
                    await asyncio.sleep(0.01)
            before = scene.store.writes
            await _check_all(owners, LATER)
            return scene.store.writes - before

    assert asyncio.run(run()) == 0

"""Tests of a restore of the store from an older copy while hosts serve.

All writes since the copy are lost, and the store assigns their revision
numbers again. The operator and the servers repeat their writes within two
seconds. A host that trusts revision numbers alone would ignore new rows or
use lost ones.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import signal
import time

import pytest

from tests import steering_calls
from tests import steering_world

SEED = 71
AWAY_S = 0.5
REWRITE_S = 1.5
# Users' limits: after a fault a host has CONTACT_S to reach the store again,
# then DRAIN_S to apply a drain.
CONTACT_S = 4.0
DRAIN_S = 2.5
TIMEOUT_S = 10.0
OBJECTS = range(40)


def _scene(tmp_path, play, **more):
    return steering_world.run_scene(tmp_path, SEED, play, **more)


async def _restore(world, copy):
    """Take the store down for ``AWAY_S`` and restore it from a copy."""
    return await world.store.restore_after_outage(copy, AWAY_S)


async def _restore_and_write_again(world, copy):
    """Restore a copy; repeat the lost writes once all hosts know the era."""
    lost = await _restore(world, copy)
    await _until_restored(world, world.processes)
    await asyncio.sleep(REWRITE_S)
    world.store.rewrite_lost_rows(lost)
    await asyncio.sleep(1.5)


async def _until(check, what):
    end = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < end, what
        await asyncio.sleep(0.02)


def _events(world, name, code):
    return [r for r in world.log_lines(name) if r['message_type'] == code]


async def _until_restored(world, names, era=1):
    """Wait until all named hosts have logged the store's era."""

    def restored():
        return all(
            any(
                row['revision'][0] >= era
                for row in _events(world, name, 'EP1419')
            )
            for name in names
        )

    await _until(restored, 'a host did not log the era of the restored store')


@contextlib.asynccontextmanager
async def _readers(world, session):
    """Read all objects in a loop while the context is open."""

    async def read():
        for key in itertools.cycle(OBJECTS):
            names = list(world.processes)
            name = names[key % len(names)]
            await world.call(session, name, 'read', key=key)
            await asyncio.sleep(0.01)

    task = asyncio.create_task(read())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _until_status(world, session, name, kind, status):
    end = time.monotonic() + TIMEOUT_S
    found = None
    while found != status:
        assert time.monotonic() < end, (
            f'/{kind}/ is answered {found}, not {status}'
        )
        found = (await world.call(session, name, kind)).status
        await asyncio.sleep(0.05)


def test_a_draining_server_gets_nothing_though_its_row_is_lost(tmp_path):
    async def play(world, session):
        server = world.of('registry')[0]
        copy = world.store.copy()
        server.draining = True
        world.register(server)
        await asyncio.sleep(0.5)
        async with _readers(world, session):
            await _restore_and_write_again(world, copy)
        drained_at = time.monotonic()
        return [a for a in server.arrivals if a.at > drained_at - 4.5]

    assert _scene(tmp_path, play) == []


def test_a_server_that_left_is_not_used_because_a_copy_still_has_it(tmp_path):
    """The row was removed after the copy, and the restore brings it back.

    Hosts have no other sign that the server has left.
    """

    async def play(world, session):
        server = world.of('registry')[0]
        copy = world.store.copy()
        world.store.remove('servers', server.instance)
        await asyncio.sleep(0.5)
        began = time.monotonic()
        async with _readers(world, session):
            await _restore_and_write_again(world, copy)
        return [a for a in server.arrivals if a.at > began]

    assert _scene(tmp_path, play) == []


def test_new_servers_are_used_though_their_rows_are_lost_for_a_while(tmp_path):
    async def play(world, session):
        copy = world.store.copy()
        old = world.of('registry')
        new = [await world.add_upstream('registry', 'a-1') for _ in range(2)]
        for server in old:
            world.store.remove('servers', server.instance)
        await asyncio.sleep(0.5)
        for server in old:
            await server.crash()
        async with _readers(world, session):
            lost = await _restore(world, copy)
            await asyncio.sleep(REWRITE_S)
            world.store.rewrite_lost_rows(lost)
            await asyncio.sleep(1.0)
        refused = [c for c in world.calls if c.status != 200]
        return refused, sum(len(server.arrivals) for server in new)

    refused, arrivals = _scene(tmp_path, play)
    assert refused == []
    assert arrivals > 0


@pytest.mark.parametrize('turned_away', [False, True])
def test_a_configuration_stays_in_force_and_the_next_comes_at_once(
    tmp_path, turned_away
):
    """The next configuration reuses the version number of the lost one.

    Its revision in the store is lower than that of the lost one. In one of
    the cases the store rejects half of the hosts in the meantime.
    """

    async def play(world, session):
        names = list(world.processes)
        world.store.put(
            'op', 'config', steering_world.make_config_with(5, 'first')
        )
        copy = world.store.copy()
        for _ in range(20):
            world.store.put('servers', 'x-1', b'{}')
        world.store.put(
            'op', 'config', steering_world.make_config_with(9, 'lost')
        )
        for name in names:
            await _until_status(world, session, name, 'lost', 200)
        if turned_away:
            world.store.faults.turned_away |= {
                world.address(name) for name in names[::2]
            }
        await _restore(world, copy)
        await _until_restored(world, names)
        statuses = [
            (await world.call(session, name, 'lost')).status for name in names
        ]
        at = time.monotonic()
        world.store.put(
            'op', 'config', steering_world.make_config_with(9, 'next')
        )
        for name in names:
            await _until_status(world, session, name, 'next', 200)
        return statuses, time.monotonic() - at

    statuses, in_force_s = _scene(tmp_path, play, hosts=2)
    assert set(statuses) == {200}
    assert in_force_s < DRAIN_S


def test_an_evacuation_holds_though_the_store_forgot_it(tmp_path):
    async def play(world, session):
        copy = world.store.copy()
        world.store.put('op', 'evacuate/a-1', {})
        servers = [s for s in world.upstreams if s.data_centre == 'a-1']
        await asyncio.sleep(1.0)
        began = time.monotonic()
        async with _readers(world, session):
            first = await _restore(world, copy)
            await _until_restored(world, world.processes)
            second = await _restore(world, copy)
            await _until_restored(world, world.processes, era=2)
            await asyncio.sleep(REWRITE_S)
            world.store.rewrite_lost_rows(first)
            world.store.rewrite_lost_rows(second)
            await asyncio.sleep(0.5)
        late = [a for s in servers for a in s.arrivals if a.at > began]
        world.store.remove('op', 'evacuate/a-1')
        await asyncio.sleep(1.0)
        async with _readers(world, session):
            await asyncio.sleep(1.0)
        back = [
            a
            for s in servers
            for a in s.arrivals
            if a.at > began and a not in late
        ]
        return late, len(back)

    late, back = _scene(tmp_path, play)
    assert late == []
    assert back > 0


def test_a_host_started_after_the_restore_gets_the_lost_version(tmp_path):
    async def play(world, session):
        name, *others = world.processes
        world.store.put(
            'op', 'config', steering_world.make_config_with(5, 'first')
        )
        copy = world.store.copy()
        world.store.put(
            'op', 'config', steering_world.make_config_with(9, 'lost')
        )
        for host in world.processes:
            await _until_status(world, session, host, 'lost', 200)
        await world.end_host(name, signal.SIGKILL)
        await _restore(world, copy)
        await world.start_host(name, name.rpartition('-')[0])
        await world.ready(name)
        at = time.monotonic()
        await _until_status(world, session, name, 'lost', 200)
        # A later configuration may reuse the version number of the lost one.
        world.store.put(
            'op', 'config', steering_world.make_config_with(9, 'next')
        )
        for host in world.processes:
            await _until_status(world, session, host, 'next', 200)
        return time.monotonic() - at

    assert _scene(tmp_path, play, hosts=2) < DRAIN_S


def test_a_host_cut_off_from_the_store_adopts_the_new_era(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        copy = world.store.copy()
        for _ in range(50):
            world.store.put('servers', 'x-1', b'{}')
        await asyncio.sleep(0.5)
        world.store.faults.silent = True
        world.store.faults.turned_away.add(world.address(name))
        await asyncio.sleep(AWAY_S)
        world.store.restore(copy)
        world.store.faults.silent = False
        await asyncio.sleep(3.0)
        world.store.faults.turned_away.clear()
        # A call that the store left unanswered may still await its time-out.
        await asyncio.sleep(CONTACT_S)
        server = world.of('registry')[0]
        server.draining = True
        world.register(server)
        await asyncio.sleep(DRAIN_S)
        at = time.monotonic()
        async with _readers(world, session):
            await asyncio.sleep(1.0)
        return [a for a in server.arrivals if a.at > at]

    assert _scene(tmp_path, play) == []


def test_hosts_write_their_rows_again_each_once(tmp_path):
    async def play(world, session):
        copy = world.store.copy()
        copy = dataclasses.replace(
            copy,
            rows={
                place: row
                for place, row in copy.rows.items()
                if place[0] != 'ebonypick-hosts'
            },
        )
        writes = world.store.writes
        await _restore(world, copy)
        await _until(
            lambda: len(world.store.rows('ebonypick-hosts')) == 4,
            'the store does not hold the rows of all 4 hosts again',
        )
        await asyncio.sleep(2.0)
        named = [
            await world.get(name, 8463, '/resolve?name=x&region=a&zone=a-1')
            for name in world.processes
        ]
        return world.store.writes - writes, named

    writes, named = _scene(tmp_path, play, hosts=2)
    assert writes == 4
    assert all(
        body.count(str(steering_world.CALLERS_PORT).encode()) == 2
        for _, body in named
    )


def test_no_promise_to_callers_is_broken_during_a_restore(tmp_path):
    async def play(world, session):
        copy = world.store.copy()
        load = asyncio.ensure_future(world.load(4.0, 60))
        await asyncio.sleep(0.5)
        lost = await _restore(world, copy)
        await asyncio.sleep(REWRITE_S)
        world.store.rewrite_lost_rows(lost)
        await load
        return steering_calls.violations(world)

    assert _scene(tmp_path, play) == []

"""The store turns away hosts that read it for their regions, not all hosts.

The hosts that it serves have to hear of changes in time, whichever they are,
and however the store refuses the others.
"""

import asyncio
import time

import pytest

from ebonypick.process import _substitutes
from ebonypick.process import _table_follower
from standins import store
from tests import steering_world

SEED = 91
# Hosts of each region, two of which read the store.
HOSTS = 4
READERS = 2 * len(steering_world.REGIONS)
# Longer than a long poll and the checks of roles.
OBSERVATION_S = 4.0
# The users' limits on a version, 2 s, and on hosts out of step while the store
# turns some hosts away, 5 s.
IN_FORCE_S = 7.0
GIVE_UP_S = 14.0
# Time until readers that the store serves again call it, and until leases that
# they asked for just before have ended.
UNTIL_ROLES_S = _table_follower.MAX_RETRY_S * 1.3 + _substitutes.LEASE_S + 1.0
# The store's limit on calls, and what these regions get of it at the size of
# docs/CAPACITY.md, 24 regions.
STORE_CALLS_PER_S = 2_000
MAX_CALLS_PER_S = STORE_CALLS_PER_S * len(steering_world.REGIONS) / 24


async def _callers_of_store(world, seconds=OBSERVATION_S):
    """Return the names of the hosts that call for rows in a time."""
    since = time.monotonic()
    await asyncio.sleep(seconds)
    clients = {
        call.client
        for call in world.store.call_log
        if call.at > since and call.name.startswith('rows-')
    }
    return {name for name in world.names() if world.address(name) in clients}


async def _readers(world):
    """Return the readers of all regions, once the hosts have their roles."""
    await asyncio.sleep(OBSERVATION_S)
    names = await _callers_of_store(world)
    assert len(names) == READERS, names
    return names


def _all_but_one(names, readers):
    """Return the readers and all but one of the others of each region."""
    others = sorted(set(names) - readers)
    left = {name.partition('-h')[0]: name for name in others}
    return set(names) - set(left.values())


def _turn_away(world, names, refusal):
    world.store.turn_away(map(world.address, names), refusal)


async def _time_in_force(world, session):
    """Store a version with a new route; return when each host serves it."""
    world.config_number += 8
    cfg = steering_world.make_config_with(world.config_number, 'new')
    world.store.put('op', 'config', cfg)
    stored_at = time.monotonic()
    times = {}
    while time.monotonic() < stored_at + GIVE_UP_S:
        for name in sorted(set(world.names()) - set(times)):
            if (await world.call(session, name, 'new')).status == 200:
                times[name] = round(time.monotonic() - stored_at, 2)
        if len(times) == len(world.names()):
            break
        await asyncio.sleep(0.05)
    return times


@pytest.mark.parametrize('refusal', store.REFUSALS)
def test_a_version_is_in_force_while_all_readers_are_turned_away(
    tmp_path, refusal
):
    """Guards against hosts that wait for readers which hear of nothing."""

    async def play(world, session):
        readers = await _readers(world)
        _turn_away(world, readers, refusal)
        await asyncio.sleep(0.1)
        return await _time_in_force(world, session)

    times = steering_world.run_scene(tmp_path, SEED, play, hosts=HOSTS)
    assert len(times) == HOSTS * len(steering_world.REGIONS), times
    assert max(times.values()) <= IN_FORCE_S, times


@pytest.mark.parametrize('refusal', ['busy', 'silent'])
def test_one_host_that_the_store_serves_is_found(tmp_path, refusal):
    """Guards against a search that ends at the first substitute."""

    async def play(world, session):
        readers = await _readers(world)
        away = _all_but_one(world.names(), readers)
        _turn_away(world, away, refusal)
        await asyncio.sleep(0.1)
        return await _time_in_force(world, session)

    times = steering_world.run_scene(tmp_path, SEED, play, hosts=HOSTS)
    assert len(times) == HOSTS * len(steering_world.REGIONS), times
    assert max(times.values()) <= IN_FORCE_S, times


def test_a_substitute_that_is_turned_away_in_turn_is_replaced(tmp_path):
    async def play(world, session):
        readers = await _readers(world)
        _turn_away(world, readers, 'busy')
        # Long enough for substitutes to read.
        await asyncio.sleep(3 * OBSERVATION_S)
        found = await _callers_of_store(world)
        _turn_away(world, _all_but_one(world.names(), readers), 'busy')
        await asyncio.sleep(0.1)
        return found - readers, await _time_in_force(world, session)

    found, times = steering_world.run_scene(tmp_path, SEED, play, hosts=HOSTS)
    assert found
    assert len(times) == HOSTS * len(steering_world.REGIONS), times
    assert max(times.values()) <= IN_FORCE_S, times


def test_substitutes_end_when_the_readers_are_served_again(tmp_path):
    """Guards against hosts that keep calling the store."""

    async def play(world, session):
        readers = await _readers(world)
        _turn_away(world, readers, 'reset')
        await asyncio.sleep(3 * OBSERVATION_S)
        away = await _callers_of_store(world)
        _turn_away(world, (), 'reset')
        await asyncio.sleep(UNTIL_ROLES_S)
        return readers, away, await _callers_of_store(world)

    readers, away, after = steering_world.run_scene(
        tmp_path, SEED, play, hosts=HOSTS
    )
    assert away > readers
    assert after == readers


def test_few_hosts_call_the_store_in_a_long_outage(tmp_path):
    """Guards against an outage that makes more and more hosts call."""

    async def play(world, session):
        readers = await _readers(world)
        away_at = time.monotonic()
        world.store.faults.down = True
        await asyncio.sleep(6 * OBSERVATION_S)
        world.store.faults.down = False
        times = await _time_in_force(world, session)
        await asyncio.sleep(UNTIL_ROLES_S)
        calls = [c for c in world.store.call_log if c.at > away_at]
        return readers, calls, times, await _callers_of_store(world)

    readers, calls, times, after = steering_world.run_scene(
        tmp_path, SEED, play, hosts=HOSTS
    )
    starts = [call.at for call in calls]
    peak = max(sum(at <= t < at + 1.0 for t in starts) for at in starts)
    assert peak <= MAX_CALLS_PER_S
    assert len(times) == HOSTS * len(steering_world.REGIONS), times
    assert after == readers

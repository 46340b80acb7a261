"""What steering hosts ask of the store, as real processes.

Load: many hosts, and a store that comes back after all of them lost it. If
each host read it, its rate would be used up by hosts that only wait, and all
would come at once on its return.
"""

import asyncio
import collections
import signal
import time

from ebonypick.process import _tables
from tests import steering_world

SEED = 61
# In each of two data centres, which are regions of their own.
HOSTS = 4
TABLES = 3
# Two readers for each region, as the design says, and what each asks for one
# table in a second at its shortest pauses.
READERS_MOST = 2 * len(steering_world.REGIONS)
CALLS_MOST = READERS_MOST * TABLES * (1 + 1 / _tables.RETRY_FIRST_S)
OUTAGE_S = 3.0
# Within which a version is in force at hosts in touch, by the users' rules.
APPLIED_S = 2.5
GIVE_UP_S = 10.0


def _since(at):
    return time.monotonic() - at


def _most_in_a_second(calls):
    times = sorted(call.at for call in calls)
    return max(sum(at <= t < at + 1.0 for t in times) for at in times)


def _feeds(world, start):
    calls = [c for c in world.store.call_log if c.at >= start]
    return [c for c in calls if c.name.startswith('rows-')]


def _clients(calls):
    return {call.client for call in calls}


async def _settle(world, most=READERS_MOST):
    """Wait until hosts agree who lives, so that few of them still ask."""
    start = time.monotonic()
    while _since(start) < GIVE_UP_S + _tables.WATCH_S:
        await asyncio.sleep(0.2)
        latest = _feeds(world, time.monotonic() - _tables.WATCH_S)
        whole = _since(start) > _tables.WATCH_S
        if whole and len(_clients(latest)) <= most:
            return


def _accept_new_route(world):
    """Accept a version with a route that no earlier one has."""
    world.config_number += 8
    cfg = steering_world.make_config(world.config_number)
    paths = cfg['hosts'][0]['paths']
    paths.append({**paths[0], 'name': 'new', 'prefix': '/new/'})
    world.store.put('op', 'config', cfg)


def test_few_hosts_read_the_store_also_when_it_comes_back(tmp_path):
    async def play(world, session):
        await _settle(world)
        start = time.monotonic()
        await asyncio.sleep(_tables.WATCH_S)
        calm = _feeds(world, start)
        start = time.monotonic()
        world.store.faults.down = True
        await asyncio.sleep(OUTAGE_S)
        world.store.faults.down = False
        _accept_new_route(world)
        await asyncio.sleep(_tables.RETRY_MOST_S + 1.0)
        statuses = [
            (await world.call(session, name, 'new')).status
            for name in world.processes
        ]
        return calm, _feeds(world, start), statuses

    calm, trouble, statuses = steering_world.run_scene(
        tmp_path, SEED, play, hosts=HOSTS
    )
    assert statuses == [200] * HOSTS * len(steering_world.REGIONS)
    for calls in (calm, trouble):
        assert 0 < len(_clients(calls)) <= READERS_MOST
        assert _most_in_a_second(calls) <= CALLS_MOST


def test_hosts_that_the_store_turns_away_hear_of_a_version_in_time(tmp_path):
    """All hosts of a region are; only the other region's can tell them."""

    async def play(world, session):
        await _settle(world)
        centre = next(iter(steering_world.REGIONS))
        names = [n for n in world.processes if n.startswith(centre)]
        away = {world.address(name) for name in names}
        world.store.faults.turned_away |= away
        # Feeds that were open are over then.
        await asyncio.sleep(_tables.WATCH_S)
        _accept_new_route(world)
        accepted_at = time.monotonic()
        times = {}
        while len(times) < len(names) and _since(accepted_at) < GIVE_UP_S:
            for name in set(names) - set(times):
                call = await world.call(session, name, 'new')
                if call.status == 200:
                    times[name] = _since(accepted_at)
            await asyncio.sleep(0.05)
        return names, times

    names, times = steering_world.run_scene(tmp_path, SEED, play, hosts=HOSTS)
    assert set(times) == set(names)
    assert max(times.values()) <= APPLIED_S


def test_a_host_whose_fellows_fall_silent_has_a_new_version_in_time(tmp_path):
    """All other hosts stop at the moment of a change."""

    async def play(world, session):
        # All may read in so small regions.
        await _settle(world, len(world.processes))
        centre = next(iter(steering_world.REGIONS))
        names = [n for n in world.processes if n.startswith(centre)]
        calls = collections.Counter(c.client for c in _feeds(world, 0.0))
        # One that does not read, if there is any.
        left = min(names, key=lambda name: calls[world.address(name)])
        for name in set(world.processes) - {left}:
            world.processes[name].send_signal(signal.SIGSTOP)
        _accept_new_route(world)
        accepted_at = time.monotonic()
        while _since(accepted_at) < GIVE_UP_S:
            call = await world.call(session, left, 'new')
            if call.status == 200:
                break
            await asyncio.sleep(0.05)
        return _since(accepted_at)

    took_s = steering_world.run_scene(tmp_path, SEED, play, hosts=3)
    assert took_s <= APPLIED_S

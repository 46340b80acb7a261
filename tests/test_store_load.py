"""Tests of the load that steering hosts put on the store.

Load: many hosts, and a store that returns after an outage. If each host read
the store, hosts that only wait for changes would use up its call rate, and
all hosts would call at once when it returns.
"""

import asyncio
import collections
import signal
import time

from ebonypick.process import _table_follower
from tests import steering_world

SEED = 61
# Number of hosts in each of two data centres, each a region of its own.
HOSTS = 4
TABLES = 3
# Each region has two readers by design. In one second a reader makes one call
# for each table, plus its retries at the shortest pause.
MAX_READERS = 2 * len(steering_world.REGIONS)
MAX_CALLS_PER_S = (
    MAX_READERS * TABLES * (1 + 1 / _table_follower.INITIAL_RETRY_S)
)
OUTAGE_S = 3.0
# Users' limit on the time until reachable hosts apply a new version.
APPLIED_S = 2.5
GIVE_UP_S = 10.0


def _since(at):
    return time.monotonic() - at


def _peak_calls_per_s(calls):
    times = sorted(call.at for call in calls)
    return max(sum(at <= t < at + 1.0 for t in times) for at in times)


def _feed_calls(world, start):
    calls = [c for c in world.store.call_log if c.at >= start]
    return [c for c in calls if c.name.startswith('rows-')]


def _clients(calls):
    return {call.client for call in calls}


async def _settle(world, most=MAX_READERS):
    """Wait until hosts agree on the members, so that few read the store."""
    start = time.monotonic()
    while _since(start) < GIVE_UP_S + _table_follower.WATCH_TIMEOUT_S:
        await asyncio.sleep(0.2)
        latest = _feed_calls(
            world, time.monotonic() - _table_follower.WATCH_TIMEOUT_S
        )
        whole = _since(start) > _table_follower.WATCH_TIMEOUT_S
        if whole and len(_clients(latest)) <= most:
            return


def _accept_new_route(world):
    """Store a new version with a route that earlier versions lack."""
    world.config_number += 8
    cfg = steering_world.make_config_with(world.config_number, 'new')
    world.store.put('op', 'config', cfg)


def test_few_hosts_read_the_store_even_after_an_outage(tmp_path):
    async def play(world, session):
        await _settle(world)
        start = time.monotonic()
        await asyncio.sleep(_table_follower.WATCH_TIMEOUT_S)
        calm = _feed_calls(world, start)
        start = time.monotonic()
        world.store.faults.down = True
        await asyncio.sleep(OUTAGE_S)
        world.store.faults.down = False
        _accept_new_route(world)
        await asyncio.sleep(_table_follower.MAX_RETRY_S + 1.0)
        statuses = [
            (await world.call(session, name, 'new')).status
            for name in world.processes
        ]
        return calm, _feed_calls(world, start), statuses

    calm, trouble, statuses = steering_world.run_scene(
        tmp_path, SEED, play, hosts=HOSTS
    )
    assert statuses == [200] * HOSTS * len(steering_world.REGIONS)
    for calls in (calm, trouble):
        assert 0 < len(_clients(calls)) <= MAX_READERS
        assert _peak_calls_per_s(calls) <= MAX_CALLS_PER_S


def test_hosts_that_the_store_rejects_apply_a_version_in_time(tmp_path):
    """The store rejects a whole region; the other region must notify it."""

    async def play(world, session):
        await _settle(world)
        centre = next(iter(steering_world.REGIONS))
        names = [n for n in world.processes if n.startswith(centre)]
        away = {world.address(name) for name in names}
        world.store.faults.turned_away |= away
        # Feed calls that were already open have ended after this time.
        await asyncio.sleep(_table_follower.WATCH_TIMEOUT_S)
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


def test_a_host_applies_a_version_in_time_when_all_others_stop(tmp_path):
    """All other hosts are stopped just before a new version is stored."""

    async def play(world, session):
        # In regions this small all hosts may read the store.
        await _settle(world, len(world.processes))
        centre = next(iter(steering_world.REGIONS))
        names = [n for n in world.processes if n.startswith(centre)]
        calls = collections.Counter(c.client for c in _feed_calls(world, 0.0))
        # Prefer a host that does not read the store.
        remaining = min(names, key=lambda name: calls[world.address(name)])
        for name in set(world.processes) - {remaining}:
            world.processes[name].send_signal(signal.SIGSTOP)
        _accept_new_route(world)
        accepted_at = time.monotonic()
        while _since(accepted_at) < GIVE_UP_S:
            call = await world.call(session, remaining, 'new')
            if call.status == 200:
                break
            await asyncio.sleep(0.05)
        return _since(accepted_at)

    took_s = steering_world.run_scene(tmp_path, SEED, play, hosts=3)
    assert took_s <= APPLIED_S

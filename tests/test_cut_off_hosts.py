"""Tests of hosts that lose their links to all backend servers, and no other.

Callers, the store and the other hosts still reach these hosts.
"""

import asyncio
import time

import pytest

from tests.soak import cut_off
from tests.soak import world as soak_world
from tests import steering_calls
from tests import steering_world

SEED = 131
HOSTS = 3
PER_S = 40.0
# The users' limits: from CONTACT_S after the start of the cut, callers of the
# hosts that are cut off get answers at least SERVED_RATIO as often as those of
# the others.
CONTACT_S = soak_world.CONTACT_S
SERVED_RATIO = 2 / 3
CHECKED_S = 4.0
# Half of the objective of the routes.
AT_ONCE_S = 0.25
AT_ONCE_SHARE = 0.9


def _served_share(calls):
    assert calls
    return sum(call.status == 200 for call in calls) / len(calls)


def _sent(world, start, names=None):
    """Return the calls sent to hosts in the CHECKED_S after a time."""
    return [
        call
        for call in world.calls
        if start <= call.sent_at < start + CHECKED_S
        and (names is None or call.host in names)
    ]


def _play(tmp_path, play):
    async def run():
        async with soak_world.SoakWorld(tmp_path, SEED, hosts=HOSTS) as world:
            names = [n for n in world.names() if n.startswith('a-1')]
            return world, await play(world, names)

    return asyncio.run(run())


async def _cut_off(world, names, how):
    """Cut hosts off under load; return the start and end of the cut."""
    seconds = 1.0 + CONTACT_S + 2 * CHECKED_S
    load = asyncio.create_task(world.load(seconds, PER_S))
    await asyncio.sleep(1.0)
    start = time.monotonic()
    with world.cut_off(names, how):
        await asyncio.sleep(CONTACT_S + CHECKED_S)
    end = time.monotonic()
    await load
    return start, end


@pytest.mark.parametrize('how', cut_off.HOW)
@pytest.mark.parametrize('count', (1, 2, HOSTS))
def test_callers_of_hosts_without_servers_are_served(tmp_path, count, how):
    async def play(world, names):
        return names[:count], await _cut_off(world, names[:count], how)

    world, (names, (start, end)) = _play(tmp_path, play)
    others = set(world.names()) - set(names)
    for since in (start + CONTACT_S, end):
        share = _served_share(_sent(world, since, names))
        other_share = _served_share(_sent(world, since, others))
        assert share >= SERVED_RATIO * other_share
    assert steering_calls.violations(world) == []


def _assert_refused_at_once(calls):
    calls = [call for call in calls if call.status != 200]
    assert calls
    assert {call.status for call in calls} == {503}
    quick = [c for c in calls if c.ended_at - c.sent_at < AT_ONCE_S]
    assert len(quick) >= AT_ONCE_SHARE * len(calls)


@pytest.mark.parametrize('how', cut_off.HOW)
def test_requests_are_refused_at_once_if_no_host_has_servers(tmp_path, how):
    async def play(world, names):
        return await _cut_off(world, world.names(), how)

    world, (start, end) = _play(tmp_path, play)
    calls = [c for c in _sent(world, start + CONTACT_S) if c.ended_at < end]
    _assert_refused_at_once(calls)
    if how != cut_off.KEPT:
        assert _served_share(calls) == 0.0
    assert _served_share(_sent(world, end)) >= SERVED_RATIO
    assert steering_calls.violations(world) == []


def test_requests_are_refused_at_once_if_all_servers_crashed(tmp_path):
    async def play(world, session):
        await world.load(1.0, PER_S)
        for server in world.upstreams:
            await server.crash()
        crashed_at = time.monotonic()
        await world.load(CONTACT_S + CHECKED_S, PER_S)
        return world, crashed_at

    world, crashed_at = steering_world.run_scene(
        tmp_path, SEED, play, hosts=HOSTS
    )
    _assert_refused_at_once(_sent(world, crashed_at + CONTACT_S))

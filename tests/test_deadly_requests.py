"""Tests of a request that crashes each server which begins to run it."""

import asyncio
import time

from tests import steering_calls
from tests import steering_world

SEED = 97
SECONDS = 14.0
DEADLY = '/read/deadly?q=1'
DEADLY_KEY = 7
PAUSE_S = 0.2
# Users' limits: sends beyond the third crash, by hosts that have had CONTACT_S
# to hear of it.
CONTACT_S = 4.0
CRASHES, MORE_SENDS = 3, 3
# Share of the other requests that callers are to get answers to. Each crash
# takes those with it that its server was running.
SERVED_SHARE = 0.95


def _arm(world):
    """Let the deadly request crash each server that runs it."""
    for server in world.upstreams:
        server.faults.deadly = frozenset({DEADLY})


async def _send_deadly(world, session, name):
    return await world.call(
        session, name, 'read', key=DEADLY_KEY, target=DEADLY
    )


async def _send_deadly_requests(world, session):
    """Send the deadly request again and again, to all hosts in turn."""
    _arm(world)
    names = sorted(world.processes)
    tasks = []
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        name = names[len(tasks) % len(names)]
        tasks.append(asyncio.create_task(_send_deadly(world, session, name)))
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*tasks)


def _play(tmp_path):
    async def play(world, session):
        _, calls = await asyncio.gather(
            world.load(SECONDS, 60),
            _send_deadly_requests(world, session),
        )
        return world, calls

    return steering_world.run_scene(tmp_path, SEED, play, hosts=2, servers=5)


def test_a_request_that_crashed_three_servers_is_not_sent_on(tmp_path):
    world, calls = _play(tmp_path)
    crashes = sorted(at for s in world.upstreams for at in s.crashed_at)
    assert len(crashes) >= CRASHES - 1
    deadly = {call.req for call in calls}
    third = crashes[CRASHES - 1] if len(crashes) >= CRASHES else 1e9
    late = [
        arrival
        for server in world.upstreams
        for arrival in server.arrivals
        if arrival.req in deadly and arrival.at > third + CONTACT_S
    ]
    assert len(late) <= MORE_SENDS
    others = [call for call in world.calls if call.req not in deadly]
    served = sum(call.status == 200 for call in others)
    assert served >= SERVED_SHARE * len(others)
    assert steering_calls.violations(world) == []


def test_hosts_withhold_a_request_that_crashed_servers_of_another_host(
    tmp_path,
):
    async def play(world, session):
        _arm(world)
        first, *others = sorted(world.processes)
        await _send_deadly(world, session, first)
        await asyncio.sleep(CONTACT_S)
        calls = [await _send_deadly(world, session, name) for name in others]
        return world, calls

    world, calls = steering_world.run_scene(
        tmp_path, SEED, play, hosts=2, servers=3
    )
    assert [call.status for call in calls] == [503] * len(calls)
    sent = {a.req for s in world.upstreams for a in s.arrivals}
    assert not sent & {call.req for call in calls}

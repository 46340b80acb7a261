"""Tests of hosts that lose their links to all backend servers, and no other.

Callers, the store and the other hosts still reach these hosts.
"""

import asyncio
import json
import time

import pytest

from ebonypick import events
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
# More than hosts buffer of a request and of an answer.
LONG_BODY_BYTES = 3 << 20
LOOK_UP = '/resolve?name=x&region=a&zone=a-1'
# Half of the objective of the routes.
AT_ONCE_S = 0.25
AT_ONCE_SHARE = 0.9
# Time for a message to another host and for its probe of servers.
TOLD_S = 1.0


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


async def _play_in(folder, play, *args):
    async with soak_world.SoakWorld(folder, SEED, hosts=HOSTS) as world:
        names = [n for n in world.names() if n.startswith('a-1')]
        return world, names, await play(world, names, *args)


def _play(tmp_path, play):
    world, _, result = asyncio.run(_play_in(tmp_path, play))
    return world, result


def _play_all(tmp_path, play):
    """Play each way of a cut, beside each other in own deployments."""

    async def run():
        for how in cut_off.HOW:
            (tmp_path / how).mkdir()
        plays = (_play_in(tmp_path / how, play, how) for how in cut_off.HOW)
        return dict(zip(cut_off.HOW, await asyncio.gather(*plays)))

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


def _assert_served(world, names, start, end):
    others = set(world.names()) - set(names)
    for since in (start + CONTACT_S, end):
        share = _served_share(_sent(world, since, names))
        other_share = _served_share(_sent(world, since, others))
        assert share >= SERVED_RATIO * other_share
    assert steering_calls.violations(world) == []


@pytest.mark.parametrize('count', (1, 2, HOSTS))
def test_callers_of_hosts_without_servers_are_served(tmp_path, count):
    async def play(world, names, how):
        return await _cut_off(world, names[:count], how)

    for world, names, (start, end) in _play_all(tmp_path, play).values():
        _assert_served(world, names[:count], start, end)


def test_requests_on_lost_links_are_not_taken_for_crashes(tmp_path):
    async def play(world, names):
        load = asyncio.create_task(world.load(4.0, 3 * PER_S))
        await asyncio.sleep(2.0)
        with world.cut_off(names, cut_off.RESET):
            await load

    world, _ = _play(tmp_path, play)
    crashed = [
        line
        for name in world.names()
        for line in world.log_lines(name)
        if line['message_type'] == events.BACKEND_CRASHED.code
    ]
    assert crashed == []


def _play_calls(tmp_path, ask):
    """Cut off a data centre, let its hosts notice, and send single calls."""

    async def play(world, names):
        await world.load(1.0, PER_S)
        with world.cut_off(names, cut_off.HANG):
            await world.load(CONTACT_S, PER_S, names)
            async with steering_calls.caller_session() as session:
                return await ask(world, session, names)

    return _play(tmp_path, play)


@pytest.mark.parametrize('chunked', (False, True))
def test_no_server_runs_a_part_of_a_relayed_upload(tmp_path, chunked):
    """Guards against relayed uploads that are repeated without their end."""

    async def ask(world, session, names):
        for server in world.of('evidence'):
            server.faults.shed = 1
        return [
            await world.call(
                session,
                name,
                'upload',
                size=LONG_BODY_BYTES,
                chunked=chunked,
            )
            for name in names
            for _ in range(4)
        ]

    world, calls = _play_calls(tmp_path, ask)
    assert {call.status for call in calls} <= {200, 503}
    assert steering_calls.violations(world) == []


def test_long_bodies_are_passed_on_whole(tmp_path):
    async def ask(world, session, names):
        return [
            await world.call(session, name, 'upload', size=LONG_BODY_BYTES)
            for name in names
        ]

    world, calls = _play_calls(tmp_path, ask)
    assert [call.status for call in calls] == [200] * HOSTS
    assert steering_calls.violations(world) == []


def test_look_ups_do_not_name_hosts_without_servers(tmp_path):
    async def ask(world, session, names):
        return [
            json.loads((await world.get(name, 8463, LOOK_UP))[1])['addresses']
            for name in world.names()
        ]

    world, found = _play_calls(tmp_path, ask)
    cut = {world.address(n) for n in world.names() if n.startswith('a-1')}
    for addresses in found:
        assert addresses
        assert not cut & {row.partition(':')[0] for row in addresses}


def test_a_server_that_leaves_gets_nothing_from_hosts_that_passed_it_on(
    tmp_path,
):
    async def play(world, names):
        await world.load(1.0, PER_S)
        with world.cut_off(names, cut_off.RESET):
            await world.load(CONTACT_S, PER_S, names)
            for server in world.upstreams:
                server.says_leaving = server.data_centre == 'b-1'
            await world.load(2.0, PER_S, names)
        told_at = time.monotonic()
        await world.load(CHECKED_S, PER_S, names)
        return told_at

    world, told_at = _play(tmp_path, play)
    told = {
        (world.address(call.host), call.headers['server-seal'])
        for call in world.calls
        if call.ended_at < told_at and 'server-leaving' in call.headers
    }
    assert told
    late = [
        arrival
        for server in world.upstreams
        for arrival in server.arrivals
        if arrival.at > told_at and (arrival.source, server.instance) in told
    ]
    assert late == []


def test_hosts_without_requests_learn_of_a_cut_from_their_neighbours(tmp_path):
    async def play(world, names):
        await world.load(1.0, PER_S)
        with world.cut_off(names, cut_off.HANG):
            await world.load(CONTACT_S, PER_S, names[:1])

    world, _ = _play(tmp_path, play)
    first, *others = (
        next(
            line['timestamp']
            for line in world.log_lines(name)
            if line['message_type'] == events.HOST_CUT_OFF.code
        )
        for name in world.names()[:HOSTS]
    )
    assert max(others) - first <= TOLD_S


def _assert_refused_at_once(calls):
    calls = [call for call in calls if call.status != 200]
    assert calls
    assert {call.status for call in calls} == {503}
    quick = [c for c in calls if c.ended_at - c.sent_at < AT_ONCE_S]
    assert len(quick) >= AT_ONCE_SHARE * len(calls)


def _assert_no_host_serves(world, how, start, end):
    calls = [c for c in _sent(world, start + CONTACT_S) if c.ended_at < end]
    _assert_refused_at_once(calls)
    if how != cut_off.KEPT:
        assert _served_share(calls) == 0.0
    assert _served_share(_sent(world, end)) >= SERVED_RATIO
    assert steering_calls.violations(world) == []


def test_requests_are_refused_at_once_if_no_host_has_servers(tmp_path):
    async def play(world, names, how):
        return await _cut_off(world, world.names(), how)

    for how, (world, _, (start, end)) in _play_all(tmp_path, play).items():
        _assert_no_host_serves(world, how, start, end)


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

"""Tests of requests whose route gets another home while they are served."""

import asyncio

from tests import steering_calls
from tests import steering_world

SEED = 151
WORK_S = 1.0
IN_FORCE_S = 5.0
READS = 12


def _config(number, home):
    cfg = steering_world.make_config(number)
    for path in cfg['hosts'][0]['paths']:
        path['allowedRegions'] = [home]
        path['timeout'] = '4s'
    return cfg


async def _put_in_force(world, number, home):
    """Write a version and wait until all hosts apply it."""
    world.store.put('op', 'config', _config(number, home))
    async with asyncio.timeout(IN_FORCE_S):
        for name in world.processes:
            while number not in _applied(world, name):
                await asyncio.sleep(0.02)


def _applied(world, name):
    return [
        line['version']
        for line in world.log_lines(name)
        if line['message_type'] == 'EP1401'
    ]


def test_a_repeat_goes_to_the_home_of_the_version_in_force(tmp_path):
    """Guards against repeats in a region that is no home any more."""

    async def play(world, session):
        name = next(iter(world.processes))
        await _put_in_force(world, 2, 'a')
        for server in world.of('registry'):
            server.set_work(WORK_S)
            server.faults.reset = READS * (server.data_centre == 'a-1')
        reads = [
            asyncio.create_task(world.call(session, name, 'read', key=key))
            for key in range(READS)
        ]
        await asyncio.sleep(WORK_S / 4)
        await _put_in_force(world, 3, 'b')
        former = [s for s in world.of('registry') if s.data_centre == 'a-1']
        before = sum(len(server.arrivals) for server in former)
        calls = [await read for read in reads]
        late = sum(len(server.arrivals) for server in former) - before
        return calls, before, late, steering_calls.violations(world)

    calls, before, late, broken = steering_world.run_scene(
        tmp_path, SEED, play
    )
    assert before > 0
    assert late == 0
    assert any(call.status == 200 for call in calls)
    assert broken == []

"""Runs seeds of the soak: ``python -m tests.soak.main --seeds=50``."""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import time

from absl import app
from absl import flags

from tests.soak import promises
from tests.soak import schedule
from tests.soak import world as soak_world
from tests import steering_calls

SEEDS = flags.DEFINE_integer('seeds', 50, 'How many seeds to play.')
FIRST = flags.DEFINE_integer(
    'first_seed', None, 'First seed; drawn by default.'
)
LOAD_S = flags.DEFINE_float('load_s', 12.0, 'Length of the load.')
HOSTS = flags.DEFINE_integer('hosts_each', 2, 'Hosts in each data centre.')
KEEP = flags.DEFINE_string(
    'keep_logs', None, 'Folder for logs of failed seeds.'
)

CLIENTS = 4
PER_S = 12.0
# Users' limit on the recovery after all faults have ended.
RECOVERY_S = 5.0
LAST_CALLS = 60


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of playing a schedule.

    Parameters
    ==========
    steps : sequence of Step
        Injected faults.
    broken : dict of str to list of str
        Violations of each broken guarantee; empty if all held.
    served, sent : int
        Numbers of requests that succeeded and that were sent.
    """

    steps: tuple
    broken: dict
    served: int
    sent: int


async def _recover(world):
    """End all faults, then send requests and return their calls."""
    await world.heal()
    for name in world.names():
        if name not in world.processes:
            await world.start_host(name, name.rpartition('-')[0])
    for name in world.processes:
        await world.ready(name)
    await asyncio.sleep(RECOVERY_S)
    first = len(world.calls)
    async with steering_calls.caller_session() as session:
        for number in range(LAST_CALLS):
            name = sorted(world.processes)[number % len(world.processes)]
            await world.call(session, name, 'read')
    return world.calls[first:]


async def _play(folder, seed, steps, seconds, hosts):
    async with soak_world.SoakWorld(folder, seed, hosts) as world:
        world.change_config()
        # Hosts exchange their first messages before the load starts.
        await asyncio.sleep(1.0)
        until = time.monotonic() + seconds
        regions = sorted(set(soak_world.CENTRES.values()))
        await asyncio.gather(
            schedule.play(world, steps),
            *(
                world.client(regions[n % len(regions)], until, PER_S)
                for n in range(CLIENTS)
            ),
            *(world.pipelining_client(region, until) for region in regions),
            *(world.probe(name, until) for name in sorted(world.processes)),
        )
        last = await _recover(world)
        found = promises.broken(world)
        if rows := promises.check_recovered(last):
            found['recovery'] = rows
        served = sum(call.status == 200 for call in world.calls)
        return Result(steps, found, served, len(world.calls))


def play(seed, steps, seconds, hosts=2, keep=None):
    """Inject the faults of a schedule under load.

    Parameters
    ==========
    seed : int
        Seed of the load.
    steps : sequence of Step
        Faults to inject.
    seconds : float
        Length of the load, in seconds.
    hosts : int
        Number of hosts in each data centre.
    keep : str, optional
        Folder to which the logs are copied if a guarantee is broken.

    Returns
    =======
    Result
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    try:
        result = asyncio.run(_play(folder, seed, steps, seconds, hosts))
        if result.broken and keep:
            shutil.copytree(folder, pathlib.Path(keep) / str(seed))
        return result
    finally:
        shutil.rmtree(folder)


def _report(seed, result):
    names = ', '.join(f'{s.trouble} at {s.at_s}' for s in result.steps)
    state = 'BROKEN' if result.broken else 'kept'
    print(f'{seed}: {state}, {result.served} of {result.sent} served; {names}')
    for name, rows in result.broken.items():
        print(f'  {name}: {len(rows)}; first: {rows[0]}')
    sys.stdout.flush()


def main(argv):
    """Play the seeds and return the number that broke a guarantee."""
    del argv
    first = FIRST.value
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    failed = 0
    for seed in range(first, first + SEEDS.value):
        steps = schedule.draw(seed, LOAD_S.value)
        result = play(seed, steps, LOAD_S.value, HOSTS.value, KEEP.value)
        _report(seed, result)
        failed += bool(result.broken)
    print(f'{SEEDS.value - failed} of {SEEDS.value} seeds kept all promises')
    return min(failed, 100)


if __name__ == '__main__':
    app.run(main)

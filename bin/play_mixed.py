"""Plays deployments whose hosts run two builds, half and half.

Usage: ``python bin/play_mixed.py CHECKOUT``, with the checkout of another
release. Steering hosts of that checkout run beside those of this one, first
as the readers of the store, then as the other hosts; then the scenes of entry
hosts run with either half of them from that checkout. Returns 1 where a check
fails.
"""

import asyncio
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import pytest

from ebonypick.process import _roster
from tests import steering_calls
from tests import steering_world

SEED = 97
HOSTS = 4
CONTACT_S = 4.0
# Time that hosts have to recover their contacts, as they have it by default,
# and from the loss of a host until no look-up may name it.
HOST_CONTACT_S = 3.0
LOST_HOST_S = HOST_CONTACT_S + 3.0
LOOK_UP_INTERVAL_S = 0.2
DRAIN_S = 2.5
EVACUATION_S = 5.0
MORE_ROUTES = 1_400
ENTRY_TESTS = (
    'tests/test_requests.py',
    'tests/test_configuration.py',
    'tests/test_stops.py',
    'tests/test_silence.py',
)


class MixedWorld(steering_world.SteeringWorld):
    """A deployment in which some hosts run from another checkout.

    Parameters
    ==========
    folder : pathlib.Path
        For settings and logs.
    other : pathlib.Path
        The other checkout.
    readers : bool
        Whether the readers of the store run from it, or all other hosts.
    """

    def __init__(self, folder, other, readers):
        super().__init__(folder, SEED, hosts=HOSTS)
        self.from_other = set()
        self._other = other
        for centre, region in steering_world.REGIONS.items():
            names = [f'{centre}-h{number}' for number in range(HOSTS)]
            found = _roster.store_readers(region, {centre: tuple(names)})
            self.from_other |= {n for n in names if (n in found) == readers}

    async def start_host(self, name, centre):
        """Start a host from its checkout."""
        own = steering_world.ROOT
        if name in self.from_other:
            steering_world.ROOT = self._other
        try:
            await super().start_host(name, centre)
        finally:
            steering_world.ROOT = own

    async def until_answered(self, session, kind, status):
        """Wait until each host answers a kind of request with a status."""
        end = time.monotonic() + DRAIN_S
        for name in self.processes:
            while (await self.call(session, name, kind)).status != status:
                assert time.monotonic() < end, f'{name}: {kind}'
                await asyncio.sleep(0.05)


async def _check_lookups(world):
    """Each host soon knows all hosts of the data centre asked for."""
    end = time.monotonic() + CONTACT_S
    path = '/resolve?name=x&region=a&zone=a-1'
    for name in world.processes:
        count = 0
        while count != HOSTS:
            assert time.monotonic() < end, f'{name} names {count} hosts'
            _, body = await world.get(name, 8463, path)
            count = body.count(str(steering_world.CALLERS_PORT).encode())


async def _check_arrivals_end(world, servers, bound_s):
    """Servers get no request that is sent later than a bound."""
    load = asyncio.ensure_future(world.load(bound_s + 2.0, 60))
    at = time.monotonic() + bound_s
    await load
    late = [a for s in servers for a in s.arrivals if a.at > at]
    assert late == []


async def _check_restore(world, session):
    """The newest configuration outlives an older copy of the store."""
    copy = world.store.copy()
    world.store.put(
        'op', 'config', steering_world.make_config_with(30, 'lost')
    )
    await world.until_answered(session, 'lost', 200)
    lost = await world.store.restore_after_outage(copy, 0.5)
    await asyncio.sleep(1.5)
    await world.until_answered(session, 'lost', 200)
    world.store.rewrite_lost_rows(lost)
    world.store.put(
        'op', 'config', steering_world.make_config_with(31, 'next')
    )
    await world.until_answered(session, 'next', 200)


async def _check_large_version(world, session):
    """A version that hosts of this build compress is in force at all."""
    cfg = steering_world.make_config_with(25, 'last')
    paths = cfg['hosts'][0]['paths']
    paths += [
        {**paths[0], 'name': f'more-{n}', 'prefix': f'/more-{n}/'}
        for n in range(MORE_ROUTES)
    ]
    world.store.put('op', 'config', cfg)
    await world.until_answered(session, 'last', 200)


async def _check_stops(world):
    """A host of each build stops as planned, and starts again."""
    other = sorted(world.from_other)[0]
    own = sorted(set(world.processes) - world.from_other)[0]
    for name in (other, own):
        load = asyncio.ensure_future(world.load(3.0, 60))
        await asyncio.sleep(0.5)
        assert await world.end_host(name, signal.SIGTERM) == 0
        await world.start_host(name, name.rpartition('-')[0])
        await world.ready(name)
        await load


async def _find_late_names(world, lost, started_at):
    """Look up at all hosts until cancelled; return who named a lost host.

    Parameters
    ==========
    lost : str
        The host, which is lost now.
    started_at : dict of str to float
        When each other host started, in monotonic time.
    """
    lost_at = time.monotonic()
    endpoint = f'{world.address(lost)}:{steering_world.CALLERS_PORT}'.encode()
    path = '/resolve?name=x&region=a&zone=a-1'
    late = []
    try:
        while True:
            for name in list(world.processes):
                _, body = await world.get(name, 8463, path)
                now = time.monotonic()
                if endpoint in body and now > max(
                    lost_at + LOST_HOST_S,
                    started_at.get(name, lost_at) + HOST_CONTACT_S,
                ):
                    build = 'other' if name in world.from_other else 'own'
                    late.append((name, build, round(now - lost_at, 1)))
            await asyncio.sleep(LOOK_UP_INTERVAL_S)
    except asyncio.CancelledError:
        return late


async def _check_upgrade_beside_a_lost_host(world):
    """A host is lost, and the others change to this build in turn."""
    lost = min(name for name in world.from_other if name.startswith('a-1'))
    await world.end_host(lost, signal.SIGKILL)
    started_at = {}
    task = asyncio.ensure_future(_find_late_names(world, lost, started_at))
    load = asyncio.ensure_future(world.load(20.0, 60, [*world.processes]))
    for name in sorted(world.from_other - {lost}):
        await asyncio.sleep(1.0)
        assert await world.end_host(name, signal.SIGTERM) == 0
        world.from_other.discard(name)
        started_at[name] = time.monotonic()
        await world.start_host(name, name.rpartition('-')[0])
        await world.ready(name)
    await load
    await asyncio.sleep(LOST_HOST_S)
    task.cancel()
    late = await task
    assert late == [], f'{lost} is named late: {late}'


async def _play(folder, other, readers):
    async with MixedWorld(folder, other, readers) as world:
        async with steering_calls.caller_session() as session:
            await _check_lookups(world)
            await world.load(2.0, 60)
            assert {call.status for call in world.calls} == {200}
            world.store.put(
                'op', 'config', steering_world.make_config_with(20, 'new')
            )
            await world.until_answered(session, 'new', 200)
            await _check_large_version(world, session)
            server = world.of('registry')[0]
            server.draining = True
            world.register(server)
            await _check_arrivals_end(world, [server], DRAIN_S)
            world.store.put('op', 'evacuate/a-1', {})
            emptied = [s for s in world.upstreams if s.data_centre == 'a-1']
            await _check_arrivals_end(world, emptied, EVACUATION_S)
            world.store.remove('op', 'evacuate/a-1')
            await _check_restore(world, session)
            await _check_stops(world)
            hosts = len(world.from_other)
            await _check_upgrade_beside_a_lost_host(world)
            assert steering_calls.violations(world) == []
            return len(world.calls), hosts


def _play_entry_hosts(other, odd):
    """Run the scenes of entry hosts; return pytest's exit code."""
    start = subprocess.Popen
    homes = {}

    def popen(args, *more, **options):
        if 'ebonypick.entry' in args:
            own = homes.setdefault(args[-1], len(homes))
            if own % 2 == odd:
                options['cwd'] = other
        return start(args, *more, **options)

    subprocess.Popen = popen
    try:
        return int(pytest.main(['-q', *ENTRY_TESTS]))
    finally:
        subprocess.Popen = start


def main():
    """Play all; return 1 where a check failed."""
    other = pathlib.Path(sys.argv[1]).resolve()
    for readers in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            calls, hosts = asyncio.run(
                _play(pathlib.Path(folder), other, readers)
            )
        role = 'readers of the store' if readers else 'other hosts'
        print(f'{hosts} {role} of {other.name}: {calls} calls, all kept')
    codes = [_play_entry_hosts(other, odd) for odd in (0, 1)]
    print(f'scenes of entry hosts: pytest returned {codes}')
    return 1 if any(codes) else 0


if __name__ == '__main__':
    sys.exit(main())

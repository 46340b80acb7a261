"""Tests of a configuration so large that hosts need time to send it on."""

import asyncio
import time

from ebonypick.process import _roster
from tests.soak import proxy
from tests.soak import world as soak_world
from tests import steering_calls
from tests import steering_world

SEED = 157
# More hosts than read the store in each region.
HOSTS = 5
ROUTES = 1_400
# The rate that requests leave on the link of one host.
BYTES_PER_S = 800_000
# The users' limit: a version is in force everywhere within this time.
CONFIG_S = soak_world.CONFIG_S
GIVE_UP_S = 15.0
# Versions that follow each other, on a link of 5 Mbit/s.
VERSIONS = 8
VERSION_INTERVAL_S = 0.5
NARROW_BYTES_PER_S = 625_000


def _grown_config(number):
    """Return a configuration with many more routes."""
    cfg = steering_world.make_config(number)
    paths = cfg['hosts'][0]['paths']
    paths += [
        {**paths[0], 'name': f'more-{n}', 'prefix': f'/more-{n}/'}
        for n in range(ROUTES)
    ]
    return cfg


async def _until_in_force(world, session):
    """Return the time at which all hosts serve the last route."""
    left = set(world.processes)
    end = time.monotonic() + GIVE_UP_S
    prefix = f'more-{ROUTES - 1}'
    while left and time.monotonic() < end:
        for name in sorted(left):
            if (await world.call(session, name, prefix)).status != 404:
                left.discard(name)
        await asyncio.sleep(0.02)
    return time.monotonic()


def _follower(world, centre, region):
    """Return a host of a data centre that does not read the store."""
    names = [name for name in world.names() if name.startswith(centre)]
    readers = _roster.store_readers(region, {centre: tuple(names)})
    return next(name for name in names if name not in readers)


def _narrow(world, name, bytes_per_s=BYTES_PER_S):
    """Let all traffic of a host with other hosts share a narrow link."""
    link = proxy.Link(bytes_per_s)
    for other in world.names():
        links = world.proxies[f'peers {other}'].links
        links[None if other == name else world.address(name)] = link


def test_a_large_version_is_in_force_in_time_on_a_narrow_link(tmp_path):
    async def run():
        async with soak_world.SoakWorld(tmp_path, SEED, hosts=HOSTS) as world:
            async with steering_calls.caller_session() as session:
                # Hosts trust the list of hosts for their first seconds.
                await asyncio.sleep(5.0)
                for centre, region in steering_world.REGIONS.items():
                    _narrow(world, _follower(world, centre, region))
                world.config_number += 1
                cfg = _grown_config(world.config_number)
                world.tell('config', str(world.config_number), cfg)
                told_at = time.monotonic()
                return await _until_in_force(world, session) - told_at

    assert asyncio.run(run()) <= CONFIG_S


def test_large_versions_in_a_row_are_in_force_in_time_on_a_narrow_link(
    tmp_path,
):
    """Guards against versions that wait behind the bytes of earlier ones."""

    async def run():
        async with soak_world.SoakWorld(tmp_path, SEED, hosts=HOSTS) as world:
            async with steering_calls.caller_session() as session:
                await asyncio.sleep(5.0)
                for centre, region in steering_world.REGIONS.items():
                    follower = _follower(world, centre, region)
                    _narrow(world, follower, NARROW_BYTES_PER_S)
                for last in range(VERSIONS):
                    await asyncio.sleep(VERSION_INTERVAL_S)
                    world.config_number += 1
                    cfg = _grown_config(world.config_number)
                    if last < VERSIONS - 1:
                        # The last route comes with the last version.
                        cfg['hosts'][0]['paths'].pop()
                    world.tell('config', str(world.config_number), cfg)
                told_at = time.monotonic()
                return await _until_in_force(world, session) - told_at

    assert asyncio.run(run()) <= CONFIG_S

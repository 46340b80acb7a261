"""Tests of hosts whose open connections go silent for good; new ones work.

A change ends the feeds of all hosts at once, so a silence after it meets the
feeds of a table in the same phase, and no host is better informed.
"""

import asyncio
import time

import pytest

from tests.soak import world as soak_world
from tests import steering_calls
from tests import steering_world

SEED = 83
# Users' limits: hosts recover from a silence within CONTACT_S, and a drain
# is in force within DRAIN_S.
CONTACT_S = 3.0
DRAIN_S = 2.0
GIVE_UP_S = 10.0
STORE, PEERS = 'store ', 'peers '
# All links, and most of those to the store or between hosts.
SILENT = (((STORE, PEERS), 1.0), ((STORE,), 0.7), ((PEERS,), 0.7))


def _silence(world, links, share=1.0):
    """Silence open connections of hosts; return the time.

    Parameters
    ==========
    links : tuple of str
        Beginnings of the names of the links: to the store, and to each other.
    share : float
        Share of the links of each kind.
    """
    for kind in links:
        names = sorted(n for n in world.proxies if n.startswith(kind))
        for name in world.rng.sample(names, round(share * len(names))):
            world.proxies[name].silence()
    return time.monotonic()


def _accept_route(world, prefix):
    """Store a new version with one more route."""
    world.config_number += 1
    cfg = steering_world.make_config_with(world.config_number, prefix)
    world.store.put('op', 'config', cfg)


def _drain(world, server):
    server.draining = True
    world.register(server)


async def _until_served(world, session, prefix):
    """Return the time at which all hosts serve a route."""
    left = set(world.processes)
    end = time.monotonic() + GIVE_UP_S
    while left and time.monotonic() < end:
        for name in sorted(left):
            if (await world.call(session, name, prefix)).status == 200:
                left.discard(name)
        await asyncio.sleep(0.02)
    return time.monotonic()


def _scene(tmp_path, play):
    async def run():
        async with soak_world.SoakWorld(tmp_path, SEED) as world:
            async with steering_calls.caller_session() as session:
                await asyncio.sleep(1.0)
                return await play(world, session)

    return asyncio.run(run())


@pytest.mark.parametrize(('links', 'share'), SILENT)
def test_a_version_is_in_force_in_time_after_connections_go_silent(
    tmp_path, links, share
):
    async def play(world, session):
        _accept_route(world, 'first')
        await asyncio.sleep(0.6)
        silent_at = _silence(world, links, share)
        await asyncio.sleep(0.3)
        _accept_route(world, 'second')
        return await _until_served(world, session, 'second') - silent_at

    assert _scene(tmp_path, play) <= CONTACT_S


@pytest.mark.parametrize(('links', 'share'), SILENT)
def test_a_drained_server_gets_nothing_after_connections_went_silent(
    tmp_path, links, share
):
    async def play(world, session):
        first, second = world.of('registry')[:2]
        _drain(world, first)
        await asyncio.sleep(0.6)
        silent_at = _silence(world, links, share)
        await asyncio.sleep(0.5)
        _drain(world, second)
        while time.monotonic() < silent_at + CONTACT_S + DRAIN_S:
            for name in world.processes:
                await world.call(session, name, 'read')
        return [
            arrival.at - silent_at
            for arrival in second.arrivals
            if arrival.at > silent_at + CONTACT_S
        ]

    assert _scene(tmp_path, play) == []

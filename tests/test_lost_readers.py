"""The store turns away the hosts that read it and serves all others."""

import asyncio
import time

from tests import steering_world

SEED = 91
# Of four hosts of a region, two read the store.
HOSTS = 4
READERS = 4
# The readers' long polls and the checks of roles are shorter.
OBSERVATION_S = 4.0
# Time in which a version is in force everywhere while the store is unstable.
IN_FORCE_S = 8.0


async def _readers(world):
    """Return the names of the hosts that read the store."""
    since = time.monotonic()
    await asyncio.sleep(OBSERVATION_S)
    clients = {c.client for c in world.store.call_log if c.at > since}
    return [name for name in world.names() if world.address(name) in clients]


def test_a_version_reaches_all_hosts_while_the_readers_are_turned_away(
    tmp_path,
):
    """Guards against hosts that wait for readers which hear of nothing."""

    async def play(world, session):
        # The hosts take their roles.
        await asyncio.sleep(OBSERVATION_S)
        readers = await _readers(world)
        assert len(readers) == READERS
        world.store.faults.turned_away = {
            world.address(name) for name in readers
        }
        # Their open calls end without news.
        await asyncio.sleep(OBSERVATION_S)
        cfg = steering_world.make_config_with(9, 'new')
        world.store.put('op', 'config', cfg)
        await asyncio.sleep(IN_FORCE_S)
        statuses = {
            name: (await world.call(session, name, 'new')).status
            for name in world.names()
        }
        world.store.faults.turned_away = set()
        return statuses

    statuses = steering_world.run_scene(tmp_path, SEED, play, hosts=HOSTS)
    assert set(statuses.values()) == {200}, statuses

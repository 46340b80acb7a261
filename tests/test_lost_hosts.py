"""Scene of a host that is lost, beside limits and crashes of servers."""

import asyncio
import signal
import time

from tests import steering_world

SEED = 173
LOST = 'a-1-h0'
PER_S = 40.0
# The users' limit: ``contact``, as the hosts have it by default, and 3 s.
NAMED_LIMIT_S = 3.0 + 3.0
# Limits that the load does not reach; hosts tell each other of all of them.
LIMIT_PER_S = 500.0
CHECKED_S = 8.0
POLL_S = 0.2
PATHS = (
    '/resolve?name=x&region=a&zone=a-1',
    '/resolve?name=x&region=b&zone=b-1',
)


async def _look_up_all(world, seconds):
    """Return all answers of all running hosts in a time."""
    end = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end:
        answers += await asyncio.gather(
            *(
                world.get(name, 8463, path)
                for name in world.processes
                for path in PATHS
            )
        )
        await asyncio.sleep(POLL_S)
    return [body for _, body in answers]


def test_no_look_up_names_a_lost_host_when_servers_crash_later(tmp_path):
    async def play(world, session):
        for server in world.upstreams:
            server.name_limit(LIMIT_PER_S)
        others = [name for name in world.names() if name != LOST]
        seconds = 1.0 + NAMED_LIMIT_S + CHECKED_S
        load = asyncio.create_task(world.load(seconds, PER_S, others))
        await asyncio.sleep(1.0)
        await world.end_host(LOST, signal.SIGKILL)
        await asyncio.sleep(NAMED_LIMIT_S)
        crashes = asyncio.gather(
            *(world.restart_server(s, 1.0) for s in world.upstreams[::2])
        )
        found = await _look_up_all(world, CHECKED_S)
        await asyncio.gather(crashes, load)
        return found, f'{world.address(LOST)}:8461'.encode()

    found, lost = steering_world.run_scene(
        tmp_path, SEED, play, hosts=3, servers=3
    )
    assert found and all(found)
    assert [body for body in found if lost in body] == []

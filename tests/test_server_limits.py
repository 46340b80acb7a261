"""Scenes of servers that name a limit of requests for all hosts together."""

import asyncio
import time

from tests import steering_calls
from tests import steering_world

SEED = 61
# Requests per second of all callers, far more than the limited servers take.
LOAD_PER_S = 40
LIMIT_PER_S = 1.0


def test_hosts_together_respect_the_limit_that_a_server_names(tmp_path):
    async def play(world, session):
        load = asyncio.create_task(world.load(12.0, LOAD_PER_S))
        await asyncio.sleep(1.0)
        limited = world.of('registry')[::2]
        for server in limited:
            server.name_limit(LIMIT_PER_S)
        named_at = time.monotonic()
        await load
        heard = [c for c in world.calls if 'server-limit' in c.headers]
        assert heard
        late = [call for call in world.calls if call.sent_at > named_at + 4.0]
        served = sum(call.status == 200 for call in late) / len(late)
        return (
            steering_calls.limit_breaches(world),
            served,
            steering_calls.violations(world),
        )

    breaches, served, broken = steering_world.run_scene(
        tmp_path, SEED, play, hosts=2, servers=3
    )
    assert breaches == []
    # The servers without a limit have room for all callers.
    assert served == 1.0
    assert broken == []

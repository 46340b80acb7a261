"""Tests of requests that come late in the planned stop of a steering host."""

import asyncio
import signal
import time

from tests import steering_calls
from tests import steering_world

SEED = 101
WORK_S = 1.5
GRACE_S = 6.0
# The body ends so late that its work would outlast the grace time.
LATE_S = 4.7
# Time for an answer that needs no server.
AT_ONCE_S = 0.5
BODY = b'0123456789'


async def _send_slowly(world, name, wait_s):
    """Send an upload whose body ends after a wait; return the answer."""
    reader, writer = await asyncio.open_connection(*world.callers_end(name))
    head = (
        f'POST /upload/late HTTP/1.1\r\nHost: {steering_calls.HOST}\r\n'
        f'Attempt-Id: late\r\nDeadline-Ms: 20000\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    writer.write(head.encode() + BODY[:1])
    await asyncio.sleep(wait_s)
    writer.write(BODY[1:])
    sent_at = time.monotonic()
    answer = await reader.read()
    writer.close()
    return answer.split(b'\r\n')[0], time.monotonic() - sent_at


def test_a_request_that_cannot_end_before_a_stop_is_refused_unsent(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        cfg = steering_world.make_config(2)
        for path in cfg['hosts'][0]['paths']:
            path['timeout'] = '20s'
        world.store.put('op', 'config', cfg)
        await asyncio.sleep(0.5)
        for server in world.upstreams:
            server.set_work(WORK_S)
        await asyncio.gather(
            *(world.call(session, name, 'upload', key=n) for n in range(8))
        )
        late = asyncio.create_task(_send_slowly(world, name, LATE_S))
        await asyncio.sleep(0.1)
        process = world.processes[name]
        process.send_signal(signal.SIGTERM)
        answer = await late
        ran = [r for s in world.upstreams for r in s.runs if r.req == 'late']
        return answer, ran

    (status, took_s), ran = steering_world.run_scene(tmp_path, SEED, play)
    assert status.startswith(b'HTTP/1.1 503')
    assert took_s < AT_ONCE_S
    assert ran == []

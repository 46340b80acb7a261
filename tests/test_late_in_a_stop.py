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


async def _show_usual_work(world, session, name, kind, work_s):
    """Let a host see how long requests take that may take 20 s."""
    cfg = steering_world.make_config(2)
    for path in cfg['hosts'][0]['paths']:
        path['timeout'] = '20s'
    world.store.put('op', 'config', cfg)
    await asyncio.sleep(0.5)
    for server in world.upstreams:
        server.set_work(work_s)
    await asyncio.gather(
        *(world.call(session, name, kind, key=key) for key in range(12))
    )


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
        await _show_usual_work(world, session, name, 'upload', WORK_S)
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


# The usual work of reads, that of one in progress at the signal, which keeps
# its connection open, and that of reads that are sent behind it.
USUAL_WORK_S, FIRST_WORK_S, BEHIND_WORK_S = 0.3, 3.7, 2.6
LONG_MS, SHORT_MS = 20_000, 2_000
# Reads behind another one: when they are sent after the signal, their deadline
# and the status of the answer. The deadline of the last one passes before the
# stop ends.
BEHIND = {
    'early': (1.0, LONG_MS, 200),
    'late': (3.25, LONG_MS, 503),
    'short': (3.25, SHORT_MS, 504),
}


def _read_bytes(req, deadline_ms):
    return (
        f'GET /read/{req} HTTP/1.1\r\nHost: {steering_calls.HOST}\r\n'
        f'Attempt-Id: {req}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'Cookie: Affinity-Key={req}\r\n\r\n'
    ).encode()


async def _read_behind_another(world, name, kind, signalled):
    """Send two reads on a connection; return the statuses of its answers."""
    after_s, deadline_ms, _ = BEHIND[kind]
    reader, writer = await asyncio.open_connection(*world.callers_end(name))
    writer.write(_read_bytes(f'first-{kind}', LONG_MS))
    await signalled.wait()
    await asyncio.sleep(after_s)
    writer.write(_read_bytes(kind, deadline_ms))
    answers = await reader.read()
    writer.close()
    return [
        int(part.split(b' ')[0]) for part in answers.split(b'HTTP/1.1 ')[1:]
    ]


def test_no_read_is_cut_that_a_stopping_host_passes_on_late(tmp_path):
    """Guards against reads that outlast the stop, though usual ones do not."""

    async def play(world, session):
        name = next(iter(world.processes))
        await _show_usual_work(world, session, name, 'read', USUAL_WORK_S)
        for server in world.upstreams:
            server.set_work(FIRST_WORK_S)
        signalled = asyncio.Event()
        reads = [
            asyncio.create_task(
                _read_behind_another(world, name, kind, signalled)
            )
            for kind in BEHIND
        ]
        await asyncio.sleep(0.2)
        for server in world.upstreams:
            server.set_work(BEHIND_WORK_S)
        world.processes[name].send_signal(signal.SIGTERM)
        signalled.set()
        found = dict(zip(BEHIND, await asyncio.gather(*reads)))
        return found, {run.req for s in world.upstreams for run in s.runs}

    found, ran = steering_world.run_scene(tmp_path, SEED, play)
    assert found == {
        kind: [200, status] for kind, (_, _, status) in BEHIND.items()
    }
    assert 'late' not in ran

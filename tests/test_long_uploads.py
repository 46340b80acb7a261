"""Tests of uploads that are longer than what a host keeps of them."""

import hashlib
import itertools
import json
import time

import pytest

from ebonypick.process import _body
from ebonypick.process import _forward
from tests import steering_calls
from tests import steering_world
from tests import test_input

SEED = 141
BUFFER_BYTES = _forward.BODY_BUFFER_BYTES
SIZES = (BUFFER_BYTES - 1, BUFFER_BYTES, BUFFER_BYTES + 1, 1_500_000)
# A server that answers 421 gets nothing until its row changes, so that each
# upload takes another one.
SERVERS = 5
# How the first server fails: it rejects the upload after its body, after its
# head, or as another server, or it resets the connection after the run.
FAULTS = ('shed', 'shed_early', 'misdirect', 'reset')


async def _upload(world, session, fault, size, chunked):
    """Send an upload whose first server fails; return the call."""
    name = next(iter(world.processes))
    before = [len(server.arrivals) for server in world.upstreams]
    key = len(world.calls)
    await world.call(session, name, 'upload', key=key)
    (home,) = [
        server
        for server, count in zip(world.upstreams, before)
        if len(server.arrivals) > count
    ]
    setattr(home.faults, fault, 1)
    return await world.call(
        session, name, 'upload', size, key=key, chunked=chunked
    )


@pytest.mark.parametrize('fault', FAULTS)
def test_no_server_runs_a_part_of_an_upload(tmp_path, fault):
    """Guards against uploads that reach a second server without their end."""

    async def play(world, session):
        calls = [
            await _upload(world, session, fault, size, chunked)
            for size, chunked in itertools.product(SIZES, (False, True))
        ]
        return calls, steering_calls.violations(world)

    calls, broken = steering_world.run_scene(
        tmp_path, SEED, play, servers=SERVERS
    )
    assert broken == []
    refusals = {502} if fault == 'reset' else {503}
    for call in calls:
        buffered = len(call.body) < BUFFER_BYTES and fault != 'reset'
        assert call.status in ({200} if buffered else {200} | refusals)


def _put(deployment, mark, body):
    """Send a body in chunks to an entry host; return status and answer."""
    raw = test_input.request(
        f'/items/{mark}', 'PUT', Transfer_Encoding='chunked'
    )
    raw += b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    answer = test_input.exchange(deployment, raw)
    head, _, data = answer.partition(b'\r\n\r\n')
    return int(head.split()[1]), data


@pytest.mark.parametrize('more', [-1, 0, 1, 200_000])
def test_no_backend_server_gets_a_part_of_a_repeated_body(deployment, more):
    """Guards against repeats of a PUT that send the start of its body."""
    body = bytes(n % 251 for n in range(_body.BUFFER_BYTES + more))
    mark = f'long-{time.time_ns()}'
    for name in deployment.backend_rows():
        deployment.backend_faults(name, reset_after_run=1)
    found = [_put(deployment, mark, body) for _ in range(3)]
    digest = hashlib.sha256(body).hexdigest()
    for status, data in found:
        if status == 200:
            assert json.loads(data)['sha256'] == digest
    assert [r for r in deployment.runs() if r.target.endswith(mark)]

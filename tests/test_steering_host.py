"""Single requests at steering hosts, as real processes."""

import asyncio
import signal

from tests import steering_world

SEED = 51


def _scene(tmp_path, play):
    return steering_world.run_scene(tmp_path, SEED, play)


def test_a_host_without_a_configuration_answers_503_and_is_not_ready(
    tmp_path,
):
    async def play(world, session):
        name = next(iter(world.processes))
        await world.end_host(name, signal.SIGKILL)
        for other in list(world.processes):
            await world.end_host(other, signal.SIGKILL)
        world.store.faults.down = True
        await world.start_host(name, name.rpartition('-')[0])
        status = 0
        while status == 0:
            call = await world.call(session, name, 'read')
            status = call.status
            await asyncio.sleep(0.05)
        readiness = await world.get(name, 8462, '/readiness')
        return call, readiness[0]

    call, readiness = _scene(tmp_path, play)
    assert (call.status, readiness) == (503, 503)
    assert float(call.headers['retry-after']) > 0


def test_a_version_is_in_force_soon_and_an_older_one_never_again(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        before = (await world.call(session, name, 'new')).status
        cfg = steering_world.make_config(9)
        paths = cfg['hosts'][0]['paths']
        paths.append({**paths[0], 'name': 'new', 'prefix': '/new/'})
        world.store.put('op', 'config', cfg)
        statuses = []
        for _ in range(100):
            statuses.append((await world.call(session, name, 'new')).status)
            if statuses[-1] == 200:
                break
            await asyncio.sleep(0.02)
        world.store.put('op', 'config', steering_world.make_config(5))
        await asyncio.sleep(1.0)
        after = (await world.call(session, name, 'new')).status
        return before, statuses[-1], after

    assert _scene(tmp_path, play) == (404, 200, 200)


def test_look_ups_name_live_hosts_of_the_caller_s_region(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        path = '/resolve?name=x&region=b&zone=b-1'
        lost = f'{world.address("b-1-h0")}:8461'.encode()

        async def until(named):
            for _ in range(400):
                _, found = await world.get(name, 8463, path)
                if (lost in found) == named:
                    break
                await asyncio.sleep(0.05)
            return found

        near = await until(True)
        await world.end_host('b-1-h0', signal.SIGKILL)
        far = await until(False)
        return near, far, lost, f'{world.address(name)}:8461'.encode()

    near, far, lost, left = _scene(tmp_path, play)
    assert lost in near and left not in near
    assert lost not in far and left in far


def test_a_caller_that_leaves_is_followed_by_the_server_s_connection(
    tmp_path,
):
    async def play(world, session):
        name = next(iter(world.processes))
        for server in world.upstreams:
            server.faults.hang = 1
        task = asyncio.create_task(world.call(session, name, 'read'))
        while not any(server.runs for server in world.upstreams):
            await asyncio.sleep(0.01)
        (busy,) = [s for s in world.upstreams if s.runs]
        assert busy.open_connections == 1
        task.cancel()
        for _ in range(200):
            if busy.open_connections == 0:
                break
            await asyncio.sleep(0.01)
        return busy.open_connections

    assert _scene(tmp_path, play) == 0


def test_an_early_answer_is_passed_on_and_the_rest_is_not_misread(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        for server in world.of('evidence'):
            server.faults.early = 1
        first = await world.call(session, name, 'upload', 300_000, key=1)
        others = [
            await world.call(session, name, 'upload', 60_000, key=1)
            for _ in range(5)
        ]
        world.calls.remove(first)
        return first, others, steering_world.violations(world)

    first, others, broken = _scene(tmp_path, play)
    assert (first.status, first.answer) == (200, b'early')
    assert [call.status for call in others] == [200] * 5
    assert broken == []


def test_an_unanswered_request_ends_at_its_route_s_timeout(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        for server in world.upstreams:
            server.faults.hang = 1
        return await world.call(session, name, 'act')

    call = _scene(tmp_path, play)
    assert call.status == 504
    waited_s = call.ended_at - call.sent_at
    assert steering_world.TIMEOUT_S <= waited_s
    assert waited_s < steering_world.DEADLINE_S


def _read_spoilt_once(tmp_path, fault, others='shed'):
    """Let the home spoil a read after the run, and the others shed it.

    Parameters
    ==========
    fault, others : str
        Faults of the home and of all other servers.

    Returns
    =======
    tuple
        The call, the home's name, and the host's last log line on the call.
    """

    async def play(world, session):
        name = next(iter(world.processes))
        await world.call(session, name, 'read', key=1)
        (home,) = [s for s in world.upstreams if s.runs]
        setattr(home.faults, fault, 1)
        for server in world.of('registry'):
            if server is not home:
                setattr(server.faults, others, 9)
        call = await world.call(session, name, 'read', key=1)
        assert steering_world.violations(world) == []
        ended = {}
        while not ended:
            await asyncio.sleep(0.05)
            for line in world.log_lines(name):
                if line['message_type'] == 'EP1213':
                    if line['req'] == call.req:
                        ended = line
        assert call.req in [run.req for run in home.runs]
        return call, home.instance, ended

    return _scene(tmp_path, play)


def test_a_read_that_ran_is_never_said_not_to_have_run(tmp_path):
    call, _, _ = _read_spoilt_once(tmp_path, 'reset')
    assert call.status == 502


def test_a_server_s_failure_is_passed_on_where_no_other_serves(tmp_path):
    call, home, _ = _read_spoilt_once(tmp_path, 'fail')
    assert (call.status, call.answer) == (500, b'failed')
    assert call.headers['server-seal'] == home


def test_a_failure_never_follows_the_start_of_another_answer(tmp_path):
    """The home fails, the next server's long answer stops half-way."""
    call, _, ended = _read_spoilt_once(tmp_path, 'fail', others='stall')
    # The caller's connection breaks, as its answer cannot be completed.
    assert call.status == 0
    assert (ended['status'], ended['outcome']) == (200, 'unknown')


async def _raw(address, data):
    """Send bytes to a host; return the status of the answer and the rest."""
    reader, writer = await asyncio.open_connection(address, 8461)
    writer.write(data)
    try:
        answer = await asyncio.wait_for(reader.read(), 10)
    except ConnectionError:
        answer = b''
    writer.close()
    return answer


BAD_INPUT = {
    'a head past the limit': (
        b'GET /read/1 HTTP/1.1\r\nHost: callers.example\r\nX: '
        + b'x' * 20_000
        + b'\r\nConnection: close\r\n\r\n',
        b'431',
    ),
    'a body past the limit': (
        b'POST /act/1 HTTP/1.1\r\nHost: callers.example\r\n'
        b'Attempt-Id: a\r\nConnection: close\r\n'
        b'Content-Length: 5000000\r\n\r\n' + b'x' * 5_000_000,
        b'413',
    ),
    'two lengths': (
        b'POST /act/1 HTTP/1.1\r\nHost: callers.example\r\n'
        b'Attempt-Id: a\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        b'GET /read/smuggled HTTP/1.1\r\nHost: callers.example\r\n'
        b'Attempt-Id: smuggled\r\n\r\n',
        b'400',
    ),
    'no id': (
        b'GET /read/1 HTTP/1.1\r\nHost: callers.example\r\n'
        b'Connection: close\r\n\r\n',
        b'400',
    ),
    'no route': (
        b'GET /nowhere/1 HTTP/1.1\r\nHost: callers.example\r\n'
        b'Attempt-Id: a\r\nConnection: close\r\n\r\n',
        b'404',
    ),
}


def test_bad_input_gets_its_status_and_nothing_runs(tmp_path):
    async def play(world, session):
        name = next(iter(world.processes))
        found = {}
        for kind, (data, _) in BAD_INPUT.items():
            found[kind] = await _raw(world.address(name), data)
        after = await world.call(session, name, 'read')
        ran = [run.req for s in world.upstreams for run in s.runs]
        return found, after.status, ran, after.req

    found, status, ran, req = _scene(tmp_path, play)
    for kind, (_, expected) in BAD_INPUT.items():
        assert found[kind].split(b' ')[1] == expected, kind
    assert (status, ran) == (200, [req])

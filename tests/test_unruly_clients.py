"""Tests of hosts whose clients make them hold as much as they can.

Each client stays within the configured limits. The host may refuse such
clients or close their connections. It has to live on within its memory and
its descriptors and to answer other callers.
"""

import asyncio
import contextlib
import os
import resource
import time
import urllib.error
import urllib.request

import pytest

from tests import crowds
from tests import steering_calls
from tests import steering_world

SEED = 53
HOST = 'a-1-h0'
# What the hosts in these tests have.
MEMORY_MB = 120
MAX_FDS = 300
MANY_FDS = 4_100
SETTINGS = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
# Ports by what they serve.
PORTS = {
    'callers': steering_world.CALLERS_PORT,
    'readiness': 8462,
    'look-ups': 8463,
    'metrics': 9464,
    'messages': steering_world.PEER_PORT,
    'passed on': steering_world.PEER_PORT + 1,
}
# Requests of a crowd that reach a server stay there.
HANGS = 100_000
# A caller that is told to come back does so for this long.
CALLER_PATIENCE_S = 30.0

CASES = [
    ('callers', 'heads of short lines'),
    ('callers', 'heads of lines with one name'),
    ('callers', 'heads of odd lines'),
    ('callers', 'heads without end'),
    ('callers', 'heads before a body that does not come'),
    ('callers', 'heads of short lines that return'),
    ('callers', 'idle connections that return'),
    ('callers', 'bursts of small requests'),
    ('callers', 'uploads without end'),
    ('callers', 'slow uploads'),
    ('callers', 'bodies in small chunks'),
    ('callers', 'long names of objects'),
    ('callers', 'long ids of requests'),
    ('look-ups', 'heads of short lines'),
    ('look-ups', 'heads without end'),
    ('look-ups', 'bursts of small requests'),
    ('look-ups', 'uploads without end'),
    ('passed on', 'heads of odd lines'),
    ('passed on', 'uploads without end'),
    ('readiness', 'heads of short lines'),
    ('messages', 'heads of lines with one name'),
    ('metrics', 'unread answers'),
    *((port, 'idle connections') for port in PORTS),
]


def _status(process, field):
    with open(f'/proc/{process.pid}/status') as file:
        for line in file:
            if line.startswith(field):
                return int(line.split()[1])
    return 0


def _open_fds(process):
    return len(os.listdir(f'/proc/{process.pid}/fd'))


async def _ask(world, session):
    """Return the status of an ordinary request, sent again after refusals."""
    end = time.monotonic() + CALLER_PATIENCE_S
    while True:
        call = await world.call(session, HOST, 'upload')
        if call.status == 200 or time.monotonic() > end:
            return call.status
        await asyncio.sleep(float(call.headers.get('retry-after', 0.1)))


async def _look_up(world):
    """Return the status of an ordinary look-up, sent again after refusals."""
    end = time.monotonic() + CALLER_PATIENCE_S
    path = '/resolve?name=x&region=a&zone=a-1'
    while True:
        status, _ = await world.get(HOST, PORTS['look-ups'], path)
        if status == 200 or time.monotonic() > end:
            return status
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(('port', 'kind'), CASES)
def test_a_crowd_leaves_room_and_others_are_answered(tmp_path, port, kind):
    """Guards against hosts that end or refuse everyone under such clients."""
    _check_crowd(tmp_path, (port,), kind, MAX_FDS)


def test_a_limit_on_descriptors_that_was_lowered_is_kept(tmp_path):
    """Connections that send nothing leave descriptors for all else."""

    async def play(world, session):
        cfg = steering_world.make_config(2)
        # The crowd is not closed for being idle.
        cfg['limits']['idleTimeout'] = '600s'
        world.store.put('op', 'config', cfg)
        await asyncio.sleep(1.0)
        process = world.processes[HOST]
        resource.prlimit(
            process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
        )
        crowd = crowds.crowds.get('idle connections')()
        address = world.address(HOST), PORTS['callers']
        async with crowds.OpenCrowd(crowd, address):
            found = await _ask(world, session), await _look_up(world)
            return found, _open_fds(process)

    found, fds = steering_world.run_scene(tmp_path, SEED, play)
    assert found == (200, 200)
    # Some are left for connections to servers, hosts and the store.
    assert fds < MAX_FDS / 2


@pytest.mark.parametrize(
    'kind',
    (
        'heads of short lines',
        'heads without end',
        'uploads without end',
        'bodies in small chunks',
    ),
)
def test_a_crowd_fits_into_the_memory_where_descriptors_abound(tmp_path, kind):
    """The bound on the connections does not stand in for that on the memory.

    All connections of the crowd are admitted.
    """
    _check_crowd(tmp_path, ('callers',), kind, MANY_FDS)


@pytest.mark.parametrize(
    'kind', ('heads of short lines', 'uploads without end')
)
def test_crowds_at_all_ports_at_once_leave_room(tmp_path, kind):
    """The listeners' shares leave room for the process itself."""
    _check_crowd(tmp_path, tuple(PORTS), kind, MANY_FDS)


def _check_crowd(tmp_path, ports, kind, max_fds):
    """Check crowds at a host that has so many descriptors."""

    async def play(world, session):
        for server in world.of('registry'):
            server.faults.hang = HANGS if 'long' not in kind else 0
        process = world.processes[HOST]
        async with contextlib.AsyncExitStack() as stack:
            opened = [
                crowds.OpenCrowd(
                    crowds.crowds.get(kind)(),
                    (world.address(HOST), PORTS[port]),
                )
                for port in ports
            ]
            await asyncio.gather(*map(stack.enter_async_context, opened))
            fds = _open_fds(process)
            during = await _ask(world, session), await _look_up(world)
            fds = max(fds, _open_fds(process))
        after = await _ask(world, session), await _look_up(world)
        peak_kb = _status(process, 'VmHWM')
        return process.returncode, peak_kb, fds, during, after

    code, peak_kb, fds, during, after = steering_world.run_scene(
        tmp_path, SEED, play, settings={**SETTINGS, 'max_fds': max_fds}
    )
    print(
        f'{ports}, {kind}: {peak_kb} kB, {fds} descriptors, {during}, {after}'
    )
    assert code is None
    assert peak_kb < MEMORY_MB * 1000
    assert fds < max_fds
    assert (during, after) == ((200, 200), (200, 200))


def test_one_request_of_many_short_lines_is_served(tmp_path):
    """A request within the limits of a head is served, whatever its form."""

    async def play(world, session):
        found = {}
        for kind in ('short lines', 'lines with one name', 'odd lines'):
            crowd = crowds.crowds.get(f'heads of {kind}')()
            data = crowd.data(1)
            data = data[: data.index(b'\r\n\r\n') + 4]
            found[kind] = await _first_line(world.address(HOST), data)
        return found

    found = steering_world.run_scene(tmp_path, SEED, play, settings=SETTINGS)
    assert {line.split()[1] for line in found.values()} == {b'200'}, found


async def _first_line(address, data):
    reader, writer = await asyncio.open_connection(address, PORTS['callers'])
    writer.write(data)
    try:
        async with asyncio.timeout(steering_calls.DEADLINE_S + 2):
            return await reader.readline()
    finally:
        writer.close()


ENTRY = 'r1c1-e1'
ENTRY_KINDS = (
    'heads of short lines',
    'heads of odd lines',
    'heads without end',
    'bursts of small requests',
    'uploads without end',
    'slow uploads',
    'bodies in small chunks',
    'idle connections',
)


def _ask_entry(deployment):
    """Return the status of a read, sent again after refusals."""
    host = deployment.cfg.entry_hosts()[ENTRY][1]
    req = urllib.request.Request(
        f'http://{host.address}:{host.port}/items/1',
        headers={'Ebonypick-Service': 'evidence'},
    )
    end = time.monotonic() + CALLER_PATIENCE_S
    while True:
        try:
            with urllib.request.urlopen(
                req, timeout=CALLER_PATIENCE_S
            ) as resp:
                return resp.status
        except urllib.error.HTTPError as exc:
            status = exc.code
        except OSError:
            status = 0
        if time.monotonic() > end:
            return status
        time.sleep(0.1)


@pytest.fixture(params=[MAX_FDS])
def small_entry(deployment, request):
    """Yield the deployment with one small entry host."""
    settings = {**SETTINGS, 'max_fds': request.param}
    deployment.kill(ENTRY)
    deployment.start_entry(ENTRY, in_flight_most=100, **settings)
    deployment.wait_ready()
    for name, (service, _) in deployment.backend_rows().items():
        if service == 'registry':
            deployment.backend_faults(name, hang=HANGS)
    yield deployment
    deployment.kill(ENTRY)
    deployment.restore()


@pytest.mark.parametrize('kind', ENTRY_KINDS)
def test_a_crowd_at_an_entry_host_leaves_room_for_others(small_entry, kind):
    """Guards the hosts of the own interface against the same clients."""
    _check_entry(small_entry, kind, MAX_FDS)


@pytest.mark.parametrize('small_entry', [MANY_FDS], indirect=True)
@pytest.mark.parametrize('kind', ('slow uploads', 'uploads without end'))
def test_uploads_at_an_entry_host_take_no_place_from_others(small_entry, kind):
    """A body that is not there yet does not count as a request in flight.

    All connections of the crowd are admitted, more than may be in flight.
    """
    _check_entry(small_entry, kind, MANY_FDS)


def _check_entry(small_entry, kind, max_fds):
    """Check a crowd at the small entry host."""
    process = small_entry.processes[ENTRY]
    host = small_entry.cfg.entry_hosts()[ENTRY][1]
    crowd = crowds.crowds.get(kind)()

    async def play():
        loop = asyncio.get_running_loop()
        async with crowds.OpenCrowd(crowd, (host.address, host.port)):
            fds = _open_fds(process)
            during = await loop.run_in_executor(None, _ask_entry, small_entry)
            return max(fds, _open_fds(process)), during

    fds, during = asyncio.run(play())
    after = _ask_entry(small_entry)
    peak_kb = _status(process, 'VmHWM')
    print(f'{kind}: {peak_kb} kB, {fds} descriptors, {during}, {after}')
    assert process.poll() is None
    assert peak_kb < MEMORY_MB * 1000
    assert fds < max_fds
    assert (during, after) == (200, 200)

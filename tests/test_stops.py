"""Tests of planned stops of entry hosts and drains of backend servers."""

import asyncio
import signal
import socket
import time
import types

import pytest_bdd

from ebonypick import registry
from standins import history
from standins import launch
from tests import world

SEED = 21
HOST_LIST_LAG_S = 1.0
LATE_REQUEST = (
    b'POST /actions/late HTTP/1.1\r\nHost: any\r\n'
    b'Ebonypick-Service: registry\r\nContent-Length: 4\r\n\r\nlate'
)
# Twice the time that a planned stop takes at most.
LONG_DEADLINE = b'Ebonypick-Deadline-Ms: 240000\r\n'

pytest_bdd.scenarios('features/stops.feature')
sources = registry.Registry('source')


@pytest_bdd.when(
    pytest_bdd.parsers.parse('callers send while {count:d} entry hosts stop'),
    target_fixture='result',
)
def stop_entries(deployment, count):
    """Send SIGTERM to entry hosts with uploads in flight."""
    names = list(deployment.cfg.entry_hosts())[:count]

    async def disturb():
        await asyncio.sleep(1.5)
        for name in names:
            deployment.signal(name, signal.SIGTERM)

    result = world.run_under_load(deployment, disturb, 6.0, SEED)
    result.stopped = names
    return result


@pytest_bdd.when(
    'an action comes late on a connection that was open before a stop',
    target_fixture='result',
)
def send_late(deployment, raw=LATE_REQUEST):
    """Connect, wait until the host stops listening, and send the request."""
    name = list(deployment.cfg.entry_hosts())[0]
    _, host = deployment.cfg.entry_hosts()[name]
    address = host.address, host.port
    with socket.create_connection(address) as conn:
        deployment.signal(name, signal.SIGTERM)
        launch.wait_until(
            lambda: _refuses_connections(address), f'{name} to stop listening'
        )
        conn.settimeout(10)
        conn.sendall(raw)
        answer = b''
        while part := conn.recv(65_536):
            answer += part
    return types.SimpleNamespace(stopped=[name], answer=answer)


@pytest_bdd.when(
    'an action comes late that may outlast the stop',
    target_fixture='result',
)
def send_late_and_long(deployment):
    """Do the same with a request whose deadline is after the stop's end."""
    raw = LATE_REQUEST.replace(b'Content', LONG_DEADLINE + b'Content')
    return send_late(deployment, raw)


@pytest_bdd.then('the action is refused')
def check_refused(result):
    """Guards against actions that a planned stop cuts off without answer."""
    head = result.answer.partition(b'\r\n\r\n')[0].lower()
    assert head.startswith(b'http/1.1 503')
    assert b'ebonypick-outcome: not-run' in head


def _refuses_connections(address):
    try:
        socket.create_connection(address, timeout=1.0).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest_bdd.then('the action is done')
def check_late(result):
    """Check that a backend server's answer arrives before the close."""
    head = result.answer.partition(b'\r\n\r\n')[0].lower()
    assert head.startswith(b'http/1.1 200')
    assert b'ebonypick-outcome: done' in head


@pytest_bdd.then('the entry hosts have ended by themselves')
def check_ended(deployment, result):
    """Check for exit code 0 and no requests in flight at the end."""
    for name in result.stopped:
        assert deployment.processes[name].wait(15) == 0
        log = (deployment.folder / f'{name}.log').read_text()
        assert '"in_flight":0' in log.splitlines()[-1]


@sources.register('the server')
def drain_at_server(deployment, name):
    """Drain the backend server itself, which reports that it leaves."""
    launch.fetch(f'{deployment.backend_url(name)}/_control/drain', {})
    return time.time()


@sources.register('the host list')
def drain_in_host_list(deployment, name):
    """Mark the server as leaving in the platform's list, which lags."""
    url = f'{deployment.platform_url}/_control/hosts'
    launch.fetch(url, {name: 'leaving'})
    return time.time() + HOST_LIST_LAG_S


@sources.register('the operator')
def drain_by_operator(deployment, name):
    """Drain the server by a submitted configuration."""

    def change(base):
        base['drains'] = {'backend_servers': [name]}

    bundle = deployment.change_base(change)
    deployment.submit(bundle, deployment.newest())
    return time.time()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'callers send while {source} says that a backend server leaves'
    ),
    target_fixture='result',
)
def leave(deployment, source):
    """Announce the drain through one source only, under load."""
    # Each source drains a different server, as drained ones do not return.
    index = sources.names().index(source)
    name = list(deployment.backend_rows())[index]
    announced = {}

    async def disturb():
        await asyncio.sleep(1.5)
        announce = sources.get(source)
        announced[name] = await world.in_thread(announce, deployment, name)

    result = world.run_under_load(deployment, disturb, 6.0, SEED)
    result.announced = announced
    return result


@pytest_bdd.then('it starts no request after 2 seconds')
def check_leaving(deployment, result):
    """Compare the server's runs with the time of the announcement."""
    (name,) = result.announced
    before = [run for run in result.runs if run.server == name]
    assert before
    assert history.check_leaving(result.announced, result.runs) == []
    deployment.kill(name)
    url = f'{deployment.platform_url}/_control/hosts'
    launch.fetch(url, {name: 'live'})

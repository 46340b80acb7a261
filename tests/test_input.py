"""Tests of invalid input, limits and access to control interfaces."""

import json
import socket
import subprocess
import sys
import time

import pytest

from tests import world

HOST = 'r1c1-e1'
TIMEOUT_S = 10.0


def exchange(deployment, *parts, source='127.0.0.1', pause_s=0.0):
    """Send raw bytes to an entry host and return all bytes it answers."""
    host = deployment.cfg.entry_hosts()[HOST][1]
    with socket.create_connection(
        (host.address, host.port), TIMEOUT_S, (source, 0)
    ) as conn:
        for part in parts:
            conn.sendall(part)
            time.sleep(pause_s)
        found = b''
        conn.settimeout(TIMEOUT_S)
        while part := conn.recv(65_536):
            found += part
    return found


def request(path='/items/1', method='GET', body=b'', **headers):
    """Return the bytes of a request with given headers."""
    rows = {
        'Host': 'x',
        'Connection': 'close',
        'Ebonypick-Service': 'registry',
    }
    rows.update({k.replace('_', '-'): v for k, v in headers.items()})
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{k}: {v}' for k, v in rows.items() if v is not None]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def parse(answer):
    """Return the status, headers and problem document of an answer."""
    head, _, body = answer.partition(b'\r\n\r\n')
    first, *lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    return int(first.split()[1]), headers, json.loads(body)


@pytest.mark.parametrize(
    ('raw', 'status', 'code'),
    [
        (request(Ebonypick_Service='rostr'), 404, 'EP2001'),
        (request(Ebonypick_Deadline_Ms='soon'), 400, 'EP2002'),
        (request(Ebonypick_Deadline_Ms='0'), 400, 'EP2002'),
        (request(Ebonypick_Deadline_Ms='9' * 30), 400, 'EP2002'),
        (request(method='POST', Idempotency_Key='a b'), 400, 'EP2003'),
        (request(method='POST', Idempotency_Key='k' * 201), 400, 'EP2003'),
        (request(method='POST', Idempotency_Key='mine'), 400, 'EP2003'),
        (request(path='/' + 'x' * 9000), 431, 'EP2005'),
        (request(X_Long='x' * 20_000), 431, 'EP2005'),
        (
            request(method='POST', Content_Length=str(1 << 31)),
            413,
            'EP2006',
        ),
        (request(path='/nowhere', Ebonypick_Service=None), 404, 'EP2009'),
        (request(method='BREW'), 405, 'EP2011'),
        (b'nonsense\r\n\r\n', 400, 'EP2000'),
        (request(method='POST', Content_Length='ten'), 400, 'EP2000'),
    ],
)
def test_bad_input_gets_a_typed_error(deployment, raw, status, code):
    """Each error has a code and a remedy and is reported as not run."""
    found, headers, body = parse(exchange(deployment, raw))
    assert (found, body['code']) == (status, code)
    assert body['remedy']
    assert headers['ebonypick-outcome'] == 'not-run'
    assert headers['content-type'].startswith('application/problem+json')


def test_more_bytes_than_announced_are_no_part_of_the_request(deployment):
    """Bytes after the announced body are rejected as a separate request."""
    raw = request(method='POST', Content_Length='2', Connection=None)
    found = exchange(deployment, raw + b'okGARBAGE\r\n\r\n')
    assert found.count(b'HTTP/1.1 ') == 2
    assert b'200 OK' in found
    assert b'EP2000' in found


def test_fewer_bytes_than_announced_reach_no_backend_server(deployment):
    """An incomplete request body is never forwarded."""
    mark = f'short-{time.time_ns()}'
    raw = request(f'/a/{mark}', 'POST', Content_Length='50')
    host = deployment.cfg.entry_hosts()[HOST][1]
    with socket.create_connection((host.address, host.port)) as conn:
        conn.sendall(raw + b'half')
    time.sleep(0.5)
    assert not [r for r in deployment.runs() if r.target.endswith(mark)]


def test_slow_sender_holds_no_slot(deployment):
    """A request takes no slot while its body is incomplete."""
    raw = request('/a/slow', 'POST', Content_Length='50')
    host = deployment.cfg.entry_hosts()[HOST][1]
    with socket.create_connection((host.address, host.port)) as conn:
        conn.sendall(raw + b'half')
        time.sleep(0.5)
        state = deployment.status(HOST)
        load = state['services']['registry']['load']
        assert state['in_flight'] == 1
        assert load['free'] == load['capacity']
        conn.settimeout(TIMEOUT_S)
        answer = conn.recv(65_536)
    status, headers, body = parse(answer)
    assert (status, body['code']) == (408, 'EP2007')
    assert headers['ebonypick-outcome'] == 'not-run'


def test_an_answer_that_stalls_ends_at_the_deadline(deployment):
    """Guards against requests that wait for the rest of an answer forever."""
    for name in deployment.backend_rows():
        deployment.backend_faults(name, stall=1)
    raw = request('/items/stalled', 'POST', Ebonypick_Deadline_Ms='1000')
    started_at = time.monotonic()
    status, headers, _ = parse(exchange(deployment, raw))
    assert status in (502, 504)
    assert headers['ebonypick-outcome'] == 'unknown'
    assert time.monotonic() - started_at < 2.0


@pytest.mark.parametrize('path', ['/v1/status', '/metrics', '/peer/v1/config'])
def test_control_interfaces_are_for_allowed_networks(deployment, path):
    """Addresses outside the control networks receive 403."""
    raw = request(path, Ebonypick_Service=None)
    status, _, body = parse(exchange(deployment, raw, source='127.190.1.9'))
    assert (status, body['code']) == (403, 'EP2008')
    found = exchange(deployment, raw, source='127.0.0.1')
    assert b' 403 ' not in found.splitlines()[0]


def test_only_entry_hosts_may_pass_requests_on(deployment):
    """A caller cannot claim that its request was already routed."""
    raw = request(Ebonypick_Hop='r2c1-e1')
    status, _, body = parse(exchange(deployment, raw))
    assert (status, body['code']) == (403, 'EP2008')


def test_look_up_names_hosts_of_the_callers_region_first(deployment):
    """Check the order and the fields of the answer."""
    raw = request(
        '/v1/entry-hosts?service=registry&client=127.190.2.9',
        Ebonypick_Service=None,
    )
    _, _, body = parse(exchange(deployment, raw))
    names = [item['name'] for item in body['entry_hosts']]
    assert [name[:2] for name in names] == ['r2', 'r2', 'r1', 'r1']
    assert body['config_version'] >= 1
    assert body['ttl_ms'] == 500
    assert {'name', 'address', 'port', 'weight'} <= set(body['entry_hosts'][0])


@pytest.mark.parametrize(
    'query',
    ['service=registry&client=nobody', 'service=nope', ''],
)
def test_bad_look_ups_are_refused(deployment, query):
    """An invalid look-up is answered with an error code."""
    raw = request(f'/v1/entry-hosts?{query}', Ebonypick_Service=None)
    status, _, body = parse(exchange(deployment, raw))
    assert status in (400, 404)
    assert body['code'].startswith('EP2')


def _start_with(settings, tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(settings)
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'ebonypick.entry',
            f'--settings={path}',
            '--log=none',
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )


SETTINGS = {
    'host': 'x',
    'data_centre': 'c',
    'region': 'r',
    'address': '127.90.1.1',
    'port': 8400,
    'platform': {'address': world.PLATFORM, 'port': 8300},
}


@pytest.mark.parametrize(
    ('change', 'words'),
    [
        ({'prot': 1}, "did you mean 'port'"),
        ({'port': 70_000}, 'found 70000'),
        ({'control_networks': ['here']}, 'control_networks'),
        ({}, 'EP3003'),
    ],
)
def test_bad_settings_end_with_a_message(deployment, tmp_path, change, words):
    """Cases: unknown key, bad port, bad network list, port in use."""
    done = _start_with(json.dumps({**SETTINGS, **change}), tmp_path)
    assert done.returncode == 2
    assert words in done.stderr
    assert 'Traceback' not in done.stderr

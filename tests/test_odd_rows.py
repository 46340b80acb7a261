"""Tests of odd rows that another writer leaves in the store's tables.

A row that cannot be used names no server, version or host; all other rows
hold, for hosts that follow the table and for hosts that read it whole.
"""

import asyncio
import signal
import time

import pytest

from ebonypick import events
from tests import steering_calls
from tests import steering_world

SEED = 149
FOLLOWED_S = 2.0
DEPTH = 50_000
DEEP = b'[' * DEPTH + b']' * DEPTH
HUGE = b'9' * 400
SERVER = (
    b'{"address":"%b","info":{"service":"registry","zone":"a-1",'
    b'"slots":%b},"status":{"state":"ready","sequence":%b,'
    b'"warmupLeft":"%b"},"born":%b,"more":%b}'
)
GOOD = {
    'address': b'127.0.0.1:9',
    'slots': b'3',
    'sequence': b'1',
    'warmup': b'0s',
    'born': b'1',
    'more': b'0',
}


def _server(**odd):
    return SERVER % tuple({**GOOD, **odd}.values())


HOST = (
    b'{"callers":"%b","peers":"%b","relays":"%b","data_centre":"a-1",'
    b'"started_ms":%b,"capacity":%b}'
)
GOOD_HOST = {
    'callers': b'127.0.0.1:9',
    'peers': b'127.0.0.1:9',
    'relays': b'127.0.0.1:9',
    'started': b'1',
    'capacity': b'100.0',
}


def _host(**odd):
    return HOST % tuple({**GOOD_HOST, **odd}.values())


# Rows by table and kind.
ODD_ROWS = {
    'servers': {
        'nested': _server(more=DEEP),
        'slots': _server(slots=HUGE),
        'many slots': _server(slots=b'9' * 15),
        'sequence': _server(sequence=HUGE),
        'start': _server(born=HUGE),
        'warm-up': _server(warmup=HUGE + b's'),
        'port': _server(address=b'127.0.0.1:65536'),
        'address': _server(address=b'a\\u0000b:80'),
        'long name': _server(address=b'a' * 300 + b':80'),
        'dots': _server(address=b'...:80'),
        'bytes': b'\xff\x00',
    },
    'op': {
        'nested': b'{"more":' + DEEP + b',"version":9}',
        'version': b'{"version":%b,"hosts":[]}' % HUGE,
    },
    'ebonypick-hosts': {
        'nested': b'{"more":' + DEEP + b'}',
        'start': _host(started=HUGE),
        'capacity': _host(capacity=b'1e308'),
        'port': _host(peers=b'127.0.0.1:65536'),
        'relays': _host(relays=b'127.0.0.1:65536'),
        'callers': _host(callers=b'a\\u0000b:80'),
    },
}


async def _until_known(world, instance):
    """Wait until all hosts have registered a backend server."""
    left = set(world.processes)
    end = time.monotonic() + FOLLOWED_S
    while left and time.monotonic() < end:
        await asyncio.sleep(0.1)
        left -= {
            name
            for name in left
            for line in world.log_lines(name)
            if line['message_type'] == events.BACKENDS_CHANGED.code
            and instance in line['added']
        }
    return left


def _put_odd_row(world, table, kind):
    """Leave an odd row beside the others, or as the configuration."""
    key = 'config' if table == 'op' else f'odd {kind}'
    world.store.put(table, key, ODD_ROWS[table][kind])


async def _play_each(world, table):
    """Leave one odd row after the other; return the hosts left behind."""
    behind = {}
    for kind in ODD_ROWS[table]:
        _put_odd_row(world, table, kind)
        await asyncio.sleep(0.5)
        added = await world.add_upstream('registry', 'a-1')
        behind[kind] = await _until_known(world, added.instance)
        await world.load(0.5, 60.0)
    return behind


async def _restart_a_host(world):
    first = sorted(world.processes)[0]
    await world.end_host(first, signal.SIGKILL)
    await world.start_host(first, 'a-1')
    await world.ready(first)


@pytest.mark.parametrize('table', ODD_ROWS)
def test_an_odd_row_costs_no_more_than_that_row(tmp_path, table):
    async def play(world, session):
        behind = await _play_each(world, table)
        if table == 'op':
            world.store.put('op', 'config', steering_world.make_config(2))
        await _restart_a_host(world)
        await world.load(1.0, 60.0)
        return world, behind

    world, behind = steering_world.run_scene(
        tmp_path, SEED, play, hosts=2, servers=3
    )
    assert behind == dict.fromkeys(ODD_ROWS[table], set())
    failed = [
        line
        for name in world.names()
        for line in world.log_lines(name)
        if line['message_type'] == events.TASK_FAILED.code
    ]
    assert failed == []
    assert [c for c in world.calls if c.status != 200] == []
    assert steering_calls.violations(world) == []

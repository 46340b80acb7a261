"""Generated odd values in all that other processes write.

Load: another writer leaves rows that are nested deeply, or hold numbers, ports
and times out of range. What is accepted must be usable: requests are placed
with it, and it is sent on to other hosts.
"""

import asyncio
import copy
import json
import random

import hypothesis
from hypothesis import strategies
import msgspec
import multidict
import pytest

from ebonypick import connection
from ebonypick import errors
from ebonypick import json_text
from ebonypick import platform
from ebonypick.process import _gossip_messages
from ebonypick.process import _peer_directory
from ebonypick.process import _row_broadcast
from ebonypick.process import _row_messages
from ebonypick import request

REGIONS = {'n-a': 'n', 'n-b': 'n'}
ENTRY = {
    'address': '10.0.0.9:8080',
    'info': {'service': 's', 'version': 'v1', 'zone': 'n-a', 'slots': 3},
    'status': {'state': 'ready', 'sequence': 4, 'warmupLeft': '0s'},
    'born': 1_700_000_000_123,
}
CONFIG = {
    'version': 7,
    'services': [{'name': 's', 'warmup': '3s', 'warmupPerS': 2.4}],
    'limits': {'idleTimeout': '15s', 'maxBodyBytes': 100},
    'hosts': [
        {
            'host': 'a.example',
            'paths': [
                {
                    'name': 'r',
                    'prefix': '/a/',
                    'kind': 'safe',
                    'timeout': '2s',
                    'targetLatency': '1s',
                    'maxAttempts': 2,
                    'priority': 1,
                    'backends': [{'service': 's', 'weight': 1}],
                }
            ],
        }
    ],
}
HOST = {
    'callers': '10.0.0.1:80',
    'peers': '10.0.0.1:81',
    'relays': '10.0.0.1:82',
    'data_centre': 'n-a',
    'started_ms': 5,
    'capacity': 100.0,
}
RECORD = ['h', 5, 6, False, {'s': [1, 2, 3]}, False]
GOSSIP = [
    'h',
    'n-a',
    7,
    1.5,
    [RECORD],
    [['n-b', 'k', 5, 6, ['l'], [], {}, ['k']]],
    {'op': [0, 4]},
    [['i-1', 5, 1, 2.0]],
    [['d', 1, ['i-1/5']]],
    [9, 5, [[0, -1, 6, 2, 1]], [[1, 3, 6, 2, 4, [[0, 4, 25]]]]],
]
ROWS = ['servers', [0, 1], [0, 2], [['k', [0, 2], 'e30=']], [], []]
DEEP = object()
ODD = (
    DEEP,
    None,
    True,
    -1,
    0.5,
    10**30,
    10**400,
    1e308,
    -1e308,
    2**53,
    2**63,
    2**64,
    '',
    '9' * 400,
    '9' * 400 + 's',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:٣',
    'a\0b:80',
    'host.example:80',
    [],
    {},
    [[]],
)


def _places(value, path=()):
    """Return the paths of all parts of a JSON value."""
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    else:
        parts = ()
    found = [path] if path else []
    for key, part in parts:
        found += _places(part, (*path, key))
    return found


def _encode(value):
    nested = b'[' * 20_000 + b']' * 20_000
    text = json.dumps(value, default=lambda odd: 'DEEP').encode()
    return text.replace(b'"DEEP"', nested)


@strategies.composite
def _spoilt(draw, value):
    """Draw the JSON of a value, some parts of which are odd."""
    value = copy.deepcopy(value)
    for path in draw(
        strategies.lists(
            strategies.sampled_from(_places(value)), min_size=1, max_size=3
        )
    ):
        place = value
        try:
            for key in path[:-1]:
                place = place[key]
            place[path[-1]] = draw(strategies.sampled_from(ODD))
        except (TypeError, KeyError, IndexError):
            # An earlier odd part replaced the place.
            continue
    if isinstance(value, dict) and draw(strategies.booleans()):
        value['more'] = DEEP
    return _encode(value)


@hypothesis.given(_spoilt(ENTRY))
def test_requests_are_placed_whatever_a_server_s_row_holds(data):
    try:
        odd = platform.decode_server('odd', data)
    except errors.InvalidValueError:
        return
    fleet = request.Fleet('h', 'n-a', REGIONS, random.Random(1))
    fleet.set_hosts({'n-a': ('h',)})
    good = [
        request.ServerEntry(f'i-{n}', 's', ('10.0.0.1', 80 + n), 'n-b', 3)
        for n in range(4)
    ]
    fleet.update([odd, *good], 0.0)
    for key in range(20):
        ask = request.Ask('s', str(key), frozenset(), 1, 1.0)
        assert isinstance(fleet.choose(ask, 0.1), request.Chosen)
    limit = (odd.instance, odd.started_ms, 1, 2.0)
    json_text.decode(msgspec.json.encode(limit), _gossip_messages.LimitRecord)


@hypothesis.given(_spoilt(CONFIG))
def test_a_configuration_is_decoded_or_rejected(data):
    try:
        cfg = platform.decode_config(data)
    except errors.InvalidValueError:
        return
    for route in cfg.routes:
        turns = request.WeightedRoundRobin()
        assert turns.take(route.shares)
    msgspec.json.encode(cfg.number)


@hypothesis.given(_spoilt(HOST))
def test_a_host_s_row_is_used_or_skipped(data):
    for row in _peer_directory.decode_rows({'h': data}).values():
        hosts = {'n-a': {'h': row.capacity, 'other': 100.0}}
        request.serving_hosts(hosts, REGIONS)


@pytest.mark.parametrize(
    ('kind', 'value'),
    [
        (_gossip_messages.Message, GOSSIP),
        (_row_messages.PeerRows, ROWS),
        (_row_broadcast.Told, ['h', ROWS, ['k']]),
        (_row_broadcast.ToldLeaving, ['h', 'i-1', 5, ['k']]),
    ],
)
def test_a_message_of_a_host_can_be_sent_on_or_is_rejected(kind, value):
    assert json_text.decode(_encode(value), kind)

    @hypothesis.given(_spoilt(value))
    def check(data):
        try:
            message = json_text.decode(data, kind)
        except msgspec.MsgspecError:
            return
        msgspec.json.encode(message)

    check()


class _Req:
    def __init__(self, *rows):
        self.headers = multidict.CIMultiDict(rows)


NUMBERS = strategies.sampled_from(
    ['9' * 5_000, '1e400', 'nan', '-1', '٣', '1,2', '9' * 5_000 + ',1,3']
)


@hypothesis.given(NUMBERS)
def test_odd_numbers_in_headers_count_as_missing_or_finite(text):
    names = ('server-load', 'retry-after', 'server-limit', 'warmup-ms')
    head = platform.answer_head(503, dict.fromkeys(names, text))
    for value in (head.hold_off_s, head.warmup_left_s, head.limit_per_s):
        assert value is None or 0.0 <= value < 1e15
    head = platform.caller_request(_Req(('deadline-ms', text)))
    assert head.deadline_s is None or head.deadline_s < 1e15


def _read_rows(answer):
    """Return the rows that a client reads from an answer of the store."""

    async def handle(req):
        await req.respond(200, [], answer)

    async def run():
        async with connection.make_caller_server(
            'http', '127.0.0.1', 0, handle
        ) as server:
            async with connection.make_platform(
                'table', '127.0.0.1', server.port
            ) as client:
                state = await client.read_table('servers')
                return [row.key for row in state.rows]

    return asyncio.run(run())


@pytest.mark.parametrize('odd', range(len(ODD)))
def test_an_odd_row_in_an_answer_of_the_store_costs_no_other(odd):
    row = {'key': 'odd', 'value': 'e30=', 'ver': ODD[odd]}
    good = {'key': 'good', 'value': 'e30=', 'ver': 2}
    answer = _encode({'rows': [row, good], 'ver': 3})
    if ODD[odd] is DEEP:
        # JSON that cannot be read to its end is no answer.
        with pytest.raises(errors.PlatformError):
            _read_rows(answer)
    else:
        assert _read_rows(answer)[-1] == 'good'

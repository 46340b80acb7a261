"""Arbitrary data as peer messages, rows, settings and log lines."""

import asyncio
import json
import os
import random
import types

import hypothesis
from hypothesis import strategies
import pytest

from ebonypick import connection
from ebonypick import endpoints
from ebonypick import errors
from ebonypick.process import _crash_reports
from ebonypick.process import _gossip
from ebonypick.process import _log_sink
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _peer_directory
from ebonypick.process import _row_broadcast
from ebonypick.process import _steering_control
from ebonypick.process import _steering_settings
from ebonypick.process import _substitutes
from ebonypick.process import _table_follower

# JSON values of every type, nested in any way.
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=8),
        strategies.sampled_from(['h', 'dc', 't', 'servers', 'op']),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=8),
        strategies.dictionaries(strategies.text(max_size=4), inner),
    ),
    max_leaves=20,
)
MESSAGES = strategies.one_of(
    strategies.binary(max_size=100),
    VALUES.map(lambda value: json.dumps(value).encode()),
)


def _gossip_task(data):
    board = types.SimpleNamespace(
        number=1, view=None, platform_now=lambda: None, publish=lambda **_: 0
    )
    node = types.SimpleNamespace(
        board=board,
        table_revisions=dict,
        receive_version=lambda *_: None,
        receive_revisions=lambda *_: None,
        receive_platform_time=lambda *_: None,
        receive_limits=lambda *_: None,
        receive_cut_off=lambda host: None,
        limits_to_send=lambda count: (),
        metrics=_metrics.Metrics(),
        crashes=_crash_reports.NoCrashReports(),
    )
    membership = _membership.Membership('h', 'dc', 1, random.Random(1))
    return _gossip.GossipTask(node, membership).receive(data)


def _broadcaster(follower):
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(host='h'),
        store_view=types.SimpleNamespace(receive_leaving=lambda *_: None),
        connections=types.SimpleNamespace(peer=lambda _: None, rows={}),
        tasks=types.SimpleNamespace(start=lambda coro: coro.close()),
    )
    return _row_broadcast.Broadcaster(node, {'t': follower})


class _Req:
    """A request of another host with a given body."""

    def __init__(self, method, path, data, query, headers):
        self.method, self.path, self.query = method, path, query
        self.client = '127.0.0.1'
        self.headers = headers
        self._parts = [data, None]
        self.status = 0

    async def read(self, timeout_s):
        return self._parts.pop(0)

    def retain(self, size):
        """Ignore how much the handler keeps."""

    async def respond(self, status, headers, body=b''):
        self.status = status


@hypothesis.given(
    strategies.sampled_from(
        [
            ('POST', '/peer/v1/gossip'),
            ('POST', '/peer/v1/rows'),
            ('GET', '/peer/v1/rows'),
            ('POST', '/peer/v1/leaving'),
            ('POST', _substitutes.PATH),
        ]
    ),
    MESSAGES,
    strategies.dictionaries(
        strategies.sampled_from(['table', 'after']),
        strategies.one_of(strategies.text(max_size=5), strategies.just('t')),
    ),
    strategies.sampled_from(['plain', 'compressed', 'said to be compressed']),
)
def test_a_peer_message_is_applied_or_rejected(place, data, query, form):
    rows = []
    follower = _table_follower.TableFollower(
        None, 't', rows.append, lambda: ()
    )
    node = types.SimpleNamespace(
        gossip=types.SimpleNamespace(receive=_gossip_task),
        roster=types.SimpleNamespace(reads_store=lambda: True),
    )
    broadcaster = _broadcaster(follower)
    node.store_view = types.SimpleNamespace(
        broadcaster=broadcaster,
        followers={'t': follower},
        substitutes=_substitutes.Substitutes(
            node, None, {'t': follower, 'op': follower}, broadcaster
        ),
    )
    headers = {}
    if form != 'plain':
        headers = {'content-encoding': 'deflate', 'accept-encoding': 'deflate'}
    if form == 'compressed':
        data = connection.coding.compress(data)
    req = _Req(*place, data, query, headers)
    try:
        asyncio.run(_steering_control.Control(node).serve_peer(req))
    except errors.RequestError as exc:
        assert exc.status == 400


@hypothesis.given(strategies.dictionaries(strategies.text(), MESSAGES))
def test_unreadable_host_rows_are_skipped(values):
    for row in _peer_directory.decode_rows(values).values():
        assert endpoints.parse_endpoint(row.peers)
        assert endpoints.parse_endpoint(row.callers)


@hypothesis.given(MESSAGES)
def test_settings_are_loaded_or_rejected_with_a_remedy(data):
    path = f'/tmp/ebonypick-settings-{os.getpid()}.json'
    with open(path, 'wb') as file:
        file.write(data)
    with pytest.raises(errors.EbonypickError) as caught:
        _steering_settings.load_steering_settings(path)
    os.unlink(path)
    assert caught.value.advice


@pytest.mark.parametrize('text', ['a\udcff', '\ud800', 'ordinary'])
def test_a_line_with_surrogates_does_not_end_the_log(text):
    reader, writer = os.pipe()
    with _log_sink.LogSink(writer) as sink:
        sink({'n': 1})
        sink({'n': 2, 'req': text})
        sink({'n': 3})
    os.close(writer)
    with open(reader, 'rb') as file:
        lines = [json.loads(line) for line in file]
    assert [line['n'] for line in lines] == [1, 2, 3]
    assert lines[1]['req'] == text


SETTINGS = {
    'host': 'h',
    'data_centre': 'dc',
    'region': 'r',
    'address': '127.0.0.1',
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'lookups': '127.0.0.1:3',
    'peer_ports': [4, 5],
    'data_centres': {'dc': 'r'},
    'store': '127.0.0.1:6',
}


@pytest.mark.parametrize(
    'changes',
    [
        {'callers': '127.0.0.1:65536'},
        {'store': '127.0.0.256:6'},
        {'lookups': '127.0.0.1:0'},
        {'peer_ports': [4, 4]},
        {'peer_ports': [5, 4]},
    ],
)
def test_settings_out_of_range_are_rejected_by_name(tmp_path, changes):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(SETTINGS))
    assert _steering_settings.load_steering_settings(str(path))
    path.write_text(json.dumps({**SETTINGS, **changes}))
    with pytest.raises(errors.ConfigError) as caught:
        _steering_settings.load_steering_settings(str(path))
    assert next(iter(changes)) in str(caught.value)

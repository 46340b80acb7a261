"""Decoding of the rows and headers of the platform into our types."""

import json

import hypothesis
from hypothesis import strategies
import multidict
import pytest

from ebonypick import errors
from ebonypick import platform
from ebonypick import request
from ebonypick import version

PATH = {
    'name': 'r-1',
    'prefix': '/certs/',
    'kind': 'safe',
    'timeout': '1500ms',
    'targetLatency': '600ms',
    'priority': 2,
    'backends': [
        {'service': 'registry', 'weight': 90},
        {'service': 'other', 'weight': 10},
    ],
    'maxAttempts': 2,
    'sessionAffinity': True,
    'allowedRegions': ['north'],
}
ENTRY = {
    'address': '10.0.0.9:8080',
    'info': {
        'service': 'registry',
        'version': 'v1',
        'zone': 'n-a',
        'slots': 3,
    },
    'status': {'state': 'ready', 'sequence': 4, 'warmupLeft': '1.5s'},
    'born': 1_700_000_000_123,
    'unheard': True,
}


def _config(path=None, **changes):
    return json.dumps(
        {
            'version': 7,
            'services': [
                {'name': 'registry', 'warmup': '3s', 'warmupPerS': 2.4}
            ],
            'limits': {'idleTimeout': '15000ms'},
            'hosts': [{'host': 'A.example', 'paths': [path or PATH]}],
            **changes,
        }
    ).encode()


def test_a_configuration_is_decoded_with_units():
    cfg = platform.decode_config(_config())
    route = cfg.find('a.example', '/certs/4')
    assert (cfg.number, route.timeout_s, route.objective_s) == (7, 1.5, 0.6)
    assert route.kind is version.RequestKind.SAFE
    assert route.shares[1] == version.ServiceShare('other', 10)
    assert route.regions == {'north'}
    assert cfg.service('registry').warmup_per_s == 2.4
    assert cfg.limits.idle_s == 15.0


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('kind', 'sometimes'),
        ('timeout', '15 minutes'),
        ('timeout', 4),
        ('prefix', 'certs'),
        ('backends', []),
    ],
)
def test_an_invalid_route_is_rejected_with_a_remedy(field, value):
    path = {**PATH, field: value}
    with pytest.raises(errors.InvalidValueError) as caught:
        platform.decode_config(_config(path))
    text = str(caught.value)
    assert 'expected' in text
    assert caught.value.advice


def test_a_server_entry_is_decoded():
    found = platform.decode_server('i-1', json.dumps(ENTRY).encode())
    assert found == request.ServerEntry(
        'i-1',
        'registry',
        ('10.0.0.9', 8080),
        'n-a',
        3,
        False,
        1.5,
        1_700_000_000_123,
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'address': 'nowhere'},
        {'address': '10.0.0.9:99999'},
        {'address': 7},
        {'info': {}},
        {'info': {**ENTRY['info'], 'slots': 0}},
        {'info': {**ENTRY['info'], 'slots': '3'}},
        {'status': {'state': 'unheard-of'}},
        {'status': {'state': 'ready', 'warmupLeft': 'soon'}},
        {'born': 'yesterday'},
        {'born': None},
    ],
)
def test_an_invalid_server_entry_is_rejected(changes):
    data = json.dumps({**ENTRY, **changes}).encode()
    with pytest.raises(errors.InvalidValueError):
        platform.decode_server('i-1', data)


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_a_typed_error(data):
    for decode in (
        platform.decode_config,
        lambda data: platform.decode_server('x', data),
    ):
        with pytest.raises(errors.InvalidValueError):
            decode(data)


class _Req:
    """A caller's request that has headers only."""

    def __init__(self, *rows):
        self.headers = multidict.CIMultiDict(rows)


def test_headers_of_a_caller_are_decoded():
    found = platform.caller_request(
        _Req(
            ('Host', 'a.example'),
            ('Attempt-Id', '9c41'),
            ('Cookie', 'other=1; Affinity-Key=17'),
            ('Deadline-Ms', '2500'),
        )
    )
    assert found == request.CallerHead('9c41', 'a.example', 2.5, '17')


def test_long_object_keys_are_short_and_differ():
    """A host remembers thousands of keys, which callers choose."""
    longs = ['k' * 15_000 + end for end in ('1', '2', '\udcff')]
    keys = [
        platform.caller_request(
            _Req(('Cookie', f'Affinity-Key={long}'))
        ).object_key
        for long in longs * 2
    ]
    assert max(map(len, keys)) <= 64
    assert len(set(keys)) == 3 and keys[:3] == keys[3:]


def test_an_unreadable_deadline_is_ignored():
    found = platform.caller_request(_Req(('Deadline-Ms', '-4')))
    assert found == request.CallerHead(None, '', None, None)


def test_hop_by_hop_headers_are_not_forwarded():
    rows = platform.forward_head(
        _Req(
            ('Host', 'a.example'),
            ('Attempt-Id', '9c41'),
            ('Connection', 'keep-alive, x-hop'),
            ('X-Hop', '1'),
            ('X-End', '2'),
            ('Deadline-Ms', '2500'),
            ('Expect-Instance', 'forged'),
        ),
        'i-1',
        1.2,
    )
    names = dict(rows)
    assert names['host'] == 'a.example'
    assert names['X-End'] == '2'
    assert names['deadline-ms'] == '1200'
    assert names['expect-instance'] == 'i-1'
    assert 'X-Hop' not in names and 'Connection' not in names
    assert 'forged' not in names.values()


def test_headers_of_an_answer_are_decoded():
    found = platform.answer_head(
        200,
        {
            'attempt-id': '9c41',
            'server-seal': 'x',
            'server-load': '3,1,8',
            'warmup-ms': '1500',
        },
    )
    assert found == request.AnswerHead(
        '9c41',
        sealed=True,
        load=request.LoadReport(3, 1, 8),
        warmup_left_s=1.5,
    )
    assert platform.answer_head(503, {'not-executed': '1'}).not_run
    assert platform.answer_head(421, {}).other_instance
    assert platform.answer_head(200, {'server-load': 'a,b'}).load is None


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [('1.6', 1.6), ('0.25', 0.25), ('0', 0.0), ('20', 20.0)],
)
def test_the_limit_of_a_server_is_decoded(text, limit_per_s):
    found = platform.answer_head(200, {'server-limit': text})
    assert found == request.AnswerHead(None, limit_per_s=limit_per_s)
    assert platform.answer_head(200, {}).limit_per_s is None


@pytest.mark.parametrize('text', ['', 'few', 'NaN', '1e309', '-1', '1, 5'])
def test_an_unreadable_limit_leaves_the_rest_of_an_answer_usable(text):
    found = platform.answer_head(
        200, {'server-limit': text, 'server-load': '3,1,8'}
    )
    assert found.limit_per_s is None
    assert found.unreadable_limit == text
    assert found.load == request.LoadReport(3, 1, 8)

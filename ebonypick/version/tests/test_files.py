"""Tests the checks of configuration files and their error messages."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ebonypick import errors
from ebonypick import version
from standins import sample

SHAPE = sample.Shape()


def _problems(change=None, overlay=None):
    """Return the messages about a modified sample, or an empty string."""
    bundle = sample.make_bundle(SHAPE)
    base = json.loads(bundle.base)
    if change is not None:
        change(base)
    overlays = dict(bundle.overlays)
    if overlay is not None:
        overlays['r1c1'] = overlay
    try:
        version.build_configuration(
            version.Bundle(json.dumps(base, indent=1), overlays)
        )
    except errors.ConfigError as exc:
        return str(exc)
    return ''


def test_sample_is_valid():
    """The sample is valid, so each problem below comes from its change."""
    assert _problems() == ''


def _set(*path):
    *keys, last, value = path

    def change(base):
        for key in keys:
            base = base[key]
        base[last] = value

    return change


SHIFT = {
    'service': 'registry',
    'from_region': 'r1',
    'to_region': 'r2',
    'cap_share': 0.6,
    'start': '2026-01-01T00:00:00Z',
}


@pytest.mark.parametrize(
    ('change', 'words'),
    [
        (_set('servicess', {}), "did you mean 'services'"),
        (_set('services', 'registry', 'slotz', 3), "did you mean 'slots'"),
        (_set('services', 'registry', 'slots', 0), 'found 0'),
        (_set('services', 'registry', 'objective', 'speed'), 'speed'),
        (_set('links', []), 'no link with a limit between r1 and r2'),
        (_set('sites', 'r1c1', 'data_centre', 'r1c9'), "'r1c9'"),
        (_set('shifts', {'x': {**SHIFT, 'to_region': 'r9'}}), "'r9'"),
        (_set('shifts', {'x': {**SHIFT, 'to_region': 'r1'}}), 'the same'),
        (_set('shifts', {'x': {**SHIFT, 'start': 'now'}}), 'shifts.x.start'),
        (_set('shifts', {'x': SHIFT, 'y': SHIFT}), 'sum past 1'),
        (_set('drains', {'entry_hosts': ['r1c1-e9']}), "mean 'r1c1-e"),
        (_set('client_blocks', {'10.0.0.1/8': 'r1'}), 'host bits'),
        (_set('client_blocks', {'10.0.0.0/8': 'r3'}), "region 'r3'"),
    ],
)
def test_problem_has_its_place_and_hint(change, words):
    """The message contains the file and a hint about the valid values."""
    found = _problems(change)
    assert words in found
    assert 'base.json:' in found


def test_data_centre_without_hosts_or_weights_is_rejected():
    """A data centre needs an entry host with a weight above 0."""

    def no_hosts(base):
        centre = base['regions']['r1']['data_centres']['r1c1']
        centre['entry_hosts'] = {}

    def no_weights(base):
        hosts = base['regions']['r1']['data_centres']['r1c1']['entry_hosts']
        for host in hosts.values():
            host['weight'] = 0

    assert 'no entry hosts' in _problems(no_hosts)
    assert 'all weights are zero' in _problems(no_weights)


def test_duplicate_addresses_are_rejected():
    """Two servers cannot listen on the same address and port."""
    overlay = json.dumps(
        {
            'services': {
                'registry': {
                    'backend_servers': {
                        name: {'address': '127.0.0.9', 'port': 1}
                        for name in ('x', 'y')
                    }
                }
            }
        }
    )
    assert 'share 127.0.0.9:1' in _problems(overlay=overlay)


def test_all_problems_of_a_file_are_reported_together():
    """An operator can correct all problems of a file at once."""
    overlay = '{"services": {"registri": {}, "registry": {"slots": "x"}}}'
    found = _problems(overlay=overlay)
    assert 'registri' in found
    assert 'did you mean' in found
    assert 'services.registry.slots' in found


def test_problem_has_file_line_and_column():
    """The place is the position of the value in the file."""
    overlay = '{\n  // fewer\n  "services": {"registry": {"slots": 0}}\n}'
    found = _problems(overlay=overlay)
    assert 'sites/r1c1.json:3:38' in found


def test_syntax_error_has_its_line():
    """A missing comma is reported near its position."""
    with pytest.raises(errors.SyntaxProblemError) as caught:
        version.parse_source('{"a": 1\n "b": 2}', 'x.json')
    assert caught.value.fields['line'] in (1, 2)


@given(st.text(max_size=60))
def test_any_text_is_parsed_or_rejected(text):
    """No text raises an exception other than ConfigError."""
    try:
        version.parse_source(text, 'x.json')
    except errors.ConfigError:
        pass


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda child: (
        st.lists(child, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ['services', 'registry', 'slots', 'backend_servers', 'x']
            ),
            child,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(['services', 'x']), JSON))
def test_any_overlay_is_accepted_or_rejected(value):
    """No overlay raises an exception other than ConfigError."""
    _problems(overlay=json.dumps(value))


@given(st.dictionaries(st.sampled_from(list(sample.make_base(SHAPE))), JSON))
def test_any_base_is_accepted_or_rejected(value):
    """No base file raises an exception other than ConfigError."""
    _problems(lambda base: base.update(value))


@pytest.mark.parametrize(
    ('target', 'patch', 'result'),
    [
        ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
        ({'a': 'b'}, {'b': 'c'}, {'a': 'b', 'b': 'c'}),
        ({'a': 'b'}, {'a': None}, {}),
        ({'a': ['b']}, {'a': 'c'}, {'a': 'c'}),
        ({'a': {'b': 'c'}}, {'a': {'b': 'd', 'c': None}}, {'a': {'b': 'd'}}),
        (['a', 'b'], ['c', 'd'], ['c', 'd']),
        ({'e': None}, {'a': 1}, {'e': None, 'a': 1}),
        ([1, 2], {'a': 'b', 'c': None}, {'a': 'b'}),
        ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
    ],
)
def test_merge_patch_follows_the_rfc(target, patch, result):
    """The examples are from RFC 7396, appendix A."""
    assert version.merge_patch(target, patch) == result

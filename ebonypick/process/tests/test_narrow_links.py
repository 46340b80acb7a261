"""Hosts with narrow links get neither many bytes of rows nor all callers.

Load: a region of hosts with wide and narrow links. Versions are large and
change often, or all hosts with wide links of a region stop together.
"""

import asyncio
import types

import msgspec
import pytest

from ebonypick.process import _metrics
from ebonypick.process import _peer_directory
from ebonypick.process import _roster
from ebonypick.process import _steering_control
from ebonypick import version

WIDE_MBPS = 100.0
NARROW_MBPS = 5.0
REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
HOSTS = {
    'a1': {'a1-wide': WIDE_MBPS, 'a1-n1': NARROW_MBPS, 'a1-n2': NARROW_MBPS},
    'a2': {'a2-wide': WIDE_MBPS, 'a2-n1': NARROW_MBPS, 'a2-n2': NARROW_MBPS},
    'b1': {'b1-w1': WIDE_MBPS, 'b1-w2': WIDE_MBPS, 'b1-n1': NARROW_MBPS},
}
ALL = {name for found in HOSTS.values() for name in found}
NARROW_IN_A = {'a1-n1', 'a1-n2', 'a2-n1', 'a2-n2'}


def _route(host, regions=()):
    share = (version.ServiceShare('s', 1),)
    return version.Route(
        'r',
        host,
        '/',
        version.RequestKind.SAFE,
        share,
        1.0,
        0.5,
        2,
        0,
        frozenset(regions),
    )


def _node(host, lost=(), routes=()):
    """Return a host that lists all hosts and hears all but the lost ones."""
    centre = next(c for c, found in HOSTS.items() if host in found)
    rows = {
        name: _peer_directory.HostRow(f'{name}:1', '', place, 0, capacity)
        for place, found in HOSTS.items()
        for name, capacity in found.items()
    }
    alive = {
        place: tuple(name for name in found if name not in lost)
        for place, found in HOSTS.items()
    }
    node = types.SimpleNamespace(
        ready=True,
        leaving=False,
        metrics=_metrics.Metrics(),
        settings=types.SimpleNamespace(
            host=host,
            data_centre=centre,
            region=REGIONS[centre],
            data_centres=REGIONS,
            callers=f'{host}:1',
            terms=types.SimpleNamespace(contact='1.5s', lookup_ttl='5s'),
        ),
        board=types.SimpleNamespace(
            view=types.SimpleNamespace(alive=alive, cut_off=frozenset()),
            version=version.TrafficConfig(
                1, tuple(routes), (), version.CallerLimits()
            ),
        ),
        connections=types.SimpleNamespace(
            rows=rows,
            centres=lambda: {c: tuple(found) for c, found in HOSTS.items()},
        ),
    )
    node.roster = _roster.Roster(node)
    return node


def _named(node, name='x.example'):
    """Return the hosts that a look-up from region a names."""
    answers = []

    async def respond(status, headers, body=b''):
        answers.append(body)

    req = types.SimpleNamespace(
        path='/resolve',
        query={'name': name, 'region': 'a', 'zone': 'a1'},
        respond=respond,
    )
    asyncio.run(_steering_control.Control(node).serve_lookup(req))
    found = msgspec.json.decode(answers[0])['addresses']
    return {address.partition(':')[0] for address in found}


def test_a_region_without_wide_links_shares_its_callers_with_others():
    """Guards against all callers on narrow links while wide ones stop."""
    node = _node('a1-n1', lost={'a1-wide', 'a2-wide'})
    assert _named(node) == NARROW_IN_A | {'b1-w1', 'b1-w2'}


def test_one_wide_link_keeps_the_callers_of_its_region():
    assert _named(_node('a1-n1', lost={'a1-wide'})) == {'a2-wide'}


def test_a_region_that_hears_no_other_one_keeps_its_callers():
    lost = {'a1-wide', 'a2-wide', *HOSTS['b1']}
    assert _named(_node('a1-n1', lost=lost)) == NARROW_IN_A


@pytest.mark.parametrize('homes', [('a',), ('c',)])
def test_callers_of_routes_with_homes_stay_in_their_region(homes):
    """Guards against look-ups that name a region that is no home."""
    routes = [_route('x.example', homes), _route('y.example')]
    lost = {'a1-wide', 'a2-wide'}
    node = _node('a1-n1', lost=lost, routes=routes)
    assert _named(node) == NARROW_IN_A
    assert _named(node, 'x.example:80') == NARROW_IN_A
    assert _named(node, 'y.example') == NARROW_IN_A | {'b1-w1', 'b1-w2'}


def test_hosts_with_wide_links_read_the_store():
    """Guards against large rows of the store on narrow links."""
    readers = {name for name in ALL if _node(name).roster.reads_store()}
    assert readers & {*HOSTS['a1'], *HOSTS['a2']} == {'a1-wide', 'a2-wide'}
    assert readers >= set(HOSTS['b1'])


@pytest.mark.parametrize('lost', [{'a1-wide'}, {'a1-wide', 'a2-wide'}])
def test_two_hosts_read_the_store_without_wide_links(lost):
    left = [*HOSTS['a1'], *HOSTS['a2']]
    readers = [
        name
        for name in left
        if name not in lost and _node(name, lost).roster.reads_store()
    ]
    assert len(readers) == 2


def test_substitutes_for_readers_have_wide_links_if_there_are_any():
    """Guards against large rows of the store on narrow links."""
    candidates = _node('a1-n1').roster.reader_candidates()
    assert set(candidates[:2]) == {'a1-wide', 'a2-wide'}
    assert set(candidates) == {*HOSTS['a1'], *HOSTS['a2']} - {'a1-n1'}

"""Which hosts are asked to take the requests of one that is cut off."""

import random
import types

from ebonypick.process import _peer_directory
from ebonypick.process import _relays

HOSTS = {'a1': ('h1', 'h2', 'h3'), 'a2': ('k1',), 'b1': ('m1',)}
REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


def _relays_of(hosts):
    rows = {
        name: _peer_directory.HostRow('', '', centre, 0, relays=f'{name}:1')
        for centre, names in HOSTS.items()
        for name in names
    }
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            host='h1', data_centre='a1', data_centres=REGIONS
        ),
        connections=types.SimpleNamespace(rows=rows),
        roster=types.SimpleNamespace(relaying=lambda: hosts),
    )
    return _relays.Relays(node, random.Random(1))


def test_the_second_host_is_in_another_data_centre():
    relays = _relays_of(HOSTS)
    for _ in range(20):
        assert relays.choose(frozenset(), set()) in ('h2', 'h3')
        assert relays.choose(frozenset(), {'h2'}) == 'k1'


def test_the_last_data_centre_is_asked_again():
    relays = _relays_of({'a1': HOSTS['a1']})
    assert relays.choose(frozenset(), {'h2'}) == 'h3'
    assert relays.choose(frozenset(), {'h2', 'h3'}) is None


def test_a_host_that_could_take_nothing_is_not_asked_at_once_again():
    relays = _relays_of(HOSTS)
    relays.note_unable('h2')
    for _ in range(20):
        assert relays.choose(frozenset(), set()) == 'h3'
    relays.note_unable('h3')
    assert relays.choose(frozenset(), set()) == 'k1'


def test_a_host_of_an_earlier_release_is_not_asked():
    relays = _relays_of({'a1': ('h1',), 'b1': ('m1',)})
    rows = relays._node.connections.rows
    rows['m1'] = _peer_directory.HostRow('', '', 'b1', 0)
    assert relays.choose(frozenset(), {'gone'}) is None

"""Tests how many objects have their home at servers of a region."""

import collections

from ebonypick.request import _nearness
from ebonypick.request import _rank

# Region x has two of seventeen servers and a third of the callers. The cache
# of a server holds slightly more objects than an even share.
CENTRES = {'x1': 'x', 'x2': 'x', 'y1': 'y', 'y2': 'y', 'z1': 'z', 'z2': 'z'}
COUNTS = {'x1': 1, 'x2': 1, 'y1': 3, 'y2': 4, 'z1': 4, 'z2': 4}
OBJECTS = 28
CACHED_OBJECTS = 11
SLOTS = 3


def _servers():
    return {
        f'{centre}-{number}': (centre, SLOTS)
        for centre, count in COUNTS.items()
        for number in range(count)
    }


def _homes(nearness):
    """Return for how many objects each server is the home server."""
    homes = collections.Counter()
    for centre in CENTRES:
        weights = _nearness.weigh(_servers(), centre, CENTRES, nearness)
        for number in range(OBJECTS):
            key = f'{centre}/{number}'
            homes[_rank.weighted_rendezvous(key, weights, 1)[0]] += 1
    return homes


def test_servers_of_a_small_region_are_home_of_few_enough_objects():
    """Servers with far more home objects than they cache are always slow."""
    homes = _homes(_nearness.BULKY)
    small = homes['x1-0'] + homes['x2-0']
    assert small <= 2 * 1.5 * CACHED_OBJECTS


def test_a_region_with_enough_servers_keeps_nearly_all_its_objects():
    weights = _nearness.weigh(_servers(), 'z1', CENTRES, _nearness.BULKY)
    far = sum(w for name, w in weights.items() if name[0] != 'z')
    assert far < 0.1 * sum(weights.values())


def test_objects_of_a_region_without_servers_spread_over_all_others():
    servers = {n: s for n, s in _servers().items() if n[0] != 'x'}
    weights = _nearness.weigh(servers, 'x1', CENTRES, _nearness.BULKY)
    assert set(weights.values()) == {float(SLOTS)}


def test_the_only_region_keeps_all_its_objects():
    servers = {n: s for n, s in _servers().items() if n[0] == 'x'}
    weights = _nearness.weigh(servers, 'x1', CENTRES, _nearness.BULKY)
    assert weights['x1-0'] > weights['x2-0'] > 0

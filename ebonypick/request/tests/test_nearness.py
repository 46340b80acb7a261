"""How many objects the near servers of a region are home of."""

import collections

from ebonypick.request import _nearness
from ebonypick.request import _rank

# One region has two of seventeen servers and a third of the callers; each
# server remembers few more objects than an even share.
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
    """Return how many objects of all callers each server is home of."""
    homes = collections.Counter()
    for centre in CENTRES:
        weights = _nearness.weigh(_servers(), centre, CENTRES, nearness)
        for number in range(OBJECTS):
            key = f'{centre}/{number}'
            homes[_rank.weighted_rendezvous(key, weights, 1)[0]] += 1
    return homes


def test_servers_of_a_small_region_are_home_of_no_more_than_others():
    """More than twice what they remember would make them always slow."""
    homes = _homes(_nearness.BULKY)
    small = homes['x1-0'] + homes['x2-0']
    assert small <= 2 * 1.5 * CACHED_OBJECTS


def test_a_region_with_servers_enough_keeps_nearly_all_its_objects():
    weights = _nearness.weigh(_servers(), 'z1', CENTRES, _nearness.BULKY)
    far = sum(w for name, w in weights.items() if name[0] != 'z')
    assert far < 0.1 * sum(weights.values())


def test_a_region_without_servers_spreads_over_all_others():
    servers = {n: s for n, s in _servers().items() if n[0] != 'x'}
    weights = _nearness.weigh(servers, 'x1', CENTRES, _nearness.BULKY)
    assert set(weights.values()) == {float(SLOTS)}


def test_a_region_alone_keeps_all():
    servers = {n: s for n, s in _servers().items() if n[0] == 'x'}
    weights = _nearness.weigh(servers, 'x1', CENTRES, _nearness.BULKY)
    assert weights['x1-0'] > weights['x2-0'] > 0

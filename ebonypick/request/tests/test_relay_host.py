"""Plays the load of hosts that are cut off from all backend servers."""

import collections
import random

import pytest

from ebonypick import request

# Hosts by data centre of a small, two medium-sized and a large deployment.
SIZES = {
    3: (3,),
    7: (2, 1, 1, 1, 1, 1),
    29: (5, 5, 5, 5, 5, 4),
    77: (13, 13, 13, 13, 13, 12),
}
REQUESTS = 4_000
CONCURRENT = 40
# Each host that reaches servers takes at most this multiple of the mean.
MAX_RATIO = 1.3


def _deployment(count):
    hosts = {
        f'c{number}': tuple(f'c{number}-{n}' for n in range(size))
        for number, size in enumerate(SIZES[count])
    }
    regions = {centre: f'r{int(centre[1:]) // 2}' for centre in hosts}
    return hosts, regions


def _play(hosts, regions, cut_off, allowed=frozenset()):
    """Return the requests that each host takes from one that is cut off."""
    rng = random.Random(5)
    reaching = {
        centre: tuple(n for n in names if n not in cut_off)
        for centre, names in hosts.items()
    }
    pending = collections.Counter()
    running = collections.deque()
    taken = collections.Counter()
    for _ in range(REQUESTS):
        name = request.choose_relay_host(
            reaching, 'c0', regions, allowed, pending, rng
        )
        taken[name] += 1
        pending[name] += 1
        running.append(name)
        if len(running) > CONCURRENT:
            pending[running.popleft()] -= 1
    return taken


@pytest.mark.parametrize('count', SIZES)
def test_near_hosts_share_the_requests_evenly(count):
    hosts, regions = _deployment(count)
    names = hosts['c0']
    for cut_off in (names[:1], names[:-1], names):
        if len(cut_off) == count:
            continue
        taken = _play(hosts, regions, set(cut_off))
        near = [n for n in names if n not in cut_off]
        wanted = near or hosts.get('c1', ())
        assert set(taken) == set(wanted)
        mean = REQUESTS / len(wanted)
        assert max(taken.values()) <= MAX_RATIO * mean


@pytest.mark.parametrize('count', [7, 29, 77])
def test_other_regions_take_the_requests_of_a_region_that_is_cut_off(count):
    hosts, regions = _deployment(count)
    cut_off = {*hosts['c0'], *hosts['c1']}
    taken = _play(hosts, regions, cut_off)
    others = {n for names in hosts.values() for n in names} - cut_off
    assert set(taken) == others
    assert max(taken.values()) <= MAX_RATIO * REQUESTS / len(others)


@pytest.mark.parametrize('count', [7, 29, 77])
def test_only_hosts_of_allowed_regions_see_a_request(count):
    hosts, regions = _deployment(count)
    taken = _play(hosts, regions, set(hosts['c0']), frozenset({'r1'}))
    assert set(taken) == {*hosts['c2'], *hosts['c3']}


def test_without_a_host_that_reaches_servers_none_is_chosen():
    hosts, regions = _deployment(7)
    every = {n for names in hosts.values() for n in names}
    assert set(_play(hosts, regions, every)) == {None}

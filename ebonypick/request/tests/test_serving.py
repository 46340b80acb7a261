"""Tests that callers are sent to hosts with sufficient links."""

import collections
import random

from ebonypick import request

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
# Region a has a host with a wide link in each data centre, and narrow ones.
HOSTS = {
    'a1': {'wide-1': 200.0, 'narrow-1': 10.0, 'narrow-2': 10.0},
    'a2': {'wide-2': 200.0, 'narrow-3': 10.0},
    'b1': {'narrow-4': 10.0, 'narrow-5': 12.0},
}
BODY_MBIT = 0.5
REQUESTS = 4_000


def _longest_wait_s(hosts, seed=1):
    """Simulate bodies from callers that choose among hosts at random.

    Returns
    =======
    float
        The longest time in seconds that a body queues for its host's link
        and is transferred, at 400 bodies per second over all hosts.
    """
    rng = random.Random(seed)
    free_at = collections.defaultdict(float)
    longest = 0.0
    for number in range(REQUESTS):
        now = number / 400
        name, mbps = rng.choice(hosts)
        start = max(now, free_at[name])
        free_at[name] = start + BODY_MBIT / mbps
        longest = max(longest, free_at[name] - now)
    return longest


def test_bodies_wait_less_than_if_all_hosts_are_named():
    region = {'a1': HOSTS['a1'], 'a2': HOSTS['a2']}
    every = [(n, c) for found in region.values() for n, c in found.items()]
    named = request.serving_hosts(region, REGIONS)
    chosen = [
        (name, region[centre][name])
        for centre, names in named.items()
        for name in names
    ]
    assert _longest_wait_s(chosen) < 0.2 * _longest_wait_s(every)


def test_narrow_hosts_are_named_if_no_wide_host_is_live():
    left = {'a1': {'narrow-1': 10.0}, 'b1': HOSTS['b1']}
    assert request.serving_hosts(left, REGIONS) == {
        'a1': ('narrow-1',),
        'b1': ('narrow-4', 'narrow-5'),
    }

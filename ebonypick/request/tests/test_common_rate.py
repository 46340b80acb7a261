"""Tests that the parts of all hosts in a limit stay within its bound."""

import hypothesis
from hypothesis import strategies

from ebonypick.request import _common_rate
from standins import limits

LIMITS = strategies.floats(0.0, 200.0)
HOSTS = strategies.integers(1, 7_000)


def _rate_per_s(share, near):
    """Return the rate of all senders of one group together."""
    near = min(near, share.senders)
    far = share.senders - near
    return near * share.near_per_s + far * share.far_per_s


def _allowed(limit_per_s):
    return limits.FACTOR * limits.WINDOW_S * limit_per_s + limits.EXTRA


@hypothesis.given(LIMITS, HOSTS, HOSTS)
def test_two_groups_of_senders_stay_within_the_bound(limit_per_s, hosts, near):
    """Hosts that disagree about who is alive may name other senders."""
    near = min(near, hosts)
    share = _common_rate.divide(limit_per_s, hosts, near)
    groups = min(2.0, hosts / share.senders)
    most = share.senders * share.burst
    most += limits.WINDOW_S * _rate_per_s(share, near)
    assert groups * most <= _allowed(limit_per_s) + 1e-6


@hypothesis.given(LIMITS, HOSTS, HOSTS)
def test_a_limit_is_not_exceeded_in_the_long_run(limit_per_s, hosts, near):
    near = min(near, hosts)
    share = _common_rate.divide(limit_per_s, hosts, near)
    at_most = max(limit_per_s, _common_rate.MIN_RATE_PER_S)
    assert _rate_per_s(share, near) <= at_most + 1e-9


@hypothesis.given(LIMITS, HOSTS, HOSTS)
def test_at_least_half_of_a_limit_is_used(limit_per_s, hosts, near):
    near = min(near, hosts)
    share = _common_rate.divide(limit_per_s, hosts, near)
    assert _rate_per_s(share, near) >= 0.5 * limit_per_s
    assert share.burst >= 1.0


def test_the_failure_of_one_sender_leaves_another():
    for hosts in (2, 7, 77, 6_400):
        assert _common_rate.divide(0.5, hosts).senders >= 2


def test_hosts_of_the_server_s_region_send_first():
    hosts = {'a1': ('h1',), 'a2': ('h2',), 'b1': ('h3', 'h4')}
    regions = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
    found = _common_rate.senders('s', 'a', hosts, regions, 3)
    assert set(found[:2]) == {'h1', 'h2'}
    assert found[2] in {'h3', 'h4'}

"""Tests what a host knows of the limits that servers name."""

import itertools

import hypothesis
from hypothesis import strategies

from ebonypick.request import _server_limits

STATES = strategies.builds(
    _server_limits.ServerLimit,
    strategies.integers(1, 2),
    strategies.integers(0, 3),
    strategies.none() | strategies.sampled_from((0.0, 0.5, 4.0)),
)


def test_an_older_answer_without_a_limit_does_not_withdraw_it():
    limits = _server_limits.ServerLimits()
    limits.note_answer('i', 5, 0, 2.0)
    assert limits.note_answer('i', 5, 0, None) is None
    assert limits.get('i', 5).per_s == 2.0


def test_an_older_answer_does_not_raise_a_limit():
    limits = _server_limits.ServerLimits()
    limits.note_answer('i', 5, 0, 2.0)
    limits.note_answer('i', 5, 1, 1.0)
    limits.note_answer('i', 5, 1, 2.0)
    assert limits.get('i', 5).per_s == 1.0


def test_a_later_answer_withdraws_a_limit():
    limits = _server_limits.ServerLimits()
    limits.note_answer('i', 5, 0, 2.0)
    assert limits.note_answer('i', 5, 1, None).per_s is None
    assert limits.get('i', 5).per_s is None


def test_the_same_limit_again_is_no_change():
    limits = _server_limits.ServerLimits()
    before = limits.note_answer('i', 5, 0, 2.0)
    assert limits.note_answer('i', 5, 1, 2.0) is None
    assert limits.get('i', 5) == before


def test_another_start_has_no_limit():
    limits = _server_limits.ServerLimits()
    limits.note_answer('i', 5, 0, 2.0)
    assert limits.get('i', 6).per_s is None


def test_a_turn_that_no_host_can_exceed_is_ignored():
    limits = _server_limits.ServerLimits()
    found = _server_limits.ServerLimit(5, _server_limits.MAX_TURN + 1, 0.0)
    assert limits.merge('i', found) is None
    assert limits.get('i', 5).per_s is None


@hypothesis.given(strategies.lists(STATES, min_size=1, max_size=4))
def test_hosts_agree_whatever_the_order_of_the_news(states):
    found = set()
    for order in itertools.permutations(states):
        limits = _server_limits.ServerLimits()
        for state in (*order, *order):
            limits.merge('i', state)
        start = max(state.started_ms for state in states)
        found.add(limits.get('i', start).per_s)
    assert len(found) == 1

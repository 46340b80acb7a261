"""Which hosts a reader asks to read the store, and how often."""

import itertools

import pytest

from ebonypick.process import _substitute_search

CANDIDATES = tuple(f'h{number}' for number in range(20))


def _play(search, serves, seconds, candidates=CANDIDATES):
    """Let a reader search for a time; return when it asked which host.

    Parameters
    ==========
    search : SubstituteSearch
        The search.
    serves : callable
        Returns whether the store serves a host at a time.
    seconds : float
        The time.
    candidates : tuple of str
        The hosts that the reader may ask.
    """
    asked = []
    for step in range(round(seconds / 0.25)):
        now = step * 0.25
        for name in search.begin_round(candidates, now):
            asked.append((now, name))
            served = serves(name, now)
            search.record(name, served)
            if served:
                break
    return asked


@pytest.mark.parametrize('served', CANDIDATES)
def test_the_only_host_that_is_served_is_found(served):
    asked = _play(
        _substitute_search.SubstituteSearch(),
        lambda name, now: name == served,
        60.0,
    )
    assert served in {name for _, name in asked}


def test_two_refused_candidates_cost_no_further_round():
    """Guards against a wait for each host that is turned away as well."""
    asked = _play(
        _substitute_search.SubstituteSearch(),
        lambda name, now: name not in CANDIDATES[:2],
        0.25,
    )
    assert asked == [(0.0, 'h0'), (0.0, 'h1'), (0.0, 'h2')]


def test_a_host_that_is_served_is_asked_again_within_its_lease():
    asked = _play(
        _substitute_search.SubstituteSearch(),
        lambda name, now: name == 'h5',
        60.0,
    )
    times = [now for now, name in asked if name == 'h5']
    gaps = [later - now for now, later in itertools.pairwise(times)]
    assert set(gaps) == {_substitute_search.ROUND_INTERVAL_S}
    assert times[-1] > 58.0


def test_a_host_that_is_no_longer_served_is_replaced_in_the_same_round():
    asked = _play(
        _substitute_search.SubstituteSearch(),
        lambda name, now: name != 'h0' or now < 10.0,
        12.0,
    )
    assert (10.0, 'h0') in asked
    assert asked.index((10.0, 'h1')) == asked.index((10.0, 'h0')) + 1
    assert asked[-1][1] == 'h1'


def test_an_outage_is_asked_about_seldom():
    """Guards against a rate of calls that grows with the hosts."""
    asked = _play(
        _substitute_search.SubstituteSearch(), lambda name, now: False, 600.0
    )
    late = [now for now, _ in asked if now > 60.0]
    longest_s = _substitute_search.MAX_SEARCH_INTERVAL_S
    assert len(late) <= 540.0 / longest_s * _substitute_search.ROUND_HOSTS
    assert {name for _, name in asked} == set(CANDIDATES)


def test_without_candidates_nobody_is_asked():
    search = _substitute_search.SubstituteSearch()
    assert _play(search, lambda name, now: True, 10.0, candidates=()) == []

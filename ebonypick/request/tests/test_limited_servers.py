"""Tests servers that name a limit of requests for all hosts together."""

import pytest

from ebonypick import request
from ebonypick.request.tests import limit_play

SERVERS = 20
HOSTS = pytest.mark.parametrize('hosts', [7, 29, 77])


def _play(hosts, *namings, per_s=80):
    return limit_play.LimitPlay(hosts, SERVERS, per_s, namings)


def _arrivals(play, start, end):
    """Return the number of requests that the first server got in a time."""
    return sum(start <= at < end for at, _ in play.arrivals['s0'])


@pytest.mark.parametrize('per_s', [0.5, 1.6, 20.0])
@HOSTS
def test_all_hosts_together_respect_the_limit_of_a_server(hosts, per_s):
    play = limit_play.LimitPlay(
        hosts,
        SERVERS,
        per_s=SERVERS * max(4.0, 2 * per_s),
        namings=(limit_play.Naming(4.0, 20.0, 3, per_s),),
    )
    play.run(20.0)
    assert play.breaches() == []


@HOSTS
def test_both_halves_of_a_partition_respect_a_limit_together(hosts):
    play = _play(hosts, limit_play.Naming(4.0, 20.0, 3, 2.0))
    names = list(play.fleets)
    halves = names[::2], names[1::2]
    play.at(9.0, play.set_views, *halves)
    play.at(15.0, play.set_views, names)
    play.run(20.0)
    assert play.breaches() == []
    assert _arrivals(play, 10.0, 14.0) > 0


@HOSTS
def test_restarted_hosts_respect_a_limit(hosts):
    play = _play(hosts, limit_play.Naming(4.0, 24.0, 3, 2.0))
    for number, name in enumerate(list(play.fleets)[:5]):
        play.at(8.0 + 2 * number, play.restart, name)
    play.run(24.0)
    assert play.breaches() == []


@HOSTS
def test_a_changed_limit_is_respected(hosts):
    play = _play(
        hosts,
        limit_play.Naming(4.0, 10.0, 3, 4.0),
        limit_play.Naming(10.0, 16.0, 3, 2.0),
        limit_play.Naming(16.0, 22.0, 3, 3.0),
    )
    play.run(22.0)
    assert play.breaches() == []


@HOSTS
def test_a_server_gets_its_requests_back_when_its_limit_ends(hosts):
    play = _play(hosts, limit_play.Naming(4.0, 12.0, 3, 1.0))
    play.run(28.0)
    before = _arrivals(play, 0.0, 4.0)
    assert _arrivals(play, 8.0, 12.0) < before / 2
    assert _arrivals(play, 24.0, 28.0) > 0.7 * before


def test_more_than_half_of_a_limit_is_used():
    play = _play(7, limit_play.Naming(4.0, 24.0, SERVERS, 2.0))
    play.run(24.0)
    used = sum(_arrivals_of(play, e.instance, 8.0, 24.0) for e in play.entries)
    assert used >= 0.5 * 2.0 * SERVERS * 16.0


def _arrivals_of(play, server, start, end):
    return sum(start <= at < end for at, _ in play.arrivals[server])


@HOSTS
def test_requests_beyond_all_limits_are_rejected_at_once(hosts):
    play = _play(hosts, limit_play.Naming(4.0, 20.0, SERVERS, 1.0))
    play.run(20.0)
    assert play.breaches() == []
    assert play.counts['limited'] > 0
    assert set(play.counts) == {'sent', 'limited'}


def _limited_fleet():
    fleet = request.Fleet('h', 'a1', {'a1': 'a'})
    entry = request.ServerEntry('s', 's', ('', 0), 'a1', 3, started_ms=5)
    fleet.update([entry], 0.0)
    others = tuple(f'h{n}' for n in range(99))
    fleet.set_hosts({'a1': ('h',)}, {'a1': ('h', *others)})
    return fleet


ASK = request.Ask('s', 'k', frozenset(), 1, 5.0)


def test_a_rejection_names_the_time_of_the_next_request():
    fleet = _limited_fleet()
    fleet.receive_limit('s', request.ServerLimit(5, 1, 1.0))
    fleet.sent('s', 'k', 1.0)
    found = fleet.choose(ASK, 1.5)
    assert (found.reason, found.passed_limited) == ('limited', True)
    wait_s = found.retry_after_s
    assert 0.4 <= wait_s <= 2.0
    later = fleet.choose(ASK, 1.5 + wait_s)
    assert isinstance(later, request.Chosen) == (wait_s < 2.0)


def test_a_request_chosen_before_its_server_named_a_limit_is_withheld():
    fleet = _limited_fleet()
    ticket = fleet.sent('s', 'k', 1.0)
    assert not fleet.withholds(ticket, 1.1)
    fleet.receive_limit('s', request.ServerLimit(5, 1, 1.0))
    assert fleet.withholds(ticket, 1.1)
    assert not fleet.withholds(fleet.sent('s', 'k', 1.2), 1.3)


def test_an_unreadable_limit_leaves_the_known_one_in_force():
    fleet = _limited_fleet()
    fleet.receive_limit('s', request.ServerLimit(5, 1, 1.0))
    head = request.AnswerHead('r', sealed=True, unreadable_limit='few')
    for logged in ('few', None):
        ticket = fleet.sent('s', 'k', 1.0)
        news = fleet.answered(ticket, head, False, 1.1)
        assert (news.limit, news.unreadable_limit) == (None, logged)
    assert isinstance(fleet.choose(ASK, 1.2), request.Rejected)


def test_a_rejection_without_a_limit_does_not_withdraw_it():
    fleet = _limited_fleet()
    fleet.receive_limit('s', request.ServerLimit(5, 1, 1.0))
    for head, limited in (
        (request.AnswerHead('r', not_run=True), True),
        (request.AnswerHead('r', sealed=True), False),
    ):
        fleet.answered(fleet.sent('s', 'k', 1.0), head, False, 1.1)
        found = fleet.choose(ASK, 1.2)
        assert isinstance(found, request.Rejected) == limited


def test_a_new_start_of_a_server_has_no_limit():
    fleet = _limited_fleet()
    fleet.receive_limit('s', request.ServerLimit(5, 1, 1.0))
    fleet.sent('s', 'k', 1.0)
    entry = request.ServerEntry('s', 's', ('', 0), 'a1', 3, started_ms=6)
    fleet.update([entry], 1.1)
    assert isinstance(fleet.choose(ASK, 1.2), request.Chosen)
    assert fleet.receive_limit('s', request.ServerLimit(5, 9, 1.0)) is None
    assert isinstance(fleet.choose(ASK, 1.2), request.Chosen)

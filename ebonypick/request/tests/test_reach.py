"""Tests of how a host learns that it is cut off from all backend servers."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ebonypick import request
from ebonypick.request import _reach

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
CENTRES = tuple(REGIONS)
SLOTS = 3
WAIT_S = _reach.SUSPECT_SILENCE_S


def _fleet(count=9):
    fleet = request.Fleet('h1', 'a1', REGIONS, random.Random(1))
    fleet.set_hosts({'a1': ('h1',)})
    entries = [
        request.ServerEntry(
            f's-{n}', 's', ('127.0.0.1', 1000 + n), CENTRES[n % 3], SLOTS
        )
        for n in range(count)
    ]
    fleet.update(entries, 0.0)
    return fleet


def _ask(key):
    return request.Ask('s', str(key), frozenset(), 1, 1.0)


def test_a_single_server_that_is_down_causes_no_probe():
    reach = request.Reach()
    for step in range(20):
        reach.note_failed('s-1', step / 10)
        assert not reach.should_probe(None, step / 10)


def test_several_servers_that_fail_cause_probes_at_intervals():
    reach = request.Reach()
    reach.note_failed('s-1', 1.0)
    reach.note_failed('s-2', 1.1)
    assert reach.should_probe(None, 1.1)
    reach.note_probe(1.1)
    assert not reach.should_probe(None, 1.1 + _reach.PROBE_INTERVAL_S / 2)
    assert reach.should_probe(None, 1.1 + _reach.PROBE_INTERVAL_S)


def test_failures_before_an_opened_connection_do_not_count():
    reach = request.Reach()
    reach.note_failed('s-1', 1.0)
    reach.note_opened(1.1)
    reach.note_failed('s-2', 1.2)
    assert not reach.should_probe(None, 1.3)
    assert reach.failing_since == 1.2


def test_requests_that_all_wait_on_silent_connections_cause_a_probe():
    fleet = _fleet()
    reach = request.Reach()
    tickets = [fleet.sent(f's-{n}', str(n), 0.1 * n) for n in range(3)]
    fleet.answered(tickets[0], request.AnswerHead('r'), False, 0.5)
    fleet.ended(tickets[0], 0.5)
    assert not reach.should_probe(fleet.waiting_since(), 0.4 + WAIT_S)
    assert reach.should_probe(fleet.waiting_since(), 0.6 + WAIT_S)
    for ticket in tickets[1:]:
        fleet.ended(ticket, 1.0)
    assert fleet.waiting_since() is None


def test_attempts_that_fail_one_after_the_other_cause_a_probe():
    # Load: a request a second, each connection hangs for a second.
    fleet = _fleet()
    reach = request.Reach()
    for second in range(2):
        ticket = fleet.sent('s-1', 'k', float(second))
        assert not reach.should_probe(fleet.waiting_since(), second + 0.4)
        fleet.unreachable('s-1', second + 1.0)
        reach.note_failed('s-1', second + 1.0)
        fleet.ended(ticket, second + 1.0)
    fleet.sent('s-1', 'k', 2.0)
    assert reach.should_probe(fleet.waiting_since(), 2.1)


def test_a_host_nearby_that_is_cut_off_causes_one_probe():
    reach = request.Reach()
    reach.note_probe(0.0)
    reach.suspect()
    assert not reach.should_probe(None, _reach.PROBE_INTERVAL_S / 2)
    assert reach.should_probe(None, _reach.PROBE_INTERVAL_S)
    reach.note_probe(_reach.PROBE_INTERVAL_S)
    assert not reach.should_probe(None, 3 * _reach.PROBE_INTERVAL_S)


def test_a_slow_server_beside_others_that_answer_causes_no_probe():
    fleet = _fleet()
    reach = request.Reach()
    fleet.sent('s-0', 'k', 0.0)
    for step in range(1, 80):
        now = step / 10
        ticket = fleet.sent('s-1', 'l', now)
        fleet.answered(ticket, request.AnswerHead('r'), False, now)
        fleet.ended(ticket, now)
        assert not reach.should_probe(fleet.waiting_since(), now)


@given(st.integers(1, 20), st.sets(st.integers(0, 19), max_size=19))
def test_probes_prefer_data_centres_and_servers_that_did_not_fail(
    count, failed
):
    fleet = _fleet(count)
    for number in failed:
        fleet.unreachable(f's-{number}', 0.0)
    probed = fleet.to_probe(3)
    assert len(probed) == min(3, count)
    assert len({entry.data_centre for entry in probed}) == len(probed)
    names = {entry.instance for entry in probed}
    if len(failed & set(range(count))) < count:
        assert names - {f's-{number}' for number in failed}


@pytest.mark.parametrize('waits', [0, 3])
def test_failures_of_the_own_links_are_not_held_against_servers(waits):
    fleet = _fleet()
    # One request was answered, so that later ones can be overdue.
    ticket = fleet.sent('s-0', 'k', 0.0)
    fleet.answered(ticket, request.AnswerHead('r'), False, 0.1)
    fleet.ended(ticket, 0.1)
    before = {
        key: fleet.choose(_ask(key), 1.0).entry.instance for key in range(60)
    }
    fleet.unreachable('s-8', 0.5)
    for number in range(8):
        tickets = [fleet.sent(f's-{number}', 'x', 1.0) for _ in range(waits)]
        fleet.unreachable(f's-{number}', 2.0)
        for ticket in tickets:
            fleet.ended(ticket, 3.0)
    fleet.forget_failures(since=1.5)
    chosen = {key: fleet.choose(_ask(key), 3.1) for key in range(60)}
    # A server that failed before the links did stays excluded.
    for key, instance in before.items():
        if instance != 's-8':
            assert chosen[key].entry.instance == instance
        else:
            assert chosen[key].entry.instance != 's-8'

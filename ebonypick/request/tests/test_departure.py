"""Tests servers that announce a departure or a hold-off in their answers.

Load: a release in progress, whose servers notify each host in their answers,
and servers that reject requests for a stated time.
"""

import dataclasses
import random

import pytest

from ebonypick import request

REGIONS = {'a1': 'a'}
LEAVING = request.AnswerHead('r', sealed=True, leaving=True)


def _entry(number, **more):
    return request.ServerEntry(
        f's-{number}', 's', ('127.0.0.1', 1000 + number), 'a1', 3, **more
    )


ENTRIES = tuple(_entry(number, started_ms=5) for number in range(4))


def _entries_with_start(instance, started_ms):
    """Return the entries, one of them with another start."""
    return [
        dataclasses.replace(entry, started_ms=started_ms)
        if entry.instance == instance
        else entry
        for entry in ENTRIES
    ]


def _fleet(entries=ENTRIES):
    fleet = request.Fleet('h1', 'a1', REGIONS, random.Random(1))
    fleet.update(entries, 0.0)
    return fleet


def _ask(key='k', tried=()):
    return request.Ask('s', key, frozenset(), 1, 5.0, frozenset(tried), False)


def _home(fleet, now=0.0):
    return fleet.choose(_ask(), now).entry.instance


def _answer(fleet, instance, head, now, failed=False, **more):
    ticket = fleet.sent(instance, 'k', now)
    fleet.answered(ticket, head, failed, now, **more)
    fleet.ended(ticket, now)


def _served(fleet, now):
    """Return the servers chosen for 200 different objects."""
    return {
        fleet.choose(_ask(str(key)), now).entry.instance for key in range(200)
    }


@pytest.mark.parametrize('failed', [False, True])
def test_a_leaving_server_gets_no_further_requests(failed):
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0, failed)
    assert home not in _served(fleet, 1.0)


def test_a_leaving_server_stays_excluded_when_its_row_reappears():
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0)
    changed = [dataclasses.replace(e, warmup_left_s=0.1) for e in ENTRIES]
    fleet.update(changed, 2.0)
    assert home not in _served(fleet, 3.0)
    fleet.update([e for e in ENTRIES if e.instance != home], 4.0)
    fleet.update(ENTRIES, 5.0)
    assert home not in _served(fleet, 6.0)


def test_a_later_start_of_a_leaving_server_is_used():
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0)
    fleet.update(_entries_with_start(home, ENTRIES[0].started_ms + 1), 2.0)
    assert home in _served(fleet, 3.0)


@pytest.mark.parametrize('started_ms, used', [(9, False), (21, True)])
def test_a_departure_counts_for_the_start_that_announced_it(started_ms, used):
    """The row of that start arrives after its announcement."""
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0, wall_ms=20)
    fleet.update(_entries_with_start(home, started_ms), 2.0)
    assert (home in _served(fleet, 3.0)) is used


@pytest.mark.parametrize('started_ms, kept', [(9, True), (21, False)])
def test_a_hold_off_and_a_limit_count_for_the_start_that_named_them(
    started_ms, kept
):
    """The row of that start arrives after its answer."""
    fleet = _fleet()
    home = _home(fleet)
    head = request.AnswerHead('r', sealed=True, limit_per_s=0.5)
    _answer(fleet, home, head, 1.0, wall_ms=20)
    head = request.AnswerHead('r', not_run=True, hold_off_s=3.0)
    _answer(fleet, home, head, 1.0, wall_ms=20)
    fleet.update(_entries_with_start(home, started_ms), 2.0)
    assert (home not in _served(fleet, 3.0)) is kept
    assert fleet.limited_count == kept


def test_an_announcement_is_news_once():
    fleet = _fleet()
    home = _home(fleet)
    tickets = [fleet.sent(home, 'k', 1.0) for _ in range(2)]
    found = [
        fleet.answered(ticket, LEAVING, False, 1.1, wall_ms=20 + number)
        for number, ticket in enumerate(tickets)
    ]
    assert [news.leaving_start_ms for news in found] == [20, None]


def test_a_departure_reported_by_another_host_counts():
    fleet = _fleet()
    home = _home(fleet)
    assert fleet.leaves(home, 5)
    assert not fleet.leaves(home, 5)
    assert home not in _served(fleet, 1.0)


def test_a_departure_of_an_earlier_start_does_not_exclude_a_later():
    fleet = _fleet()
    home = _home(fleet)
    fleet.leaves(home, 4)
    assert home in _served(fleet, 1.0)


def test_a_server_gets_no_requests_during_its_hold_off():
    fleet = _fleet()
    home = _home(fleet)
    head = request.AnswerHead('r', not_run=True, hold_off_s=3.0)
    _answer(fleet, home, head, 1.0)
    for tenth in range(10, 40):
        assert home not in _served(fleet, tenth / 10)
    assert _home(fleet, 4.01) == home


def test_answers_of_earlier_requests_do_not_shorten_a_hold_off():
    """A success or a shorter hold-off arrives after a longer hold-off."""
    fleet = _fleet()
    home = _home(fleet)
    for head in (
        request.AnswerHead('r', not_run=True, hold_off_s=3.0),
        request.AnswerHead('r', not_run=True, hold_off_s=0.5),
        request.AnswerHead('r', sealed=True),
    ):
        _answer(fleet, home, head, 1.0)
    assert home not in _served(fleet, 3.9)
    ticket = fleet.sent(home, 'k', 3.8)
    assert fleet.withholds(ticket, 3.9)
    assert not fleet.withholds(ticket, 4.1)


def test_retry_after_is_the_end_of_the_first_hold_off():
    fleet = _fleet()
    for number, entry in enumerate(ENTRIES):
        head = request.AnswerHead('r', not_run=True, hold_off_s=3.0 + number)
        _answer(fleet, entry.instance, head, 1.0)
    found = fleet.choose(_ask(), 2.0)
    assert isinstance(found, request.Rejected)
    assert found.reason == 'held-off'
    assert found.retry_after_s == pytest.approx(2.0)


def test_malformed_answers_exclude_a_server_temporarily():
    fleet = _fleet()
    home = _home(fleet)
    for _ in range(3):
        ticket = fleet.sent(home, 'k', 1.0)
        fleet.record_malformed_answer(ticket, 1.1)
        fleet.ended(ticket, 1.1)
    assert home not in _served(fleet, 1.2)
    assert home in _served(fleet, 60.0)


def test_a_valid_answer_resets_the_count_of_malformed_answers():
    fleet = _fleet()
    home = _home(fleet)
    for number in range(6):
        ticket = fleet.sent(home, 'k', 1.0)
        fleet.record_malformed_answer(ticket, 1.1)
        fleet.ended(ticket, 1.1)
        if number % 2:
            _answer(fleet, home, request.AnswerHead('r', sealed=True), 1.2)
    assert home in _served(fleet, 1.3)

"""Backend servers that say in their answers that they leave or want nothing.

Load: a release under way, whose servers tell each host in their answers, and
servers that turn requests away for a stated time.
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


def _fleet(entries=ENTRIES):
    fleet = request.Fleet('h1', 'a1', REGIONS, random.Random(1))
    fleet.update(entries, 0.0)
    return fleet


def _ask(key='k', tried=()):
    return request.Ask('s', key, frozenset(), 1, 5.0, frozenset(tried), False)


def _home(fleet, now=0.0):
    return fleet.choose(_ask(), now).entry.instance


def _answer(fleet, instance, head, now, failed=False):
    ticket = fleet.sent(instance, 'k', now)
    fleet.answered(ticket, head, failed, now)
    fleet.ended(ticket, now)


def _served(fleet, now):
    """Return the servers that any of many objects is sent to."""
    return {
        fleet.choose(_ask(str(key)), now).entry.instance for key in range(200)
    }


@pytest.mark.parametrize('failed', [False, True])
def test_one_that_says_it_leaves_gets_nothing_more(failed):
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0, failed)
    assert home not in _served(fleet, 1.0)


def test_it_stays_out_when_its_row_changes_lapses_and_comes_back():
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0)
    changed = [dataclasses.replace(e, warmup_left_s=0.1) for e in ENTRIES]
    fleet.update(changed, 2.0)
    assert home not in _served(fleet, 3.0)
    fleet.update([e for e in ENTRIES if e.instance != home], 4.0)
    fleet.update(ENTRIES, 5.0)
    assert home not in _served(fleet, 6.0)


def test_a_later_start_under_its_name_is_used():
    fleet = _fleet()
    home = _home(fleet)
    _answer(fleet, home, LEAVING, 1.0)
    fleet.update(
        [
            dataclasses.replace(e, started_ms=e.started_ms + 1)
            if e.instance == home
            else e
            for e in ENTRIES
        ],
        2.0,
    )
    assert home in _served(fleet, 3.0)


def test_what_another_host_heard_counts_the_same():
    fleet = _fleet()
    home = _home(fleet)
    assert fleet.leaves(home, 5)
    assert not fleet.leaves(home, 5)
    assert home not in _served(fleet, 1.0)


def test_word_of_an_earlier_start_does_not_remove_a_later_one():
    fleet = _fleet()
    home = _home(fleet)
    fleet.leaves(home, 4)
    assert home in _served(fleet, 1.0)


def test_one_that_wants_nothing_for_a_while_gets_nothing():
    fleet = _fleet()
    home = _home(fleet)
    head = request.AnswerHead('r', not_run=True, hold_off_s=3.0)
    _answer(fleet, home, head, 1.0)
    for tenth in range(10, 40):
        assert home not in _served(fleet, tenth / 10)
    assert _home(fleet, 4.01) == home


def test_requests_that_were_on_their_way_do_not_shorten_it():
    """A good answer, or a shorter time, after the longer one."""
    fleet = _fleet()
    home = _home(fleet)
    for head in (
        request.AnswerHead('r', not_run=True, hold_off_s=3.0),
        request.AnswerHead('r', not_run=True, hold_off_s=0.5),
        request.AnswerHead('r', sealed=True),
    ):
        _answer(fleet, home, head, 1.0)
    assert home not in _served(fleet, 3.9)
    assert fleet.holds_off(home, 3.9)
    assert not fleet.holds_off(home, 4.1)


def test_where_all_want_nothing_callers_are_told_when_one_does():
    fleet = _fleet()
    for number, entry in enumerate(ENTRIES):
        head = request.AnswerHead('r', not_run=True, hold_off_s=3.0 + number)
        _answer(fleet, entry.instance, head, 1.0)
    found = fleet.choose(_ask(), 2.0)
    assert isinstance(found, request.Turned)
    assert found.reason == 'held-off'
    assert found.retry_after_s == pytest.approx(2.0)


def test_one_whose_bytes_are_no_answers_is_left_out_for_a_while():
    fleet = _fleet()
    home = _home(fleet)
    for _ in range(3):
        ticket = fleet.sent(home, 'k', 1.0)
        fleet.misbehaved(ticket, 1.1)
        fleet.ended(ticket, 1.1)
    assert home not in _served(fleet, 1.2)
    assert home in _served(fleet, 60.0)


def test_a_good_answer_in_between_clears_it():
    fleet = _fleet()
    home = _home(fleet)
    for number in range(6):
        ticket = fleet.sent(home, 'k', 1.0)
        fleet.misbehaved(ticket, 1.1)
        fleet.ended(ticket, 1.1)
        if number % 2:
            _answer(fleet, home, request.AnswerHead('r', sealed=True), 1.2)
    assert home in _served(fleet, 1.3)

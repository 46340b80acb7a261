"""When a host needs another one to read the store for it."""

import hypothesis
from hypothesis import strategies

from ebonypick.process import _store_contact

OUTAGE_S = _store_contact.SHORT_OUTAGE_S
# Pauses between the calls for several tables, and how long each takes to fail.
CALLS = strategies.lists(
    strategies.tuples(strategies.floats(0.0, 2.6), strategies.floats(0, 0.5)),
    min_size=1,
    max_size=40,
)


def _needs_substitute(calls, sent_before=OUTAGE_S):
    """Return whether calls that begin with an outage show the need."""
    contact = _store_contact.StoreContact()
    sent_at = 0.0
    for pause_s, fails_in_s in calls:
        sent_at += pause_s
        if sent_at >= sent_before:
            break
        contact.record_failure(sent_at, sent_at + fails_in_s)
    return contact.needs_substitute


@hypothesis.given(CALLS)
def test_a_short_outage_never_shows_the_need(calls):
    """Guards against hosts that call the store in each short outage."""
    assert not _needs_substitute(calls)


def test_the_call_at_the_decisive_time_shows_the_need():
    contact = _store_contact.StoreContact()
    contact.record_failure(9.0, 10.0)
    assert contact.decides_at == 10.0 + OUTAGE_S
    contact.record_failure(10.1, 10.2)
    assert contact.decides_at == 10.0 + OUTAGE_S
    assert not contact.needs_substitute
    contact.record_failure(contact.decides_at, contact.decides_at + 0.1)
    assert contact.needs_substitute


def test_a_call_without_an_answer_counts_as_a_whole():
    contact = _store_contact.StoreContact()
    contact.record_failure(10.0, 10.0 + OUTAGE_S, silent=True)
    assert contact.needs_substitute


def test_an_answer_for_one_table_ends_the_need():
    contact = _store_contact.StoreContact()
    contact.record_failure(10.0, 20.0, silent=True)
    contact.record_answer(sent_at=20.05)
    contact.record_failure(20.1, 20.2)
    assert not contact.needs_substitute
    assert contact.decides_at == 20.2 + OUTAGE_S


def test_an_answer_to_an_earlier_call_does_not_end_the_need():
    """Guards against open calls that outlive the refusal of new ones."""
    contact = _store_contact.StoreContact()
    contact.record_failure(10.0, 10.1)
    contact.record_answer(sent_at=9.0)
    contact.record_failure(13.2, 13.3)
    assert contact.needs_substitute

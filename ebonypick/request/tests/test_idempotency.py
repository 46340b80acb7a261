"""Tests that a request with a key runs at most once."""

import tracemalloc

import hypothesis
from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st

from ebonypick import request
from ebonypick.request import _idempotency

HOLDERS = ('h1', 'h2', 'h3')
KEYS = 3
MODEL_BYTES = 4 * _idempotency.KEY_BYTES
MAX_BYTES = 4_000_000


class OnceMachine(stateful.RuleBasedStateMachine):
    """Mixes claims, pauses, late runs, releases and lost replies."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.boots = 0
        self.others = 0
        self.runs = {}
        self.granted = set()
        self.start_host()
        prefix = self.ledger.prefix(0.0)
        self.keys = [request.parse_key(f'{prefix}k{i}') for i in range(KEYS)]

    def start_host(self):
        self.boots += 1
        # Other keys may leave room for one of these.
        self.ledger = request.ClaimLedger(
            'e1', f'b{self.boots}', self.now, MODEL_BYTES
        )

    @stateful.rule()
    def restart_host(self):
        self.start_host()

    @stateful.rule(count=st.integers(1, 5))
    def claim_other_keys(self, count):
        for _ in range(count):
            self.others += 1
            key = f'{self.ledger.prefix(self.now)}o{self.others}'
            self.ledger.claim(request.parse_key(key), 'other', self.now)

    @stateful.rule(gap_s=st.floats(0, 1200))
    def advance_time(self, gap_s):
        self.now += gap_s

    @stateful.rule(
        number=st.integers(0, KEYS - 1),
        holder=st.sampled_from(HOLDERS),
        lost=st.booleans(),
    )
    def claim(self, number, holder, lost):
        key = self.keys[number]
        found = self.ledger.claim(key, holder, self.now)
        if isinstance(found, request.Granted) and not lost:
            self.granted.add((number, holder))

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=st.data(), runs=st.booleans())
    def run_or_release(self, data, runs):
        """Run or release a granted claim after a pause of any length."""
        number, holder = data.draw(st.sampled_from(sorted(self.granted)))
        self.granted.discard((number, holder))
        if not runs:
            self.ledger.release(self.keys[number], holder)
            return
        self.runs[number] = self.runs.get(number, 0) + 1
        assert self.runs[number] == 1
        record = request.Record(200, (), None)
        self.ledger.finish(self.keys[number], holder, record)


TestOnce = OnceMachine.TestCase
TestOnce.settings = hypothesis.settings(stateful_step_count=40)


def test_a_repeated_request_gets_the_stored_answer():
    """A claim of a finished key returns the record of its answer."""
    ledger = request.ClaimLedger('e1', 'b', 0.0)
    key = request.parse_key(ledger.prefix(0.0) + 'x')
    ledger.claim(key, 'h1', 0.0)
    record = request.Record(200, (('a', 'b'),), 'Ym9keQ==')
    ledger.finish(key, 'h1', record)
    assert ledger.claim(key, 'h2', 1.0) == request.Finished(record)


def test_a_key_of_an_earlier_start_is_never_granted():
    """A restarted host does not know which requests ran before."""
    old = request.ClaimLedger('e1', 'b1', 0.0)
    key = request.parse_key(old.prefix(0.0) + 'x')
    new = request.ClaimLedger('e1', 'b2', 5.0)
    assert isinstance(new.claim(key, 'h', 6.0), request.Forgotten)


def test_expired_keys_are_dropped_and_refused():
    """A key that was dropped is never granted again."""
    ledger = request.ClaimLedger('e1', 'b', 0.0)
    key = request.parse_key(ledger.prefix(0.0) + 'x')
    ledger.claim(key, 'h', 0.0)
    later = (_idempotency.RETAINED_EPOCHS + 2) * _idempotency.EPOCH_S
    fresh = request.parse_key(ledger.prefix(later) + 'y')
    ledger.claim(fresh, 'h', later)
    assert len(ledger) == 1
    assert isinstance(ledger.claim(key, 'h', later), request.Forgotten)


@given(st.text(max_size=220))
def test_any_text_is_parsed_or_refused(text):
    """The parser raises no exception for any key."""
    found = request.parse_key(text)
    assert found is None or found.text == text


def _claim_and_finish(ledger, count, now, name='k'):
    """Use so many keys for requests with small answers; return the last."""
    prefix = ledger.prefix(now)
    for number in range(count):
        key = request.parse_key(f'{prefix}{name}{number:0100}')
        if not isinstance(ledger.claim(key, 'h', now), request.Granted):
            return key
        body = f'{number:01000}'
        record = request.Record(200, (('a', 'b'),) * 5, body)
        ledger.finish(key, 'h', record)
    return key


def test_keys_of_many_minutes_take_bounded_memory():
    tracemalloc.start()
    try:
        ledger = request.ClaimLedger('e1', 'b1', 0.0, MAX_BYTES)
        first = _claim_and_finish(ledger, 1, 0.0, 'first')
        for minute in range(20):
            last = _claim_and_finish(ledger, 900, minute * 60.0)
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held < 2 * MAX_BYTES
    # The keys issued last are served; a key that was forgotten never runs.
    assert isinstance(ledger.claim(last, 'x', 1140.0), request.Finished)
    assert isinstance(ledger.claim(first, 'x', 1140.0), request.Forgotten)


def test_no_key_of_this_minute_is_forgotten_for_another():
    ledger = request.ClaimLedger('e1', 'b1', 0.0, MAX_BYTES)
    first = _claim_and_finish(ledger, 1, 0.0, 'first')
    refused = _claim_and_finish(ledger, 9_000, 0.0)
    assert isinstance(ledger.claim(refused, 'x', 1.0), request.NoRoom)
    assert isinstance(ledger.claim(first, 'x', 1.0), request.Finished)

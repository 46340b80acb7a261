"""Tests the cap of a shift, the rate of a link and the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from ebonypick import request
from standins import history

# Each step is the number of the deciding host, whether that host restarts
# first, and the share that the shift allows, in hundredths.
STEPS = st.lists(
    st.tuples(st.integers(0, 6), st.booleans(), st.integers(0, 30)),
    max_size=400,
)


@given(STEPS)
def test_shift_never_exceeds_cap_over_any_prefix_or_window(steps):
    """Hosts restart at any time and see different steps of the shift."""
    credits = {}
    decisions = []
    for host, restarts, hundredths in steps:
        if restarts or host not in credits:
            credits[host] = request.ShiftCredit()
        moved = credits[host].admit(hundredths / 100)
        decisions.append(history.Decision(str(host), moved, hundredths / 100))
    assert history.check_shift_cap(decisions, 0.30) == []


def test_shift_moves_nearly_the_whole_share():
    """The share is used, so moving no requests does not pass the tests."""
    credit = request.ShiftCredit()
    moved = sum(credit.admit(0.3) for _ in range(1000))
    assert 299 <= moved <= 300


def test_checker_detects_a_violated_cap():
    """The checker reports injected violations of the cap."""
    decisions = [history.Decision('a', True, 0.3)]
    assert history.check_shift_cap(decisions, 0.3)
    rows = [history.Decision('a', i % 3 == 2, 0.3) for i in range(30)]
    assert history.check_shift_cap(rows, 0.3)


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(0, 50_000)), max_size=100
    )
)
def test_link_never_carries_more_than_rate_and_burst(steps):
    """Bytes sent after the returned wait obey the rate in every window."""
    link = request.LinkBudget(bytes_per_s=100_000, burst_bytes=10_000)
    now = 0.0
    sent = []
    for gap_s, size in steps:
        now += gap_s
        wait_s = link.take(size, now)
        now += wait_s
        sent.append((now, size))
    for first in range(len(sent)):
        total = 0
        for at, size in sent[first:]:
            total += size
            span_s = at - sent[first][0]
            allowed = 100_000 * span_s + 10_000 + sent[first][1]
            assert total <= allowed + 1e-3


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_a_share_of_requests(steps):
    """Retries stay within a tenth of requests plus the initial balance."""
    budget = request.RetryBudget()
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.deposit()
            requests += 1
        else:
            retries += budget.take()
        assert retries <= 10 + 0.1 * requests + 1e-9

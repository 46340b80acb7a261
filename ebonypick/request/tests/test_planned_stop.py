"""Plays a planned stop with requests that take any time."""

import hypothesis
from hypothesis import strategies as st

from ebonypick import request

GRACE_S = 6.0
END_S = 5.6
# The users excuse a cut of a request that callers sent up to this time after
# the signal.
EXCUSED_S = 3.0
USUAL_S = 1.0

stops = st.floats(0.0, GRACE_S)
times = st.floats(0.01, 10.0)
plays = st.lists(st.tuples(stops, times, times), max_size=50)


@hypothesis.given(plays)
def test_no_late_request_that_is_passed_on_is_cut_off(requests):
    """Guards against late requests that run longer than the stop lasts.

    Each request is received at a time after the signal, has a deadline after
    that, and is answered after some time of work.
    """
    stop = request.PlannedStop(0.0, END_S)
    for received_s, time_s, work_s in requests:
        deadline = received_s + time_s
        ended = min(received_s + work_s, deadline)
        if received_s <= EXCUSED_S or received_s >= END_S:
            continue
        if stop.admits(received_s, deadline, USUAL_S, received_s):
            assert ended <= END_S


@hypothesis.given(stops, times)
def test_a_request_that_surely_ends_is_passed_on(received_s, time_s):
    stop = request.PlannedStop(0.0, END_S)
    if received_s + time_s <= END_S:
        deadline = received_s + time_s
        assert stop.admits(received_s, deadline, USUAL_S, received_s)


def test_an_early_request_is_passed_on_if_its_usual_time_fits_twice():
    stop = request.PlannedStop(0.0, END_S)
    assert stop.admits(1.0, 9.0, 1.0, 1.0)
    # The request is repeated later, when less time is left.
    assert stop.admits(1.0, 9.0, 1.0, 3.5)
    assert not stop.admits(1.0, 9.0, 1.0, 3.7)

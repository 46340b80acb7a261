"""Tests the outcomes of attempts and the rule for retries."""

import pytest

from ebonypick import request

# The outcome that each end of an attempt implies. A request has certainly not
# run only if the server says so or if nothing was sent.
OUTCOMES = {
    request.Result.DONE: request.Outcome.DONE,
    request.Result.SHED: request.Outcome.NOT_RUN,
    request.Result.CONNECT_FAILED: request.Outcome.NOT_RUN,
    request.Result.LOST: request.Outcome.UNKNOWN,
    request.Result.CANCELLED: request.Outcome.UNKNOWN,
}


@pytest.mark.parametrize('result', list(request.Result))
def test_each_result_implies_its_outcome(result):
    """Every result has an expected outcome."""
    assert result.outcome is OUTCOMES[result]


@pytest.mark.parametrize(
    ('method', 'key', 'outcome', 'again'),
    [
        ('GET', None, 'unknown', True),
        ('PUT', None, 'unknown', True),
        ('PUT', 'k', 'unknown', False),
        ('POST', None, 'unknown', False),
        ('POST', 'k', 'not-run', True),
        ('GET', None, 'done', False),
    ],
)
def test_which_requests_may_be_retried(method, key, outcome, again):
    """A key forbids a retry even if the method would allow it."""
    info = request.RequestInfo('r', 's', method, 1.0, key)
    found = request.may_send_again(info, request.Outcome(outcome))
    assert found is again

"""What may be said of a run, and what may be sent again."""

import pytest

from ebonypick import request

# What each end of an attempt allows to be said. Only a server's own word,
# or that nothing was sent, makes a request certainly not run.
OUTCOMES = {
    request.Result.DONE: request.Outcome.DONE,
    request.Result.SHED: request.Outcome.NOT_RUN,
    request.Result.CONNECT_FAILED: request.Outcome.NOT_RUN,
    request.Result.LOST: request.Outcome.UNKNOWN,
    request.Result.CANCELLED: request.Outcome.UNKNOWN,
}


@pytest.mark.parametrize('result', list(request.Result))
def test_outcome_of_each_end(result):
    """No end is left without a rule."""
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
def test_what_may_be_sent_again(method, key, outcome, again):
    """A key forbids a second run also where the method would allow it."""
    info = request.RequestInfo('r', 's', method, 1.0, key)
    found = request.may_send_again(info, request.Outcome(outcome))
    assert found is again

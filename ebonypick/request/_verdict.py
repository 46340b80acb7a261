"""Determines from an answer whether the server ran the request."""

import dataclasses

from ebonypick.request import _outcome

# Statuses which state that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a request was run, and the reason for the conclusion.

    Parameters
    ==========
    outcome : Outcome
        ``done`` if the answer may be passed on to the caller.
    why : str
        The reason, for logs.
    """

    outcome: _outcome.Outcome
    why: str


def judge(status, head):
    """Return whether an answer shows that its request was run.

    Explanation
    ===========
    A request counts as not run only if the server itself says so. An answer
    without the server's seal that reports a success, or that the request was
    not run, may come from another process. It is never passed on to the
    caller, and the outcome of the request is unknown.

    Examples
    ========
    >>> from ebonypick import request
    >>> judge(200, request.AnswerHead('r', sealed=True)).outcome.value
    'done'
    >>> judge(503, request.AnswerHead('r', not_run=True)).outcome.value
    'not-run'
    >>> judge(503, request.AnswerHead('r')).outcome.value
    'unknown'

    Parameters
    ==========
    status : int
        HTTP status of the answer.
    head : AnswerHead
        The parsed headers of the answer.

    Returns
    =======
    Verdict
    """
    if head.not_run:
        return Verdict(_outcome.Outcome.NOT_RUN, f'not run: {status}')
    if not head.sealed and (status in NOT_RUN_STATUSES or 200 <= status < 300):
        return Verdict(_outcome.Outcome.UNKNOWN, f'unsealed {status}')
    return Verdict(_outcome.Outcome.DONE, f'status {status}')

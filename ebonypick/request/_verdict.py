"""What a backend server's answer means for the request."""

import dataclasses

from ebonypick.request import _outcome

# Statuses by which an answer promises that nothing was run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a request was run, and why that is known.

    Parameters
    ==========
    outcome : Outcome
        ``done`` where the answer may go on to the caller.
    why : str
        For logs.
    """

    outcome: _outcome.Outcome
    why: str


def judge(status, head):
    """Return what an answer means.

    Explanation
    ===========
    Only the server's own word makes a request not run. A success or a
    promise without the server's proof may be anybody's, so it never goes on
    to the caller, and what became of the request is unknown.

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
        HTTP status.
    head : AnswerHead
        What the answer's headers say.

    Returns
    =======
    Verdict
    """
    if head.not_run:
        return Verdict(_outcome.Outcome.NOT_RUN, f'not run: {status}')
    if not head.sealed and (status in NOT_RUN_STATUSES or 200 <= status < 300):
        return Verdict(_outcome.Outcome.UNKNOWN, f'unsealed {status}')
    return Verdict(_outcome.Outcome.DONE, f'status {status}')

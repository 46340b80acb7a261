"""Outcomes of attempts, and the rule on which requests may be retried."""

import dataclasses
import enum

# Methods that may be retried unless the request has an idempotency key
# (RFC 9110, section 9.2.2).
IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})


class Outcome(enum.StrEnum):
    """Whether a backend server ran a request.

    Examples
    ========
    >>> Outcome('not-run') is Outcome.NOT_RUN
    True
    """

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Result(enum.StrEnum):
    """How an attempt at a backend server or an owner ended."""

    DONE = 'done'
    SHED = 'shed'
    CONNECT_FAILED = 'connect-failed'
    LOST = 'lost'
    CANCELLED = 'cancelled'

    @property
    def outcome(self):
        """The outcome that the end of the attempt implies."""
        if self is Result.DONE:
            return Outcome.DONE
        if self in (Result.SHED, Result.CONNECT_FAILED):
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN


@dataclasses.dataclass(frozen=True)
class RequestInfo:
    """The properties of a request that routing uses.

    Parameters
    ==========
    req : str
        The id, unique for each series of attempts.
    service : str
        The service that handles the request.
    method : str
        The HTTP method.
    deadline : float
        Monotonic time of the deadline in seconds.
    key : str or None
        The idempotency key, or None if the request has none.
    forwarded : bool
        Whether another entry host forwarded the request to this one.
    foreign : bool
        Whether the request comes from another region.
    """

    req: str
    service: str
    method: str
    deadline: float
    key: str | None = None
    forwarded: bool = False
    foreign: bool = False

    @property
    def idempotent(self):
        """Whether the request may run more than once."""
        return self.key is None and self.method in IDEMPOTENT_METHODS


def may_send_again(info, outcome):
    """Return whether a request may be retried after an outcome.

    Examples
    ========
    >>> info = RequestInfo('r', 'registry', 'POST', 1.0)
    >>> may_send_again(info, Outcome.NOT_RUN)
    True
    >>> may_send_again(info, Outcome.UNKNOWN)
    False
    """
    if outcome is Outcome.NOT_RUN:
        return True
    return outcome is Outcome.UNKNOWN and info.idempotent

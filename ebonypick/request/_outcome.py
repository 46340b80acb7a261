"""What is known about the run of a request, and what may be sent again."""

import dataclasses
import enum

# Methods that may be sent again while no idempotency key forbids it
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
        """The outcome of the attempt, as far as it is known."""
        if self is Result.DONE:
            return Outcome.DONE
        if self in (Result.SHED, Result.CONNECT_FAILED):
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN


@dataclasses.dataclass(frozen=True)
class RequestInfo:
    """What routing needs to know about a request.

    Parameters
    ==========
    req : str
        Its id, unique for each attempt chain.
    service : str
        The service that it is for.
    method : str
        The HTTP method.
    deadline : float
        On the monotonic clock, in seconds.
    key : str or None
        The idempotency key.
    passed : bool
        Whether another entry host routed it here.
    foreign : bool
        Whether it comes from another region.
    """

    req: str
    service: str
    method: str
    deadline: float
    key: str | None = None
    passed: bool = False
    foreign: bool = False

    @property
    def idempotent(self):
        """Whether it may run more than once."""
        return self.key is None and self.method in IDEMPOTENT_METHODS


def may_send_again(info, outcome):
    """Return whether a request may be sent again after an outcome.

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

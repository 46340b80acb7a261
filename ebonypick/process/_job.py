"""A request of a caller and the result of one attempt to serve it."""

import dataclasses
import functools
import time

from ebonypick import connection
from ebonypick import request

# Why an attempt is not sent after its connection has been opened.
MOVED_HOME = 'withheld: a new version moved the home of the route'


@dataclasses.dataclass(frozen=True)
class Job:
    """An accepted request; all of its attempts share it.

    Parameters
    ==========
    req : connection.CallerRequest
        The request as received.
    head : request.CallerHead
        The parsed headers of the request.
    cfg : version.TrafficConfig
        The configuration that applies to the request.
    route : version.Route
        The route of the request.
    service : str
        The service chosen by the weights of the route.
    body : RequestBody
        The body of the request.
    end_at : float
        The deadline of the request, in seconds of the monotonic clock.
    max_attempts : int
        Maximum number of backend servers to which it may be sent.
    relayed : bool
        Whether another entry host passed it on to this one.
    """

    req: object
    head: object
    cfg: object
    route: object
    service: str
    body: object
    end_at: float
    max_attempts: int
    relayed: bool = False

    @functools.cached_property
    def digest(self):
        """What identifies the request when a caller sends it again."""
        return request.fingerprint(
            self.req.method.encode(),
            self.head.host.encode(errors='surrogateescape'),
            self.req.target.encode(errors='surrogateescape'),
            self.head.caller.encode(errors='surrogateescape'),
            self.body.identity,
            str(self.req.content_length).encode(),
        )

    @property
    def object_key(self):
        """The object key of the request; None if its route is not sticky."""
        return self.head.object_key if self.route.sticky else None

    def regions(self, cfg):
        """Return the regions that may get the request; empty for all.

        A newer version than the one that accepted the request may have moved
        the homes of its route.

        Parameters
        ==========
        cfg : version.TrafficConfig
            The version in force.
        """
        route = cfg.find(self.head.host, self.req.path)
        return self.route.regions if route is None else route.regions

    def remaining_s(self):
        """Return the seconds left until the deadline."""
        return self.end_at - time.monotonic()


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The result of one attempt.

    Parameters
    ==========
    outcome : Outcome
        Whether the request was run.
    why : str
        The reason, for logs and error messages.
    response_started : bool
        Whether the caller has received the answer or the start of it.
    may_have_arrived : bool
        Whether the request may have reached the backend server.
    answer : connection.Answer or None
        The answer, if all of it has been read.
    body : bytes
        The body of the answer.
    failed : bool
        Whether the answer is a server error and another attempt may succeed.
    backend : str
        The backend server that gave the answer; empty if not known.
    """

    outcome: request.Outcome
    why: str
    response_started: bool = False
    may_have_arrived: bool = True
    answer: connection.Answer | None = None
    body: bytes = b''
    failed: bool = False
    backend: str = ''

    @property
    def final(self):
        """Whether this result is the final answer to the caller."""
        if self.failed:
            return False
        return self.response_started or self.answer is not None

"""Inputs and results of the choice of a backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request that needs a backend server.

    Parameters
    ==========
    service : str
        The service that handles the request.
    object_key : str or None
        The key of the object that it concerns, if servers cache such objects.
    regions : frozenset of str
        Regions whose servers may handle it; empty for all.
    priority : int
        Priority; 0 is the highest.
    remaining_s : float
        Time left until the deadline in seconds.
    tried : frozenset of str
        Instances to which it has already been sent.
    bulky : bool
        Whether its body is so long that its transfer costs more than a wait.
    objective_s : float
        Target latency of the service in seconds.
    """

    service: str
    object_key: str | None
    regions: frozenset
    priority: int
    remaining_s: float
    tried: frozenset = frozenset()
    bulky: bool = False
    objective_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Chosen:
    """The request is sent to this server.

    Parameters
    ==========
    entry : ServerEntry
        The server.
    why : str
        The rule that chose the server.
    on_hand : float
        Outstanding requests per slot of the server.
    report_age_s : float or None
        Age of the server's load report that was used, in seconds.
    limit_per_s : float or None
        The limit that the server named; None without one.
    passed_limited : bool
        Whether a server with a limit would have ranked before this one.
    """

    entry: object
    why: str
    on_hand: float
    report_age_s: float | None
    limit_per_s: float | None = None
    passed_limited: bool = False


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request is rejected and has not run.

    Parameters
    ==========
    reason : str
        ``no-server``, ``full``, ``cold``, ``late``, ``held-off`` or
        ``limited``.
    retry_after_s : float
        Seconds until a free slot is expected.
    passed_limited : bool
        Whether a server was passed over because of its limit.
    """

    reason: str
    retry_after_s: float
    passed_limited: bool = False


@dataclasses.dataclass(frozen=True)
class Ticket:
    """An outstanding request at a server, to be returned when it ends.

    Parameters
    ==========
    number : int
        Unique number of the ticket.
    instance : str
        The server.
    object_key : str or None
        The key of the object that the request concerns.
    sent_at : float
        Monotonic time in seconds.
    warm : bool
        Whether the server handled the object recently.
    load_factor : float
        Expected time of the answer as a multiple of the usual time.
    started_ms : int
        Start time of the server, in milliseconds since the epoch.
    limit_turn : int
        Turn of the limit of the server that was known at that time.
    paced : bool
        Whether the server had a limit at that time, which was respected.
    """

    number: int
    instance: str
    object_key: str | None
    sent_at: float
    warm: bool
    load_factor: float
    started_ms: int = 0
    limit_turn: int = 0
    paced: bool = False


@dataclasses.dataclass(frozen=True)
class LimitChange:
    """A change of the limit that a server names.

    Parameters
    ==========
    before_per_s, per_s : float or None
        Requests per second from all hosts; None without a limit.
    """

    before_per_s: float | None
    per_s: float | None


@dataclasses.dataclass(frozen=True)
class AnswerNews:
    """What an answer says of its server that this host did not know.

    Parameters
    ==========
    leaving_start_ms : int or None
        On the first notice that the server is leaving: its latest start that
        may have announced it, in milliseconds since the epoch.
    limit : LimitChange or None
        The change of its limit; None where the limit is as known.
    unreadable_limit : str or None
        A limit that cannot be read, unless the last one was the same.
    """

    leaving_start_ms: int | None = None
    limit: LimitChange | None = None
    unreadable_limit: str | None = None


@dataclasses.dataclass
class Candidates:
    """The servers for a request, and why others are left out.

    Parameters
    ==========
    usable : list of ServerState
        The servers that may get the request, best first.
    held_off : list of float
        Seconds until servers that asked for no requests may get some.
    limited : list of float
        Seconds until servers with a limit may get a request of this host;
        infinite where only other hosts send.
    cold : bool
        Whether there is a cold server to which only another host sends.
    """

    usable: list = dataclasses.field(default_factory=list)
    held_off: list = dataclasses.field(default_factory=list)
    limited: list = dataclasses.field(default_factory=list)
    cold: bool = False

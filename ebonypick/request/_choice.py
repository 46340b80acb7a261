"""What goes in and out of the choice of a backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request that needs a backend server.

    Parameters
    ==========
    service : str
        What should serve it.
    object_key : str or None
        What it concerns, where that decides who is fast at it.
    regions : frozenset of str
        Regions that may serve it; empty for all.
    priority : int
        Rank; 0 is the highest.
    remaining_s : float
        Time left for the answer.
    tried : frozenset of str
        Instances that it was sent to already.
    bulky : bool
        Whether its body is so long that distance costs more than a wait.
    objective_s : float
        Time within which an answer is worth most.
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
    """The request goes to this server.

    Parameters
    ==========
    entry : ServerEntry
        The server.
    why : str
        Which rule chose it.
    on_hand : float
        Work there for each slot, in requests.
    report_age_s : float or None
        Age of the server's own report that this rests on.
    """

    entry: object
    why: str
    on_hand: float
    report_age_s: float | None


@dataclasses.dataclass(frozen=True)
class Turned:
    """No server takes the request; it has not run.

    Parameters
    ==========
    reason : str
        ``no-server``, ``full``, ``cold``, ``late`` or ``held-off``.
    retry_after_s : float
        When room is expected.
    """

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request on its way to a server; for the owner to give back.

    Parameters
    ==========
    number : int
        Tells tickets apart.
    instance : str
        The server.
    object_key : str or None
        What the request concerns.
    sent_at : float
        Monotonic time in seconds.
    warm : bool
        Whether the server handled the object lately.
    turns : float
        Times of usual work until the answer is expected.
    started_ms : int
        The server's start that it went to, in milliseconds since the epoch.
    """

    number: int
    instance: str
    object_key: str | None
    sent_at: float
    warm: bool
    load_factor: float
    started_ms: int = 0

"""Inputs and results of an owner of slots."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerSettings:
    """The settings by which an owner assigns the slots of a service.

    Parameters
    ==========
    queue_wait_s : float
        Longest expected wait for a slot with which a request is queued.
    service_s : float
        Assumed time of a request on a slot until it has been measured.
    warm_s : float
        Time until a cold backend server may use all its slots.
    reserve_share : float
        Share of the slots that requests of other regions may not use.
    """

    queue_wait_s: float = 2.0
    service_s: float = 0.01
    warm_s: float = 10.0
    reserve_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Offer:
    """A request that needs a slot.

    Parameters
    ==========
    req : str
        The id of the request.
    deadline : float
        Monotonic time of the deadline in seconds.
    foreign : bool
        Whether the request comes from another region.
    planned : bool
        Whether a shift moved it from another region. Such a request may use
        the reserve, but is never queued.
    avoid : frozenset of str
        Backend servers that are used only if no other has a free slot.
    """

    req: str
    deadline: float
    foreign: bool = False
    planned: bool = False
    avoid: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Placed:
    """The request has been assigned a slot of a backend server."""

    req: str
    backend: str
    waited_s: float


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request waits for a slot."""

    req: str
    wait_s: float


@dataclasses.dataclass(frozen=True)
class NoSlot:
    """The request gets no slot from this owner and has not run."""

    req: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Load:
    """The load that an owner reports to other entry hosts."""

    free: int
    queued: int
    capacity: int


@dataclasses.dataclass(frozen=True)
class Report:
    """The state that a backend server reports; it may be late or wrong."""

    busy: int
    slots: int
    leaving: bool = False
    cold: bool = False

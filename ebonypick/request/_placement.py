"""What goes in and out of an owner of slots."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerSettings:
    """How an owner treats the slots of a service.

    Parameters
    ==========
    queue_wait_s : float
        Longest expected wait for a slot.
    service_s : float
        Usual time of a request on a slot, until it has been measured.
    warm_s : float
        Time in which a cold backend server gets all its slots.
    reserve_share : float
        Share of the slots that requests of other regions may not use.
    """

    queue_wait_s: float = 2.0
    service_s: float = 0.01
    warm_s: float = 10.0
    reserve_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Offer:
    """A request that asks for a slot.

    Parameters
    ==========
    req : str
        Its id.
    deadline : float
        On the clock of ``now``, in seconds.
    foreign : bool
        Whether it comes from another region.
    planned : bool
        Whether a shift brings it from there: then the reserve does not
        hold it off, but it never waits in the queue either.
    avoid : frozenset of str
        Backend servers that it gets only where no other is free.
    """

    req: str
    deadline: float
    foreign: bool = False
    planned: bool = False
    avoid: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Placed:
    """The request has a slot of a backend server."""

    req: str
    backend: str
    waited_s: float


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request waits for a slot."""

    req: str
    wait_s: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request gets no slot here; nothing was run."""

    req: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Load:
    """What an owner has left, as told to other entry hosts."""

    free: int
    queued: int
    capacity: int


@dataclasses.dataclass(frozen=True)
class Report:
    """What a backend server says of itself; it may lag or mislead."""

    busy: int
    slots: int
    leaving: bool = False
    cold: bool = False

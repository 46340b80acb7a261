"""Records of the requests at a stand-in server, and its faults."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamRun:
    """One execution of a request, recorded by the server.

    Parameters
    ==========
    req : str
        Attempt id that the sender chose.
    instance, service : str
        Instance and service of the server.
    target, method, digest : str
        Request target, method, and SHA-256 of the body.
    at : float
        Monotonic time of the start.
    ended : bool
        Whether the execution completed.
    """

    req: str
    instance: str
    service: str
    target: str
    method: str
    digest: str
    at: float
    ended: bool = False


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached the server, executed or not.

    Parameters
    ==========
    req, instance : str
        Attempt id that the sender chose, and instance of the server.
    source : str
        IP address of the sender.
    at : float
        Monotonic time of arrival.
    cold : bool
        Whether the server reported at that time that it is warming up.
    misdirected : bool
        Whether the request expected another instance and got 421.
    started_at : float
        Monotonic time of the server's start.
    """

    req: str
    instance: str
    source: str
    at: float
    cold: bool
    misdirected: bool
    started_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class HoldOff:
    """A 503 answer during a hold-off, in which a host must not send.

    Parameters
    ==========
    source : str
        IP address of the host.
    instance : str
        Instance of the server.
    at, until : float
        Monotonic times of the answer and of the end of the hold-off.
    """

    source: str
    instance: str
    at: float
    until: float


@dataclasses.dataclass
class UpstreamFaults:
    """Faults that tests inject: how many further requests each one hits."""

    extra: int = 0
    extra_late: int = 0
    foreign: int = 0
    cut: int = 0
    reset: int = 0
    unframed: int = 0
    early: int = 0
    shed: int = 0
    # Rejections after the head of the request, and after its whole body with
    # status 421.
    shed_early: int = 0
    misdirect: int = 0
    hang: int = 0
    garbage: int = 0
    fail: int = 0
    stall: int = 0
    # Targets whose requests crash the server once it has begun to run them.
    deadly: frozenset = frozenset()
    # Key of ``upstream.ENDLESS`` that each answer uses; empty for none.
    endless: str = ''

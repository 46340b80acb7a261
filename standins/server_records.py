"""What a stand-in server records of its requests, and its faults."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamRun:
    """One run of a request, as the server saw it.

    Parameters
    ==========
    req : str
        The caller's id.
    instance, service : str
        Who ran it.
    target, method, digest : str
        What was asked; the digest is the body's.
    at : float
        Monotonic time at which it began.
    ended : bool
        Whether it ran to its end.
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
    """A request that reached the server, whether it ran or not.

    Parameters
    ==========
    req, instance : str
        The caller's id, and who the server was.
    source : str
        IP number that sent it.
    at : float
        Monotonic time.
    cold : bool
        Whether the server said then that it is cold.
    misdirected : bool
        Whether it named another instance, so that it was refused.
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
    """A refusal that asked a host to send nothing for a while.

    Parameters
    ==========
    source : str
        IP number of the host.
    instance : str
        Who the server was.
    at, until : float
        Monotonic times.
    """

    source: str
    instance: str
    at: float
    until: float


@dataclasses.dataclass
class UpstreamFaults:
    """Faults on request; each counts the requests that it still hits."""

    extra: int = 0
    extra_late: int = 0
    foreign: int = 0
    cut: int = 0
    reset: int = 0
    unframed: int = 0
    early: int = 0
    shed: int = 0
    hang: int = 0
    garbage: int = 0
    fail: int = 0
    stall: int = 0
    # The kind of ENDLESS with which each answer begins.
    endless: str = ''

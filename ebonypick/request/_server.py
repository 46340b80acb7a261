"""What is known of a backend server, and what requests and answers say."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """A backend server as it registered itself.

    Parameters
    ==========
    instance : str
        Names one start of the server, or several that share the name.
    service : str
        What it serves.
    address : (str, int)
        IP number and TCP port.
    data_centre : str
        Where it stands.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it is leaving.
    warmup_left_s : float
        How long it stays cold, from the moment of the registration.
    started_ms : int
        Milliseconds since the epoch at its start; 0 where not told.
    sequence : int
        Grows with each registration since its start. Two entries that differ
        in it alone are equal.
    """

    instance: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    started_ms: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)

    @property
    def order(self):
        """Sorts registrations of one instance by age."""
        return (self.started_ms, self.sequence)


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What a backend server says of its load beside an answer.

    Parameters
    ==========
    running, waiting, slots : int
        Requests on slots, requests in its queue, and slots.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class CallerHead:
    """What a caller's headers say of a request.

    Parameters
    ==========
    req : str or None
        The caller's id of this attempt.
    host : str
        The host that it asks for.
    deadline_s : float or None
        How long the caller will wait.
    object_key : str or None
        What the request concerns; equal for equal objects.
    """

    req: str | None
    host: str
    deadline_s: float | None
    object_key: str | None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What a backend server's headers say of an answer.

    Parameters
    ==========
    req : str or None
        The request that it answers.
    not_run : bool
        Whether the server states that it did not run the request.
    other_instance : bool
        Whether another instance has the address now.
    sealed : bool
        Whether it bears the server's proof that it ran the request.
    load : LoadReport or None
        Its load.
    warmup_left_s : float or None
        How long it stays cold.
    leaving : bool
        Whether it says that it leaves.
    hold_off_s : float
        How long it wants nothing from this host.
    """

    req: str | None
    not_run: bool = False
    other_instance: bool = False
    sealed: bool = False
    load: LoadReport | None = None
    warmup_left_s: float | None = None
    leaving: bool = False
    hold_off_s: float = 0.0

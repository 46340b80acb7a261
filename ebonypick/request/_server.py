"""Registrations of backend servers, and headers of requests and answers."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """A backend server as it registered itself.

    Parameters
    ==========
    instance : str
        Name of one start of the server, or of several starts that share it.
    service : str
        The service that it runs.
    address : (str, int)
        IP number and TCP port.
    data_centre : str
        The data centre of the server.
    slots : int
        Requests that it runs concurrently.
    draining : bool
        Whether it is leaving.
    warmup_left_s : float
        Time in seconds that it stays cold after the registration.
    started_ms : int
        Its start in milliseconds since the epoch; 0 if not reported.
    sequence : int
        Increases with each registration since the start. It is ignored when
        two entries are compared.
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
        """Sort key of the registrations of one instance, by age."""
        return (self.started_ms, self.sequence)


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load that a backend server reports along with an answer.

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
    """The routing information in the headers of a request.

    Parameters
    ==========
    req : str or None
        The caller's id of this attempt.
    host : str
        The requested host name.
    deadline_s : float or None
        Time in seconds that the caller will wait.
    object_key : str or None
        The key of the object that the request concerns.
    caller : str
        What the caller identifies itself by; empty where it does not.
    """

    req: str | None
    host: str
    deadline_s: float | None
    object_key: str | None
    caller: str = ''


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The information in the headers of a backend server's answer.

    Parameters
    ==========
    req : str or None
        The request that it answers.
    not_run : bool
        Whether the server states that it did not run the request.
    other_instance : bool
        Whether another instance has the address now.
    sealed : bool
        Whether the answer carries the server's proof that it ran the request.
    load : LoadReport or None
        The load of the server.
    warmup_left_s : float or None
        Time in seconds that the server stays cold.
    leaving : bool
        Whether the server announces that it is leaving.
    hold_off_s : float
        Time in seconds for which the server wants no requests from this host.
    limit_per_s : float or None
        Requests per second that the server accepts from all hosts together;
        None if it names no limit.
    unreadable_limit : str or None
        The text of a limit that cannot be read, which says nothing about the
        limit in force.
    """

    req: str | None
    not_run: bool = False
    other_instance: bool = False
    sealed: bool = False
    load: LoadReport | None = None
    warmup_left_s: float | None = None
    leaving: bool = False
    hold_off_s: float = 0.0
    limit_per_s: float | None = None
    unreadable_limit: str | None = None

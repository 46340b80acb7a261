"""Deployments and faults for the simulation of object requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests with the same properties.

    Parameters
    ==========
    name : str
        Name of the class; it is the first part of the object keys.
    idempotent : bool
        Whether a request may be executed twice.
    share : float
        Share of this class in all requests.
    work_s : float
        Mean service time in seconds if the object is not cached.
    objective_s, timeout_s, deadline_s : float
        Seconds within which an answer has its full value, after which the
        host gives up an attempt, and after which the caller gives up.
    worth, late_worth : float
        Value of an answer within the objective and after it.
    objects : int
        Number of objects of each region; all of its callers request them.
    priority : int
        Priority; 0 is the highest.
    bulky : bool
        Whether request bodies are large.
    burst : int
        Number of pipelined requests that a caller sends at once.
    """

    name: str
    idempotent: bool
    share: float
    work_s: float
    objective_s: float
    timeout_s: float
    deadline_s: float
    worth: float
    late_worth: float
    objects: int
    priority: int
    bulky: bool = False
    burst: int = 1


@dataclasses.dataclass(frozen=True)
class ObjectSite:
    """A deployment with one service.

    Parameters
    ==========
    servers : tuple of int
        For each region, the number of servers in each of its two data
        centres.
    slots, queue : int
        Number of slots and length of the queue of each server.
    cached_objects : int
        Number of objects that a server caches.
    inter_region_delay_s : float
        One-way delay between regions in seconds.
    classes : tuple of RequestClass
        The requests that callers send.
    warm_share : float
        Service time for a cached object as a share of the full time.
    spread : float
        Standard deviation of the logarithm of the service time.
    """

    servers: tuple[int, ...]
    slots: int
    queue: int
    cached_objects: int
    inter_region_delay_s: float
    classes: tuple[RequestClass, ...]
    warm_share: float = 0.3
    spread: float = 0.15


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault of a part of the servers for a limited time.

    Parameters
    ==========
    at, until : float
        Start and end in virtual seconds.
    part : float
        Share of the servers that have the fault.
    slow : float
        Factor by which their service times are longer.
    mode : str
        ``slow``: the servers only take longer. ``leaving``: their answers
        announce that they leave. ``held-off``: they reject all requests and
        ask for none until the end. ``shedding``: they reject a part of the
        requests although slots are free. ``limited``: they name a limit of
        requests per second, and serve what they get.
    shed_part : float
        Share of the requests that a shedding server rejects.
    limit_per_s : float
        Limit that a limited server names, for all hosts together.
    """

    at: float
    until: float
    part: float
    slow: float = 1.0
    mode: str = 'slow'
    shed_part: float = 0.0
    limit_per_s: float = 0.0


SITES = {
    'latency': ObjectSite(
        servers=(1, 4, 5),
        slots=3,
        queue=9,
        cached_objects=28,
        inter_region_delay_s=0.055,
        classes=(
            RequestClass(
                'look-up', True, 0.65, 0.88, 0.6, 1.5, 4.0, 1, 0.2, 24, 2
            ),
            RequestClass(
                'action', False, 0.35, 1.16, 0.8, 2.0, 6.0, 2, 0.4, 24, 1
            ),
        ),
    ),
    # An uncached object meets the objective only from the same region.
    'catalogue': ObjectSite(
        servers=(1, 2, 3),
        slots=3,
        queue=9,
        cached_objects=27,
        inter_region_delay_s=0.055,
        classes=(
            RequestClass(
                'look-up', True, 1.0, 0.36, 0.4, 1.0, 2.0, 1, 0.2, 26, 2
            ),
        ),
    ),
    'uploads': ObjectSite(
        servers=(1, 3, 4),
        slots=3,
        queue=9,
        cached_objects=11,
        inter_region_delay_s=0.055,
        classes=(
            RequestClass(
                'upload',
                False,
                1.0,
                1.04,
                1.02,
                6.3,
                6.4,
                2,
                0.4,
                28,
                1,
                bulky=True,
            ),
        ),
    ),
    'pipelined': ObjectSite(
        servers=(2, 3, 1),
        slots=3,
        queue=9,
        cached_objects=27,
        inter_region_delay_s=0.055,
        classes=(
            RequestClass(
                'stock',
                True,
                1.0,
                0.36,
                0.4,
                1.0,
                2.0,
                1,
                0.2,
                26,
                2,
                burst=4,
            ),
        ),
    ),
    'headroom': ObjectSite(
        servers=(5, 5, 1),
        slots=6,
        queue=18,
        cached_objects=42,
        inter_region_delay_s=0.012,
        classes=(
            RequestClass(
                'read', True, 0.64, 0.48, 0.3, 1.2, 2.5, 1, 0.2, 47, 2
            ),
            RequestClass(
                'commit', False, 0.36, 0.64, 0.4, 1.5, 3.0, 2, 0.4, 27, 1
            ),
        ),
    ),
}

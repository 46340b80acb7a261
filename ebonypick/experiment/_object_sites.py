"""Deployments and troubles for plays of objects."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """Requests of one kind.

    Parameters
    ==========
    name : str
        For tables.
    idempotent : bool
        Whether a request may run twice.
    share : float
        Part of all requests.
    work_s : float
        Mean work without a warm object.
    objective_s, timeout_s, deadline_s : float
        When an answer is worth most, when the host gives up, and when the
        caller does.
    worth, late_worth : float
        Of an answer within the objective and after it.
    objects : int
        Objects of each region, that all of its callers ask for.
    priority : int
        Rank; 0 is the highest.
    bulky : bool
        Whether bodies are long.
    together : int
        Requests that a caller sends at once, the next before an answer.
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
    together: int = 1


@dataclasses.dataclass(frozen=True)
class ObjectSite:
    """A deployment with one service.

    Parameters
    ==========
    regions : int
        Regions, each with two data centres.
    servers : tuple of int
        Servers in each data centre of a region.
    slots, queue : int
        Of each server.
    remembers : int
        Objects that a server remembers.
    between_s : float
        One-way delay between regions.
    classes : tuple of RequestClass
        What callers send.
    warm_share : float
        Work about a remembered object, as a part of the whole.
    """

    servers: tuple[int, ...]
    slots: int
    queue: int
    remembers: int
    between_s: float
    classes: tuple[RequestClass, ...]
    warm_share: float = 0.3
    spread: float = 0.15


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A part of the servers that misbehaves for a while.

    Parameters
    ==========
    at, until : float
        Virtual times in seconds.
    part : float
        Of the servers.
    slow : float
        How many times as long their work takes.
    how : str
        ``slow``; ``leaving`` where they say in their answers that they leave;
        ``held-off`` where they refuse until its end, and say so; ``shedding``
        where they turn away a part of the requests though they have room.
    shed_part : float
        Of the requests at a server that sheds.
    """

    at: float
    until: float
    part: float
    slow: float = 1.0
    how: str = 'slow'
    shed_part: float = 0.0


SITES = {
    'latency': ObjectSite(
        servers=(1, 4, 5),
        slots=3,
        queue=9,
        remembers=28,
        between_s=0.055,
        classes=(
            RequestClass(
                'look-up', True, 0.65, 0.88, 0.6, 1.5, 4.0, 1, 0.2, 24, 2
            ),
            RequestClass(
                'action', False, 0.35, 1.16, 0.8, 2.0, 6.0, 2, 0.4, 24, 1
            ),
        ),
    ),
    # A first answer is in time in the own region, not from another one.
    'catalogue': ObjectSite(
        servers=(1, 2, 3),
        slots=3,
        queue=9,
        remembers=27,
        between_s=0.055,
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
        remembers=11,
        between_s=0.055,
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
        remembers=27,
        between_s=0.055,
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
                together=4,
            ),
        ),
    ),
    'headroom': ObjectSite(
        servers=(5, 5, 1),
        slots=6,
        queue=18,
        remembers=42,
        between_s=0.012,
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

"""Checks that servers get no more requests than the limits that they named."""

import dataclasses

# The users' bound: some time after a server first named a limit, the hosts
# that know it send at most 1.5 times what it allows in any window, and some
# requests more. A host knows it some time after its first such answer.
CONTACT_S = 4.0
WINDOW_S = 4.0
FACTOR, EXTRA = 1.5, 5
KNOWN_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """A limit that a server names from a time on.

    Parameters
    ==========
    instance : str
        Instance of the server.
    at : float
        Monotonic time in seconds.
    per_s : float or None
        Requests per second from all hosts together; None withdraws the limit.
    """

    instance: str
    at: float
    per_s: float | None


def allowed(named, start, end):
    """Return how many requests the limits in a window allow.

    Examples
    ========
    >>> named = [NamedLimit('i', 0.0, 2.0), NamedLimit('i', 6.0, 1.0)]
    >>> allowed(named, 4.0, 8.0)
    14.0

    Parameters
    ==========
    named : list of NamedLimit
        The limits of one instance in the order of their times.
    start, end : float
        The window, in which the instance names a limit all the time.
    """
    total = 0.0
    for row, until in zip(named, [*(r.at for r in named[1:]), float('inf')]):
        span_s = min(end, until) - max(start, row.at)
        if span_s > 0:
            total += row.per_s * span_s
    return FACTOR * total + EXTRA


def breaches(named, arrivals, told):
    """Return a sentence for each window over the bound.

    Parameters
    ==========
    named : list of NamedLimit
        The limits of one instance in the order of their times.
    arrivals : list of (float, str)
        Time and sending host of each request at the instance.
    told : dict of str to float
        Time at which each host passed on the first answer with a limit.

    Returns
    =======
    list of str
    """
    found = []
    for start, end in _periods(named):
        rows = [row for row in named if start <= row.at < end]
        times = sorted(
            at
            for at, host in arrivals
            if start <= at < end and at >= told.get(host, at) + KNOWN_AFTER_S
        )
        for last in times:
            if last < start + CONTACT_S:
                continue
            count = sum(last - WINDOW_S < at <= last for at in times)
            bound = allowed(rows, last - WINDOW_S, last)
            if count > bound:
                found.append(
                    f'{rows[0].instance}: {count} requests in {WINDOW_S} s '
                    f'for {bound:.1f} allowed'
                )
    return found


def _periods(named):
    """Return start and end of each time in which a limit was named."""
    found = []
    start = None
    for row in named:
        if row.per_s is not None and start is None:
            start = row.at
        elif row.per_s is None and start is not None:
            found.append((start, row.at))
            start = None
    if start is not None:
        found.append((start, float('inf')))
    return found

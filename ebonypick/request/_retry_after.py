"""Computes the Retry-After time of a request that was not run.

Load: more requests than slots, and servers that shed some requests although
they have free slots. A caller retries once: too early it finds no free slot,
and too late the answer misses its deadline.
"""

# This is about the time in which one request ends.
MIN_RETRY_AFTER_S = 0.4
MAX_RETRY_AFTER_S = 2.0
# A server with free slots may accept the next request. A caller needs about
# this time to make a new connection.
RECONNECT_S = 0.05


def after_full_s(excess, work_s):
    """Return the time until the home server of an object accepts requests.

    Examples
    ========
    >>> after_full_s(3.0, 0.5), after_full_s(0.0, 0.5)
    (1.75, 0.4)

    Parameters
    ==========
    excess : float
        Requests per slot beyond the load that the home server accepts.
    work_s : float
        Usual time of a request in seconds.
    """
    wait_s = max(0.0, excess + 0.5) * work_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def after_shed_s(load, work_s):
    """Return the time until a server that shed a request accepts requests.

    Examples
    ========
    >>> after_shed_s(0.7, 0.5), after_shed_s(4.0, 0.5)
    (0.05, 1.75)

    Parameters
    ==========
    load : float
        Outstanding requests per slot of the server.
    work_s : float
        Usual time of a request in seconds.
    """
    if load < 1.0:
        return RECONNECT_S
    return after_full_s(load - 1.0, work_s)


def after_limited_s(wait_s):
    """Return the time until a server with a limit accepts a request.

    Examples
    ========
    >>> after_limited_s(0.1), after_limited_s(1.5), after_limited_s(60.0)
    (0.4, 1.5, 2.0)

    Parameters
    ==========
    wait_s : float
        Seconds until this host may send to such a server.
    """
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

"""Says when a caller whose request was not run may come back.

Load: more work than slots, and servers that turn some requests away though
they have room. A caller comes back once; too soon it finds no room, and too
late its answer is late.
"""

# About the time in which one request ends.
LEAST_S = 0.4
MOST_S = 2.0
# A server with free slots may take the next request; a caller needs about so
# long to make a new connection.
ROOM_S = 0.05


def after_full_s(excess, work_s):
    """Return the time until the home of an object has room again.

    Examples
    ========
    >>> after_full_s(3.0, 0.5), after_full_s(0.0, 0.5)
    (1.75, 0.4)

    Parameters
    ==========
    excess : float
        Requests for each slot beyond what the home takes.
    work_s : float
        Usual time of a request in seconds.
    """
    wait_s = max(0.0, excess + 0.5) * work_s
    return min(MOST_S, max(LEAST_S, wait_s))


def after_shed_s(on_hand, work_s):
    """Return the time until a server that turned a request away has room.

    Examples
    ========
    >>> after_shed_s(0.7, 0.5), after_shed_s(4.0, 0.5)
    (0.05, 1.75)

    Parameters
    ==========
    on_hand : float
        Requests there for each slot.
    work_s : float
        Usual time of a request in seconds.
    """
    if on_hand < 1.0:
        return ROOM_S
    return after_full_s(on_hand - 1.0, work_s)

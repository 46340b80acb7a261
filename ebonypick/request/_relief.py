"""Moves requests away from an overloaded home server of an object.

Load: a few objects, unevenly placed, and traffic that moves from region to
region, so that some home servers have twice the work of others. A request
waits at a busy home server although a server with free slots may have cached
the object too. If a server that has not cached the object still answers in
time, another server is made to cache it before the home server is full.
"""

# Outstanding requests per slot from which a request waits at the home server.
QUEUEING_LOAD = 1.0
# Another server is preferred only if its load is lower by at least this many
# requests per slot, because the known load from other hosts' requests is as
# old as the last answers.
MIN_LOAD_DIFFERENCE = 0.3
# Outstanding requests per slot at the home server above which another server
# gets the object: a third of the requests at the home server wait then.
MIN_SPREAD_LOAD = 1.3
# The other server must have a lower load than this, as the first answer about
# an object takes long.
MAX_SPREAD_TARGET_LOAD = 0.5
# Only the next servers in the ranking of the object may get it, so that all
# entry hosts choose the same ones.
MAX_SPREAD_SERVERS = 3


def choose(home, others, object_key, cold_in_time, now):
    """Return the server that handles a request instead of the home server.

    Parameters
    ==========
    home : ServerState
        The home server of the object.
    others : list of ServerState
        Other eligible servers, in the order of the object's ranking.
    object_key : str
        The key of the object.
    cold_in_time : bool
        Whether a server that has not cached the object answers in time.
    now : float
        Monotonic time in seconds.

    Returns
    =======
    ServerState or None
        None if the home server is not busy or no other server is better.
    """
    load = home.load_per_slot(now)
    if load < QUEUEING_LOAD:
        return None
    limit = min(QUEUEING_LOAD, load - MIN_LOAD_DIFFERENCE)
    warm = [
        server
        for server in others
        if server.load_per_slot(now) < limit
        and server.health.has_cached(object_key, now)
    ]
    if warm:
        return min(warm, key=lambda server: server.load_per_slot(now))
    if cold_in_time and load > MIN_SPREAD_LOAD:
        for server in others[:MAX_SPREAD_SERVERS]:
            if server.load_per_slot(now) < MAX_SPREAD_TARGET_LOAD:
                return server
    return None

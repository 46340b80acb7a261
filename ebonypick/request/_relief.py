"""Takes requests off the home of an object that has more work than slots.

Load: few objects, unevenly placed, and traffic that swings from region to
region, so that some homes have twice the work of others. What arrives at a
busy home waits, though a server with free slots may remember the object too.
Where even the first answer about an object is in time, another server learns
it before the home is full.
"""

# From one request a slot on, what arrives at the home waits.
WAITS_FROM = 1.0
# By so much less work for each slot another server is the better one: what is
# known of others' requests is as old as the last answers.
CLEARLY_LESS = 0.3
# Work for each slot at the home from which another server learns the object:
# a third of the requests there wait.
TEACH_FROM = 1.3
# And up to which that one has idle slots, as a first answer takes long.
LEARNS_BELOW = 0.5
# The servers that may learn it are the next ones of its ranking, so that all
# hosts teach the same ones.
LEARNERS_MOST = 3


def choose(home, others, object_key, teaches, now):
    """Return the server that takes a request in place of its home.

    Parameters
    ==========
    home : ServerState
        The home of the request's object.
    others : list of ServerState
        Other servers that may take it, by the object's ranking.
    object_key : str
        The object.
    teaches : bool
        Whether a first answer about an object is in time.
    now : float
        Monotonic time in seconds.

    Returns
    =======
    ServerState or None
        None where the home is not busy, or no other server is better.
    """
    load = home.on_hand(now)
    if load < WAITS_FROM:
        return None
    limit = min(WAITS_FROM, load - CLEARLY_LESS)
    warm = [
        server
        for server in others
        if server.on_hand(now) < limit
        and server.health.remembers(object_key, now)
    ]
    if warm:
        return min(warm, key=lambda server: server.on_hand(now))
    if teaches and load > TEACH_FROM:
        for server in others[:LEARNERS_MOST]:
            if server.on_hand(now) < LEARNS_BELOW:
                return server
    return None

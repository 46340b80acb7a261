"""Chooses the entry host that takes a request in place of this one.

Load: all callers of hosts that are cut off from the backend servers. The hosts
that reach servers share them evenly, near ones first: the path between two
hosts is part of each answer, and hosts of a region send the requests for an
object to the same server.
"""


def choose_relay_host(hosts, data_centre, regions, allowed, pending, rng):
    """Return the entry host to pass a request to, or None.

    Examples
    ========
    >>> import random
    >>> hosts = {'a1': ('h1',), 'a2': ('h2',), 'b1': ('h3',)}
    >>> regions = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
    >>> rng = random.Random(0)
    >>> choose_relay_host(hosts, 'a1', regions, frozenset(), {}, rng)
    'h1'
    >>> choose_relay_host(hosts, 'a1', regions, frozenset('b'), {}, rng)
    'h3'

    Parameters
    ==========
    hosts : dict of str to tuple of str
        The hosts that may take it, by data centre.
    data_centre : str
        The data centre of this host.
    regions : dict of str to str
        The region of each data centre.
    allowed : frozenset of str
        Regions whose hosts may see the request; empty for all.
    pending : dict of str to int
        This host's unanswered requests at each of them.
    rng : random.Random
        Chooses among hosts that are equally near.
    """
    tiers = ([], [], [])
    region = regions.get(data_centre)
    for centre, names in hosts.items():
        if allowed and regions.get(centre) not in allowed:
            continue
        if centre == data_centre:
            tiers[0].extend(names)
        elif regions.get(centre) == region:
            tiers[1].extend(names)
        else:
            tiers[2].extend(names)
    nearest = next(filter(None, tiers), None)
    if nearest is None:
        return None
    # The better of two random ones spreads almost as evenly as the best of
    # all, and hosts with the same view do not all choose the same one.
    found = rng.sample(nearest, min(2, len(nearest)))
    return min(found, key=lambda name: pending.get(name, 0))

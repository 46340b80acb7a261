"""Selects the entry hosts that look-ups name to callers.

Load: hosts with links of very different capacity. Callers choose among the
named hosts at random, so that a host with a narrow link would get as many
requests as one with a wide link. A body of some hundred kilobytes delays all
other bodies queued on a narrow link.
"""

# A host whose capacity is below this share of the largest in its region gets
# no callers as long as the largest is live: a single caller would use as much
# of its link as all callers of such hosts should.
MIN_SHARE_OF_LARGEST = 0.25


def serving_hosts(hosts, regions):
    """Return the hosts to name to callers, by data centre.

    Examples
    ========
    >>> hosts = {'a1': {'h1': 100, 'h2': 10}, 'b1': {'h3': 10}}
    >>> serving_hosts(hosts, {'a1': 'a', 'b1': 'b'})
    {'a1': ('h1',), 'b1': ('h3',)}

    Parameters
    ==========
    hosts : dict of str to dict of str to float
        The live hosts of each data centre, with their capacities relative
        to each other.
    regions : dict of str to str
        The region of each data centre.
    """
    largest = {}
    for centre, found in hosts.items():
        region = regions.get(centre)
        for capacity in found.values():
            largest[region] = max(capacity, largest.get(region, 0))
    chosen = {}
    for centre, found in hosts.items():
        min_capacity = MIN_SHARE_OF_LARGEST * largest.get(
            regions.get(centre), 0
        )
        names = tuple(sorted(n for n, c in found.items() if c >= min_capacity))
        if names:
            chosen[centre] = names
    return chosen

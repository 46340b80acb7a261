"""Selects the entry hosts that look-ups name to callers.

Load: hosts with links of very different capacity. Callers choose among the
named hosts at random, so that a host with a narrow link would get as many
requests as one with a wide link. A body of some hundred kilobytes delays all
other bodies queued on a narrow link.

Load: all hosts with wide links of a region are stopped or lost together. The
narrow links of the others do not carry the region's callers, while hosts of
other regions have room.
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


def hosts_for_callers(live, listed, regions, region, may_leave):
    """Return the hosts to name to callers of a region, near ones first.

    Explanation
    ===========
    Hosts of other regions are named where the region has none, and beside its
    own where none of these has a link like its widest listed host. Callers
    choose among all at random, so that the narrow links get a part of them.

    Examples
    ========
    >>> listed = {'a1': {'h1': 100, 'h2': 10}, 'b1': {'h3': 100, 'h4': 10}}
    >>> regions = {'a1': 'a', 'b1': 'b'}
    >>> live = {'a1': {'h2': 10}, 'b1': {'h3': 100, 'h4': 10}}
    >>> hosts_for_callers(listed, listed, regions, 'a', lambda region: True)
    ('h1',)
    >>> hosts_for_callers(live, listed, regions, 'a', lambda region: True)
    ('h2', 'h3')
    >>> hosts_for_callers(live, listed, regions, 'a', lambda region: False)
    ('h2',)

    Parameters
    ==========
    live, listed : dict of str to dict of str to float
        The hosts that can serve and all listed ones, by data centre, with
        their capacities relative to each other.
    regions : dict of str to str
        The region of each data centre.
    region : str
        The region of the callers.
    may_leave : callable
        Returns whether the callers' requests may be sent to hosts of another
        region while their own region has hosts.
    """
    serving = serving_hosts(live, regions)
    near = [
        name
        for centre, names in serving.items()
        if regions.get(centre) == region
        for name in names
    ]
    far = [
        (centre, name)
        for centre, names in serving.items()
        if regions.get(centre) != region
        for name in names
    ]
    if not near:
        return tuple(name for _, name in far)
    wide = MIN_SHARE_OF_LARGEST * _largest(listed, regions, region)
    if _largest(live, regions, region) >= wide:
        return tuple(near)
    near += [
        name
        for centre, name in far
        if live[centre][name] >= wide and may_leave(regions.get(centre))
    ]
    return tuple(near)


def _largest(hosts, regions, region):
    """Return the largest capacity of a region's hosts, or 0 without any."""
    return max(
        (
            capacity
            for centre, found in hosts.items()
            if regions.get(centre) == region
            for capacity in found.values()
        ),
        default=0,
    )

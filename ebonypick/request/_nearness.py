"""Weights backend servers by their distance from the callers.

Load: a region with a smaller share of the servers than of the callers, whose
requests have long bodies. Home servers near the callers relieve narrow links,
but more objects than the near servers can cache make all of them slow.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Nearness:
    """The weights of near servers, relative to 1 for other regions.

    Parameters
    ==========
    here : float
        Weight of a server in the caller's data centre.
    near : float
        Weight of any other server in the caller's region.
    """

    here: float
    near: float


# For small requests, the path latency between regions is about the time of the
# work on a cached object. Some objects keep a home server in another region,
# and requests at a busy home server move to servers of all regions, so that
# all regions share changes in traffic.
SMALL = Nearness(here=12.0, near=12.0)
# For bodies of tens of kilobytes and more, links between regions are narrow.
BULKY = Nearness(here=24.0, near=12.0)


def weigh(servers, data_centre, regions, nearness):
    """Return the weights of servers for the callers of a data centre.

    Explanation
    ===========
    All data centres are assumed to have equally many callers. The weights of
    near servers are lowered until the region keeps at most as many of its own
    objects as its share of all slots can hold. The other objects get home
    servers in other regions.

    Examples
    ========
    >>> servers = {'a': ('x1', 3), 'b': ('y1', 3), 'c': ('y1', 3)}
    >>> regions = {'x1': 'x', 'y1': 'y'}
    >>> weights = weigh(servers, 'x1', regions, BULKY)
    >>> round(weights['a'] / sum(weights.values()), 3)
    0.667
    >>> weigh(servers, 'y1', regions, BULKY)
    {'a': 3.0, 'b': 72.0, 'c': 72.0}

    Parameters
    ==========
    servers : dict of str to (str, int)
        Data centre and slots by server name.
    data_centre : str
        The data centre of the callers.
    regions : dict of str to str
        The region of each data centre.
    nearness : Nearness
        The weights for the kind of request.

    Returns
    =======
    dict of str to float
        The weights by server name.
    """
    region = regions.get(data_centre)
    weights = {}
    near = set()
    for name, (centre, slots) in servers.items():
        weights[name] = float(slots)
        if regions.get(centre) == region:
            near.add(name)
            here = centre == data_centre
            weights[name] *= nearness.here if here else nearness.near
    share = _share_of_slots(servers, near) / _share_of_centres(regions, region)
    return _bounded(weights, near, share)


def _share_of_slots(servers, near):
    total = sum(slots for _, slots in servers.values())
    return sum(servers[name][1] for name in near) / total if total else 0.0


def _share_of_centres(regions, region):
    return sum(r == region for r in regions.values()) / max(1, len(regions))


def _bounded(weights, near, share):
    """Lower the near servers' weights to a share of the total weight."""
    near_sum = sum(weights[name] for name in near)
    far_sum = sum(weights.values()) - near_sum
    if not near_sum or not far_sum or share >= 1.0:
        return weights
    factor = share * far_sum / ((1.0 - share) * near_sum)
    if factor >= 1.0:
        return weights
    return {
        name: weight * factor if name in near else weight
        for name, weight in weights.items()
    }

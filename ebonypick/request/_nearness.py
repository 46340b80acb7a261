"""Weighs backend servers by how near they are.

Load: callers of a region that has fewer servers than its part of the callers,
whose requests have long bodies. Homes near the callers spare narrow links, but
more objects than the near servers remember make all of them slow.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Nearness:
    """How much more often an object has its home near than far away.

    Parameters
    ==========
    here : float
        Weight of a server in the caller's data centre.
    near : float
        Weight of another one in the caller's region.
    """

    here: float
    near: float


# Small requests: a way between regions takes about as long as the work about a
# remembered object. Some objects stay far, and what finds a busy home is
# relieved by servers of all regions, so that swings of traffic are shared.
SMALL = Nearness(here=12.0, near=12.0)
# Bodies of tens of kilobytes and more: links between regions are narrow.
BULKY = Nearness(here=24.0, near=12.0)


def weigh(servers, data_centre, regions, nearness):
    """Return the weights of servers for the callers of a data centre.

    Explanation
    ===========
    The data centres are taken to have as many callers each. A region then
    keeps at most as many of its objects as its part of the slots holds of
    all objects, and the rest has its homes elsewhere.

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
        Data centre and slots by name.
    data_centre : str
        Where the callers are.
    regions : dict of str to str
        The region of each data centre.
    nearness : Nearness
        Of the kind of request.

    Returns
    =======
    dict of str to float
        By name.
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
    """Lower the weights of near servers to a part of all weights."""
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

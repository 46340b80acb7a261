"""Assigns backend servers to entry hosts and derives service layouts."""

import collections
import itertools

from ebonypick import request

# Maximum number of backend servers of a service and data centre in one pool.
# Each pool has one owner. Larger pools share their slots better, and smaller
# pools spread the work over more hosts.
POOL_SIZE = 32


def _pools(cfg, service):
    """Return backend rows of a service, grouped by (data centre, shard)."""
    pools = collections.defaultdict(list)
    rows = cfg.backends(service)
    for centre, group in itertools.groupby(rows, key=lambda row: row[1]):
        for index, row in enumerate(group):
            pools[centre, index // POOL_SIZE].append(row)
    return pools


def pool_owner(service, centre, shard, distances, alive):
    """Return the entry host that owns a pool, or None.

    Explanation
    ===========
    The owner is a live host of the pool's data centre. If that data centre
    has none, it is a live host of the nearest data centre that has one.

    Parameters
    ==========
    service, centre : str
        The service and the data centre.
    shard : int
        Index of the pool in the data centre.
    distances : tuple of str
        Data centres by distance from ``centre``, which is the first.
    alive : dict of str to tuple of str
        Live entry hosts that are not drained, by data centre.
    """
    for name in distances:
        hosts = alive.get(name, ())
        if hosts:
            key = f'{service}/{centre}/{shard}'
            return request.rendezvous(key, hosts)[0]
    return None


def _slots(row):
    _, _, service, server = row
    return server.slots or service.slots


def make_layout(cfg, view, host, service, leaving):
    """Return the layout for the dispatcher of a service at a host.

    Parameters
    ==========
    cfg : Configuration
        The configuration in force.
    view : View
        The membership view.
    host : str
        The entry host.
    service : str
        The service.
    leaving : frozenset of str
        Backend servers and hosts that the host list marks as leaving.

    Returns
    =======
    Layout
    """
    hosts = cfg.entry_hosts()
    regions = cfg.data_centre_region()
    own_centre = hosts[host][0]
    drains = cfg.base.drains
    unavailable = leaving | set(drains.backend_servers)
    drained_centres = set(drains.data_centres)
    alive = {
        centre: tuple(n for n in names if n not in drains.entry_hosts)
        for centre, names in view.alive.items()
    }
    capacity = collections.Counter()
    own = {}
    for (centre, shard), rows in _pools(cfg, service).items():
        distances = cfg.by_distance(centre)
        owner = pool_owner(service, centre, shard, distances, alive)
        if owner is None:
            continue
        for row in rows:
            drained = centre in drained_centres or row[0] in unavailable
            if owner == host:
                own[row[0]] = _slots(row)
            if not drained:
                capacity[owner] += _slots(row)
            elif owner == host:
                unavailable = unavailable | {row[0]}
    places = []
    for name, slots in sorted(capacity.items()):
        centre = hosts[name][0]
        region = regions[centre]
        reserve = cfg.base.regions[region].reserve_share
        places.append(
            request.OwnerPlace(
                name,
                centre,
                region,
                cfg.delay_s(own_centre, centre),
                slots,
                reserve,
            )
        )
    shifts = tuple(
        (name, shift)
        for name, shift in sorted(cfg.base.shifts.items())
        if shift.service == service
        and shift.from_region == regions[own_centre]
    )
    return request.Layout(
        tuple(places), own, frozenset(unavailable) & frozenset(own), shifts
    )

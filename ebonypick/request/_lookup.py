"""Selects the entry hosts for callers of a region."""

import dataclasses

# Maximum number of entry hosts in an answer. More would only lengthen it.
MAX_HOSTS = 16


@dataclasses.dataclass(frozen=True)
class EntryHostChoice:
    """An entry host in the answer to a look-up.

    Parameters
    ==========
    name, address, port : str, str, int
        Name and listening address of the entry host.
    weight : int
        Its share of the callers, relative to the others of the same tier.
    tier : int
        0 for the nearest hosts. A caller uses the next tier if no host of a
        tier answers.
    """

    name: str
    address: str
    port: int
    weight: int
    tier: int


def look_up(cfg, view, region, places):
    """Return the entry hosts for callers of a region, best first.

    Explanation
    ===========
    Within a region, hosts that own slots of the service come first, as they
    need no further hop; their weight is proportional to these slots. Hosts
    that are leaving, drained or not live are omitted.

    Parameters
    ==========
    cfg : Configuration
        The configuration in force.
    view : View
        The membership view with the live entry hosts.
    region : str
        The callers' region.
    places : tuple of OwnerPlace
        The owners of the service's slots.

    Returns
    =======
    list of EntryHostChoice
    """
    hosts = cfg.entry_hosts()
    regions = cfg.data_centre_region()
    drains = cfg.base.drains
    capacity = {place.name: place.capacity for place in places}
    first_centre = next(iter(cfg.base.regions[region].data_centres))
    rows = []
    for centre, names in view.alive.items():
        if centre not in regions or centre in drains.data_centres:
            continue
        near = regions[centre] == region
        distance = 0 if near else cfg.delay_s(first_centre, centre)
        for name in names:
            if name not in hosts or name in drains.entry_hosts:
                continue
            host = hosts[name][1]
            owned = capacity.get(name, 0)
            weight = host.weight * max(1, owned)
            if weight:
                rank = (distance, 0 if owned else 1)
                rows.append((rank, name, host, weight))
    rows.sort(key=lambda row: (row[0], -row[3], row[1]))
    tiers = {rank: n for n, rank in enumerate(sorted({r[0] for r in rows}))}
    return [
        EntryHostChoice(name, host.address, host.port, weight, tiers[rank])
        for rank, name, host, weight in rows[:MAX_HOSTS]
    ]

"""The roles of steering hosts: which serve callers and read the store."""

import time

from ebonypick import request
from ebonypick import spans

# Number of hosts that read the store for their region; one of them may fail.
READERS = 2
# In a region with at most this many hosts, all of them read the store. With
# two readers among three hosts, the third would get no changes until it
# noticed the failure of both.
MAX_ALL_READERS = 3
# After the start, all listed hosts count as alive until this time before
# ``contact`` has passed, since their signs of life have not arrived yet. Some
# may long be lost, and look-ups must not name these once ``contact`` has
# passed since the start of the process, whose imports may take a second.
TRUST_MARGIN_S = 1.5


def _names(hosts):
    return [name for names in hosts.values() for name in names]


def store_readers(region, hosts):
    """Return the hosts of a region that read the store.

    Examples
    ========
    >>> store_readers('r', {'x': ('a', 'b'), 'y': ('c',)})
    ('a', 'b', 'c')
    >>> found = store_readers('r', {'x': ('a', 'b', 'c'), 'y': ('d', 'e')})
    >>> len(found), len(set(found) & {'d', 'e'})
    (2, 1)
    >>> len(store_readers('r', {'x': ('a', 'b', 'c', 'd')}))
    2

    Parameters
    ==========
    region : str
        The region.
    hosts : dict of str to tuple of str
        Live hosts of the region by data centre.

    Returns
    =======
    tuple of str
        The readers. They are in different data centres if the region has
        several, so that a reader remains if one data centre fails.
    """
    every = _names(hosts)
    if len(every) <= MAX_ALL_READERS:
        return tuple(sorted(every))
    centres = request.rendezvous(
        region, [centre for centre, names in hosts.items() if names], READERS
    )
    found = [
        request.rendezvous(region, hosts[centre], 1)[0] for centre in centres
    ]
    if len(found) < READERS:
        rest = [name for name in every if name not in found]
        found += request.rendezvous(region, rest, READERS - len(found))
    return tuple(found)


def _count(hosts):
    return len(_names(hosts))


class Roster:
    """The steering hosts and their roles, as one host sees them.

    Explanation
    ===========
    Roles follow from the list of hosts in the store and from the membership
    view, by rendezvous hashing. Hosts with the same view agree on the roles,
    so no election is needed.

    Parameters
    ==========
    node : SteeringHost
        The process.
    """

    def __init__(self, node):
        self._node = node
        self._started_at = time.monotonic()

    def live(self):
        """Return the hosts that take requests, by data centre."""
        listed = self._node.connections.centres()
        contact_s = spans.parse_span_s(self._node.settings.terms.contact)
        trusted_until = self._started_at + contact_s - TRUST_MARGIN_S
        if time.monotonic() < trusted_until:
            return listed
        view = self._node.board.view
        if view is None:
            return listed
        return {centre: names for centre, names in view.alive.items() if names}

    def reaching(self):
        """Return the live hosts that reach backend servers."""
        view = self._node.board.view
        cut_off = view.cut_off if view is not None else frozenset()
        hosts = {
            centre: tuple(n for n in names if n not in cut_off)
            for centre, names in self.live().items()
        }
        return {centre: names for centre, names in hosts.items() if names}

    def serving(self):
        """Return the hosts that look-ups return, by data centre.

        Those that reach no backend server are left out unless all are cut
        off.
        """
        return self._with_capacity(self.reaching() or self.live())

    def relaying(self):
        """Return the hosts that may take requests of others."""
        return self._with_capacity(self.reaching())

    def _with_capacity(self, live):
        """Return those hosts whose links carry enough for their region."""
        rows = self._node.connections.rows
        hosts = {
            centre: {n: rows[n].capacity for n in names if n in rows}
            for centre, names in live.items()
        }
        return request.serving_hosts(hosts, self._node.settings.data_centres)

    def listed_count(self):
        """Return the number of hosts in the store's list, lost ones too."""
        listed = self._node.connections.centres()
        return _count(listed)

    def _in_region(self, hosts):
        """Return those of the data centres that are in this region."""
        regions = self._node.settings.data_centres
        return {
            centre: names
            for centre, names in hosts.items()
            if regions.get(centre) == self._node.settings.region
        }

    def of_region(self):
        """Return the live hosts of this host's region."""
        return _names(self._in_region(self.live()))

    def readers(self):
        """Return the hosts that read the store for this host's region.

        Hosts whose links carry little of the region's traffic read it only if
        there are too few others: a version may be as long as many requests.
        """
        live = self.live()
        hosts = self._in_region(live)
        wide = self._in_region(self._with_capacity(live))
        if _count(hosts) > MAX_ALL_READERS and _count(wide) >= READERS:
            hosts = wide
        return store_readers(self._node.settings.region, hosts)

    def reads_store(self):
        """Return whether this host reads the store for its region."""
        readers = self.readers()
        return (
            self._node.leaving
            or self._node.settings.host in readers
            or not readers
        )

    def reader_candidates(self):
        """Return the hosts that may read the store in place of this one.

        Returns
        =======
        tuple of str
            The other readers of the region, then its other live hosts, those
            with wide links first. Each host has its own order, so that two
            readers choose different hosts. Empty where all are readers.
        """
        host = self._node.settings.host
        live = self.live()
        readers = self.readers()
        wide = _names(self._in_region(self._with_capacity(live)))
        every = _names(self._in_region(live))
        if set(readers).issuperset(every):
            return ()
        ranks = {name: 2 for name in every}
        ranks.update({name: 1 for name in wide})
        ranks.update({name: 0 for name in readers})
        ranks.pop(host, None)
        order = request.rendezvous(host, ranks, len(ranks))
        return tuple(sorted(order, key=ranks.get))

"""Passes requests on to other entry hosts while this one is cut off."""

import collections

from ebonypick import connection
from ebonypick import endpoints
from ebonypick import request


class Relays:
    """Owns the connections for requests that other hosts take.

    Parameters
    ==========
    node : SteeringHost
        The process.
    rng : random.Random
        Chooses among hosts that are equally near.
    """

    def __init__(self, node, rng):
        self._node = node
        self._rng = rng
        self._pools = {}
        self._pending = collections.Counter()

    def choose(self, regions, tried):
        """Return the host to pass a request to, or None.

        Parameters
        ==========
        regions : frozenset of str
            Regions whose hosts may see the request; empty for all.
        tried : set of str
            Hosts that could not take it.
        """
        settings = self._node.settings
        rows = self._node.connections.rows
        hosts = {
            centre: tuple(
                name
                for name in names
                if name not in tried
                and name != settings.host
                and rows[name].relays
            )
            for centre, names in self._node.roster.relaying().items()
        }
        return request.choose_relay_host(
            hosts,
            settings.data_centre,
            settings.data_centres,
            regions,
            self._pending,
            self._rng,
        )

    def pool(self, host):
        """Return the connections for requests that a host takes."""
        address = endpoints.parse_endpoint(
            self._node.connections.rows[host].relays
        )
        pool = self._pools.get(host)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = self._pools[host] = connection.ServerPool(
                address, self._node.settings.address
            )
        return pool

    def begin(self, host):
        """Count a request that a host is to answer."""
        self._pending[host] += 1

    def end(self, host):
        """Count the end of a request that a host was to answer."""
        self._pending[host] -= 1
        if not self._pending[host]:
            del self._pending[host]

    def close(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

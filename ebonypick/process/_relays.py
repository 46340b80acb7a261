"""Passes requests on to other entry hosts while this one is cut off."""

import collections
import time

from ebonypick import connection
from ebonypick import endpoints
from ebonypick import request

# A host that can take no request is not asked again for this time. By then
# gossip has told whether it reaches servers, or it has a configuration.
UNABLE_S = 1.0


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
        self._pools = connection.ServerPools()
        self._pending = collections.Counter()
        # Until when hosts that could take no request are not asked.
        self._unable_until = {}

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
        now = time.monotonic()
        hosts = {
            centre: tuple(
                name
                for name in names
                if name not in tried
                and name != settings.host
                and now >= self._unable_until.get(name, now)
                and rows[name].relays
            )
            for centre, names in self._node.roster.relaying().items()
        }
        # A fault often hits all hosts of a data centre.
        asked = {rows[name].data_centre for name in tried if name in rows}
        elsewhere = {
            centre: names
            for centre, names in hosts.items()
            if centre not in asked
        }
        hosts = elsewhere if any(elsewhere.values()) else hosts
        return request.choose_relay_host(
            hosts,
            settings.data_centre,
            settings.data_centres,
            regions,
            self._pending,
            self._rng,
        )

    def note_unable(self, host):
        """Record that a host can take no request now."""
        self._unable_until[host] = time.monotonic() + UNABLE_S

    def pool(self, host):
        """Return the connections for requests that a host takes."""
        row = self._node.connections.rows[host]
        return self._pools.get(
            host,
            endpoints.parse_endpoint(row.relays),
            self._node.settings.address,
        )

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
        self._pools.close()

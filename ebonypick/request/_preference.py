"""Ranks the backend servers that may handle a request.

Load: an object is handled fastest by the server that handled it last, so all
entry hosts of a data centre rank the servers of an object alike, without
communication, and most objects keep their first server when servers come and
go.
"""

from ebonypick.request import _nearness
from ebonypick.request import _rank

MAX_CACHED_RANKINGS = 20_000
# This exceeds the number of servers that are compared for a request, because
# some of the ranked ones may be down or tried already.
MAX_RANKED = 12


class Preferences:
    """The rankings of the servers for requests of one data centre.

    Parameters
    ==========
    data_centre : str
        The data centre of this entry host.
    regions : dict of str to str
        The region of each data centre.
    departures : Departures
        The servers that announced that they are leaving.
    rng : random.Random
        Orders the servers for requests that concern no object.
    """

    def __init__(self, data_centre, regions, departures, rng):
        self._data_centre = data_centre
        self._regions = dict(regions)
        self._departures = departures
        self._rng = rng
        self._servers = {}
        self._evacuated = frozenset()
        self._weights = {}
        self._rankings = {}
        self._open_rankings = {}

    def set_servers(self, servers):
        """Set the ``ServerState`` of each instance."""
        self._servers = servers
        self.clear()

    def set_regions(self, regions):
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self.clear()

    def set_evacuated(self, data_centres):
        """Set the data centres whose servers get no requests."""
        self._evacuated = frozenset(data_centres)
        self.clear()

    def clear(self):
        """Drop what was computed from servers that have changed."""
        self._weights = {}
        self._rankings = {}
        self._open_rankings = {}

    def clear_open(self):
        """Drop what was computed from limits or hosts that have changed."""
        self._open_rankings = {}

    def ranking(self, ask):
        """Return the instances to consider for a request, best first."""
        weights = self.weights(ask.service, ask.regions, ask.bulky)
        return self._rank(ask, weights, self._rankings)

    def open_ranking(self, ask, sends_to):
        """Return the same without servers to which only other hosts send.

        Parameters
        ==========
        ask : Ask
            The request.
        sends_to : callable
            Returns whether this host sends to a ``ServerState`` at all.
        """
        weights = self.weights(ask.service, ask.regions, ask.bulky)
        weights = {
            name: weight
            for name, weight in weights.items()
            if sends_to(self._servers[name])
        }
        return self._rank(ask, weights, self._open_rankings)

    def _rank(self, ask, weights, cache):
        if ask.object_key is None:
            names = list(weights)
            self._rng.shuffle(names)
            return names
        key = (ask.service, ask.object_key, ask.regions, ask.bulky)
        found = cache.get(key)
        if found is None:
            if len(cache) >= MAX_CACHED_RANKINGS:
                cache.clear()
            found = cache[key] = _rank.weighted_rendezvous(
                f'{ask.service}/{ask.object_key}', weights, MAX_RANKED
            )
        return found

    def weights(self, service, regions, bulky=False):
        """Return the weights of the servers that may handle a request."""
        key = (service, regions, bulky)
        found = self._weights.get(key)
        if found is None:
            found = self._weights[key] = _nearness.weigh(
                self._eligible(service, regions),
                self._data_centre,
                self._regions,
                _nearness.BULKY if bulky else _nearness.SMALL,
            )
        return found

    def _eligible(self, service, regions):
        """Return data centre and slots of the servers that may be used."""
        return {
            name: (server.entry.data_centre, server.entry.slots)
            for name, server in self._servers.items()
            if server.entry.service == service
            and not server.entry.draining
            and not self._departures.includes(name, server.entry.started_ms)
            and server.entry.data_centre not in self._evacuated
            and (not regions or server.region in regions)
        }

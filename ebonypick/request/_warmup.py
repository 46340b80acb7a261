"""Limits the requests of all entry hosts together to a cold backend server.

Load: servers that return or join during a peak, while several entry hosts
learn of it at different times.

No entry host can count the requests of the others. Therefore only one of
them, the highest in a rendezvous ranking, sends to a cold server. Two hosts
whose views differ may briefly both send; the allowance suffices for three.
"""

import dataclasses

from ebonypick.request import _rank

# Each sender uses this share of the server's rate, so that three concurrent
# senders stay within the allowance of 1.5 times the rate and some requests.
SHARE_OF_RATE = 0.5


def cold_sender(instance, region, hosts, regions):
    """Return the entry host that sends to a cold server, None without any.

    Parameters
    ==========
    instance, region : str
        The server and its region.
    hosts : dict of str to tuple of str
        The live entry hosts by data centre.
    regions : dict of str to str
        The region of each data centre.
    """
    near = [
        name
        for centre, names in hosts.items()
        if regions.get(centre) == region
        for name in names
    ]
    every = near or [name for names in hosts.values() for name in names]
    return next(iter(_rank.rendezvous(instance, every)), None)


@dataclasses.dataclass
class _Bucket:
    level: float
    at: float


class WarmupGate:
    """Admits requests to cold backend servers at a rate.

    Examples
    ========
    >>> gate = WarmupGate()
    >>> [gate.admit('b-1', 2.0, now) for now in (0.0, 0.1, 1.1)]
    [True, False, True]
    """

    def __init__(self):
        self._buckets = {}

    def admit(self, instance, rate_per_s, now):
        """Return whether a request may be sent, and count it if so.

        Parameters
        ==========
        instance : str
            The cold server.
        rate_per_s : float
            Requests per second that it can handle while cold.
        now : float
            Monotonic time in seconds.
        """
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = _Bucket(1.0, now)
        gained = (now - bucket.at) * rate_per_s * SHARE_OF_RATE
        bucket.level = min(1.0, bucket.level + gained)
        bucket.at = now
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def retain(self, instances):
        """Drop the servers that are not among ``instances``."""
        for name in set(self._buckets) - set(instances):
            del self._buckets[name]

"""Token buckets that pace this host's requests to single servers."""

import dataclasses


@dataclasses.dataclass
class _Bucket:
    tokens: float
    at: float


class RateGate:
    """A token bucket for each server; it starts full.

    Examples
    ========
    >>> gate = RateGate()
    >>> gate.take('b-1', rate_per_s=2.0, burst=1.0, now=0.0)
    >>> gate.wait_s('b-1', 2.0, 0.1), gate.wait_s('b-1', 2.0, 0.5)
    (0.4, 0.0)
    """

    def __init__(self):
        self._buckets = {}

    def tokens(self, instance, rate_per_s, now):
        """Return the tokens of a server, with those that exceed the burst.

        Returns
        =======
        float
            Infinite for a server without earlier requests.
        """
        bucket = self._buckets.get(instance)
        if bucket is None:
            return float('inf')
        return bucket.tokens + (now - bucket.at) * rate_per_s

    def wait_s(self, instance, rate_per_s, now, needed=1.0):
        """Return the seconds until a server has as many tokens as needed."""
        missing = needed - self.tokens(instance, rate_per_s, now)
        return max(0.0, missing / rate_per_s)

    def take(self, instance, rate_per_s, burst, now):
        """Count a request that is sent.

        Parameters
        ==========
        instance : str
            The server.
        rate_per_s : float
            Requests per second in the long run.
        burst : float
            Requests that may be sent at once after a pause, at least one.
        now : float
            Monotonic time in seconds.
        """
        tokens = min(burst, self.tokens(instance, rate_per_s, now))
        self._buckets[instance] = _Bucket(tokens - 1.0, now)

    def retain(self, instances):
        """Drop the servers that are not among ``instances``."""
        for name in set(self._buckets) - set(instances):
            del self._buckets[name]

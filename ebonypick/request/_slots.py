"""Counts the used slots of a backend server and adapts their limit."""

import math

FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 8.0
SHED_FACTOR = 0.7
COLD_SHARE = 0.34


class Slots:
    """The slots of one backend server as counted by their owner.

    Parameters
    ==========
    name : str
        The name of the backend server.
    slots : int
        Number of requests that the server runs concurrently.
    """

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.limit = float(slots)
        self.held = set()
        self.room = 0
        self.owned = True
        self.configured_leaving = False
        self.reported_leaving = False
        self.warm_from = -math.inf
        self.suspended_until = -math.inf
        self.failures = 0
        self.stamp = 0
        self.counted_free = 0

    @property
    def leaving(self):
        """Whether the configuration or the server says that it is leaving."""
        return self.configured_leaving or self.reported_leaving

    @property
    def free(self):
        """Number of slots that may be assigned now."""
        return max(0, self.room - len(self.held))

    def changes_with_time(self, now, warm_s):
        """Return whether the room grows with time alone."""
        return now < self.suspended_until or now - self.warm_from < warm_s

    def find_room(self, now, warm_s):
        """Return the number of requests that the server may run now."""
        if not self.owned or self.leaving or now < self.suspended_until:
            return 0
        if self.failures:
            # After a failure, one request at a time probes the server.
            return 1
        limit = min(self.limit, float(self.slots))
        age_s = now - self.warm_from
        if age_s < warm_s:
            limit *= COLD_SHARE + (1 - COLD_SHARE) * age_s / warm_s
        return max(1, int(limit + 1e-9))

    def succeed(self):
        """Raise the limit slightly after a request that succeeded."""
        self.failures = 0
        self.limit = min(self.slots, self.limit + 1 / max(1, self.limit))

    def shed(self):
        """Lower the limit after the server rejected a request as full."""
        self.limit = max(1.0, self.limit * SHED_FACTOR)

    def fail(self, now):
        """Suspend the server; the time doubles with each failure in a row."""
        self.failures += 1
        pause_s = FIRST_SUSPENSION_S * 2 ** (self.failures - 1)
        self.suspended_until = now + min(pause_s, MAX_SUSPENSION_S)

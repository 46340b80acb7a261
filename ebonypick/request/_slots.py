"""Counts the slots of one backend server and adapts their limit."""

import math

FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 8.0
SHED_FACTOR = 0.7
COLD_SHARE = 0.34


class Slots:
    """The slots of one backend server, as their owner counts them.

    Parameters
    ==========
    name : str
        The backend server.
    slots : int
        Requests that it takes at once.
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
        """Whether anyone says that it leaves."""
        return self.configured_leaving or self.reported_leaving

    @property
    def free(self):
        """Slots that may be given out now."""
        return max(0, self.room - len(self.held))

    def changes_with_time(self, now, warm_s):
        """Return whether the room grows without another event."""
        return now < self.suspended_until or now - self.warm_from < warm_s

    def find_room(self, now, warm_s):
        """Return how many requests the server may have at once."""
        if not self.owned or self.leaving or now < self.suspended_until:
            return 0
        if self.failures:
            # After a failure one request at a time tries the server.
            return 1
        limit = min(self.limit, float(self.slots))
        age_s = now - self.warm_from
        if age_s < warm_s:
            limit *= COLD_SHARE + (1 - COLD_SHARE) * age_s / warm_s
        return max(1, int(limit + 1e-9))

    def succeed(self):
        """Raise the limit a little, as a request was done."""
        self.failures = 0
        self.limit = min(self.slots, self.limit + 1 / max(1, self.limit))

    def shed(self):
        """Lower the limit, as the server had no slot left."""
        self.limit = max(1.0, self.limit * SHED_FACTOR)

    def fail(self, now):
        """Give no work for a while, longer with each failure in a row."""
        self.failures += 1
        pause_s = FIRST_SUSPENSION_S * 2 ** (self.failures - 1)
        self.suspended_until = now + min(pause_s, LONGEST_SUSPENSION_S)

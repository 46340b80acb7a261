"""Finds backend servers that are slow, from answers alone.

Load: a part of the servers takes several times as long, or does not answer
at all while connections to it stand. Requests would pile up there, since it
is the home of its objects.

Only requests about objects that the server handled lately are compared, with
those of the service's other servers: a server that has just started, or a
whole service after a start, is slow for a good reason.
"""

import collections

# A server this many times as slow as the others' usual is left out.
SLOW_RATIO = 2.5
SMOOTHING = 0.3
# Samples before anything is concluded.
MIN_SAMPLES = 3
# How long it is left out: longer each time, and tried again after it.
FIRST_EXCLUSION_S = 2.0
MAX_EXCLUSION_S = 6.0
# Objects that a server surely still remembers.
MAX_RECENT_OBJECTS = 24
RECENT_S = 15.0


class ServerHealth:
    """What answers tell of one server's health.

    Examples
    ========
    >>> health = ServerHealth()
    >>> for _ in range(4): health.note_time(1.5, usual_s=0.3, now=0.0)
    >>> health.excluded(0.1), health.excluded(FIRST_EXCLUSION_S + 0.1)
    (True, False)
    """

    def __init__(self):
        self._recent = collections.OrderedDict()
        self._ratio = 1.0
        self._sample_count = 0
        self._excluded_until = 0.0
        self._exclusions = 0

    def has_cached(self, key, now):
        """Return whether the server handled an object lately."""
        at = self._recent.get(key)
        return at is not None and now - at < RECENT_S

    def note_handled(self, key, now):
        """Note that the server handled an object."""
        self._recent[key] = now
        self._recent.move_to_end(key)
        while len(self._recent) > MAX_RECENT_OBJECTS:
            self._recent.popitem(last=False)

    def note_time(self, took_s, usual_s, now):
        """Compare the time of a request with the service's usual one."""
        self._sample_count += 1
        self._ratio += SMOOTHING * (took_s / usual_s - self._ratio)
        if self._sample_count >= MIN_SAMPLES and self._ratio > SLOW_RATIO:
            self.exclude(now)

    def exclude(self, now):
        """Leave the server out for a while, longer each time."""
        if now < self._excluded_until:
            return
        pause_s = min(MAX_EXCLUSION_S, FIRST_EXCLUSION_S * 2**self._exclusions)
        self._exclusions += 1
        self._excluded_until = now + pause_s
        # It is judged anew by what it does afterwards.
        self._ratio = 1.0
        self._sample_count = 0

    def note_good(self):
        """Note an answer in the usual time."""
        if self._sample_count > 2 * MIN_SAMPLES:
            self._exclusions = 0

    def excluded(self, now):
        """Return whether the server is left out."""
        return now < self._excluded_until

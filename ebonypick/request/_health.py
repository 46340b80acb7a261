"""Detects slow backend servers from their answers alone.

Load: some servers take several times as long as the others, or do not answer
at all while connections to them stay open. Requests would accumulate there,
since such a server is still the home server of its objects.

Only the times of requests about recently handled objects are compared with
those of the service's other servers. A server that has just started, or a
whole service after a start, is legitimately slow.
"""

import collections

# A server is excluded if it takes this multiple of the others' usual time.
SLOW_RATIO = 2.5
SMOOTHING = 0.3
# Samples that are needed before a server is judged.
MIN_SAMPLES = 3
# Bounds of the exclusion, which doubles each time. The server is tried again
# afterwards.
FIRST_EXCLUSION_S = 2.0
MAX_EXCLUSION_S = 6.0
# Bounds on the recent objects that a server certainly still has cached.
MAX_RECENT_OBJECTS = 24
RECENT_S = 15.0


class ServerHealth:
    """Judges from answers whether one server is slow.

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
        self._excluded_at = float('-inf')
        self._excluded_until = 0.0
        self._exclusions = 0

    def has_cached(self, key, now):
        """Return whether the server handled an object recently."""
        at = self._recent.get(key)
        return at is not None and now - at < RECENT_S

    def note_handled(self, key, now):
        """Record that the server handled an object."""
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
        """Exclude the server temporarily, longer each time."""
        if now < self._excluded_until:
            return
        pause_s = min(MAX_EXCLUSION_S, FIRST_EXCLUSION_S * 2**self._exclusions)
        self._exclusions += 1
        self._excluded_at = now
        self._excluded_until = now + pause_s
        # Only samples after the exclusion count for the next judgement.
        self._ratio = 1.0
        self._sample_count = 0

    def forget_exclusion(self, since):
        """Undo an exclusion that began at or after a time."""
        if self._excluded_at >= since:
            self._excluded_until = 0.0
            self._exclusions = 0

    def note_good(self):
        """Record an answer within the usual time."""
        if self._sample_count > 2 * MIN_SAMPLES:
            self._exclusions = 0

    def excluded(self, now):
        """Return whether the server is excluded."""
        return now < self._excluded_until

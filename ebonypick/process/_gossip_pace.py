"""The pace of gossip: when the next round begins and what a message may hold.

Load: records of backend servers, whose number and urgency follow the trouble
there. They must not slow down the signs of life by which hosts know each
other, so these are paced by their own bytes, and the records get what is left
of the budget.
"""

# Budget for bytes sent and received, including HTTP headers.
BYTES_PER_S = 4_200
# Part of the budget that signs of life may take before rounds slow down.
SIGNS_SHARE = 0.7
MIN_ROUND_S = 0.5
# Signs of life reach all hosts of a data centre, or all data centres, within
# five rounds.
MAX_ROUND_S = 1.0
# The budget is kept over this time.
BURST_S = 1.0
# A host that has just started hears of all others at the fastest pace.
START_S = 3.0
# Records in one message at most, and their sizes: of limits, of crashes, and
# of the loads of hosts and of data centres.
MAX_LIMITS = 12
MAX_CRASHES = 8
MAX_LOADS = 12
LIMIT_BYTES = 45
CRASH_BYTES = 100
LOAD_BYTES = 110
MAX_RECORDS = (MAX_LIMITS, MAX_CRASHES, MAX_LOADS)
RECORD_BYTES = (LIMIT_BYTES, CRASH_BYTES, LOAD_BYTES)
# Where no bytes are left, one message in so many has a record of each kind, so
# that they still spread.
FULL_MESSAGES = 8


class Pace:
    """Counts bytes and derives the pace from them.

    Examples
    ========
    >>> pace = Pace(now=0.0)
    >>> pace.count(2_000, 0, now=START_S)
    >>> round(pace.next_pause_s(), 3)
    0.68
    >>> pace.records(now=6.0)
    (12, 8, 12)
    >>> pace.count(9_000, 0, now=6.0)
    >>> [pace.records(now=6.0) for _ in range(FULL_MESSAGES)][-2:]
    [(0, 0, 0), (1, 1, 1)]

    Parameters
    ==========
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now):
        # Whether the last round took more than its bytes.
        self.strained = False
        self._round_bytes = 0
        self._full_messages = 0
        self._level = 0.0
        self._started_at = now
        self._refilled_at = now

    def _refill(self, now):
        gained = (now - self._refilled_at) * BYTES_PER_S
        self._level = min(BURST_S * BYTES_PER_S, self._level + gained)
        self._refilled_at = now

    def count(self, size, record_bytes, now):
        """Count a message, sent or received.

        Parameters
        ==========
        size : int
            All its bytes.
        record_bytes : int
            Bytes of those that are records of backend servers.
        now : float
            Monotonic time in seconds.
        """
        self._refill(now)
        self._level = max(-BURST_S * BYTES_PER_S, self._level - size)
        self._round_bytes += size - record_bytes

    def next_pause_s(self):
        """Return the time until the next round, in seconds."""
        wanted_s = self._round_bytes / (SIGNS_SHARE * BYTES_PER_S)
        self._round_bytes = 0
        if self._refilled_at < self._started_at + START_S:
            return MIN_ROUND_S
        self.strained = wanted_s > MAX_ROUND_S
        return min(max(wanted_s, MIN_ROUND_S), MAX_ROUND_S)

    def records(self, now, spare=True):
        """Return how many records the next message may hold.

        Parameters
        ==========
        now : float
            Monotonic time in seconds.
        spare : bool
            Whether bytes that are left may be used for this message.

        Returns
        =======
        limits, crashes, loads : int
            The numbers of records of limits and of crashes, and of loads of
            hosts and of data centres each.
        """
        self._refill(now)
        left = int(self._level) if spare else 0
        found = []
        for limit, size in zip(MAX_RECORDS, RECORD_BYTES):
            count = max(0, min(limit, left // size))
            found.append(count)
            left -= count * size
        if any(found):
            return tuple(found)
        self._full_messages += 1
        count = int(self._full_messages % FULL_MESSAGES == 0)
        return (count,) * len(MAX_RECORDS)

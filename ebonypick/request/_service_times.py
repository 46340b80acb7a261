"""Tracks the usual times of each service and detects slow servers.

Load: some of the servers take several times as long as the others, or never
answer. Requests about objects that a server has cached are measured separately
from all others, as their times differ several times over.
"""

import dataclasses

# Assumed time of a request before any has been measured.
INITIAL_WORK_S = 0.4
SMOOTHING = 0.05
# Lower bound of a measured time. Times are divided by one another, and a clock
# with a resolution of milliseconds may show zero.
MIN_TIME_S = 0.0005
# An answer below this multiple of the usual time is a good one.
GOOD_RATIO = 1.5
# A slow answer is counted as at most this multiple of the usual time.
MAX_COUNTED_RATIO = 2.0
# A request that ends without an answer counts against the server if it waited
# longer than this multiple of the usual time for an object that is not cached.
# MAX_UNANSWERED such requests exclude the server: one or two may be lost
# answers.
LONG_WAIT_RATIO = 1.5
MAX_UNANSWERED = 3
# At most this share of the servers of a service is excluded as slow. If more
# are slow, the service as a whole is slow.
MAX_SLOW_SHARE = 0.34
# The share is cached because it is counted over all servers. This time is a
# tenth of the shortest exclusion of a server.
SLOW_SHARE_TTL_S = 0.2
# A request with less than this share of the usual time left, queueing
# included, cannot be answered in time, as work is seldom shorter.
MIN_TIME_SHARE = 0.5


@dataclasses.dataclass
class _UsualTimes:
    """The usual times of a service in seconds; None before any answer."""

    work_s: float = INITIAL_WORK_S
    warm_s: float | None = None
    cold_s: float | None = None
    slow_share: float = 0.0
    counted_until: float = 0.0


class ServiceTimes:
    """The usual times of all services, as a state machine."""

    def __init__(self):
        self._services = {}

    def _of(self, service):
        times = self._services.get(service)
        if times is None:
            times = self._services[service] = _UsualTimes()
        return times

    def work_s(self, service):
        """Return the usual time of a request of a service in seconds."""
        return self._of(service).work_s

    def cold_s(self, service):
        """Return the usual time for an object that is not cached."""
        return self._of(service).cold_s or 0.0

    def min_s(self, server, now):
        """Return the shortest time in which a server may answer."""
        warm_s = self._of(server.entry.service).warm_s or 0.0
        return MIN_TIME_SHARE * warm_s * max(1.0, server.load_per_slot(now))

    def note(self, server, ticket, now):
        """Record the time of an answer; call before the ticket is removed.

        Parameters
        ==========
        server : ServerState
            The server that answered.
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.
        """
        times = self._of(server.entry.service)
        took_s = max(MIN_TIME_S, now - ticket.sent_at)
        if server.load_per_slot(now) <= 1.0:
            times.work_s += SMOOTHING * (took_s - times.work_s)
        server.health.note_handled(ticket.object_key, now)
        normalized_s = took_s / ticket.load_factor
        if not ticket.warm:
            times.cold_s = _smoothed(times.cold_s, normalized_s)
            return
        usual_s = normalized_s if times.warm_s is None else times.warm_s
        server.health.note_time(normalized_s, usual_s, now)
        times.warm_s = _smoothed(times.warm_s, normalized_s)
        if normalized_s < GOOD_RATIO * usual_s:
            server.health.note_good()

    def note_ended(self, server, ticket, now):
        """Record the end of a request, whether answered or not.

        A long wait counts against the server only if the server answered no
        request meanwhile, this one included; otherwise it is only busy.

        Parameters
        ==========
        server : ServerState
            The server of the request.
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.
        """
        usual_s = self._of(server.entry.service).cold_s
        waited_s = now - ticket.sent_at
        if usual_s is None or waited_s < LONG_WAIT_RATIO * usual_s:
            return
        if server.answered_at > ticket.sent_at:
            return
        self.note_unanswered(server, now)

    def note_unanswered(self, server, now):
        """Count an unanswered request; exclude a server with too many."""
        server.unanswered += 1
        if server.unanswered >= MAX_UNANSWERED:
            server.health.exclude(now)

    def slow(self, server, servers, now):
        """Return whether a server is passed over as slow.

        Parameters
        ==========
        server : ServerState
            The server.
        servers : iterable of ServerState
            All servers, including those of other services.
        now : float
            Monotonic time in seconds.
        """
        if not self._is_slow(server, now):
            return False
        return self._slow_share(server, servers, now) <= MAX_SLOW_SHARE

    def _is_slow(self, server, now):
        times = self._of(server.entry.service)
        if server.health.excluded(now):
            return True
        return times.warm_s is not None and server.overdue(times.warm_s, now)

    def _slow_share(self, server, servers, now):
        """Return the share of the service's servers that are slow."""
        service = server.entry.service
        times = self._of(service)
        if now >= times.counted_until:
            slow = [
                self._is_slow(other, now)
                for other in servers
                if other.entry.service == service
            ]
            times.slow_share = sum(slow) / len(slow)
            times.counted_until = now + SLOW_SHARE_TTL_S
        return times.slow_share


def _smoothed(usual_s, normalized_s):
    if usual_s is None:
        return normalized_s
    counted_s = min(normalized_s, MAX_COUNTED_RATIO * usual_s)
    return usual_s + SMOOTHING * (counted_s - usual_s)

"""How long requests of each service usually take, and which servers lag.

Load: a part of the servers takes several times as long as the others, or lets
requests wait without an end. Requests about objects that a server remembers
and all others are told apart, as they differ by several times.
"""

import dataclasses

# Work of a request before any was measured.
INITIAL_WORK_S = 0.4
SMOOTHING = 0.05
# No answer takes less: times are divided by one another, and a clock of
# milliseconds may show none.
MIN_TIME_S = 0.0005
# An answer within so many times the usual time is a good one.
GOOD_RATIO = 1.5
# One slow answer counts as at most so many times the usual one.
MAX_COUNTED_RATIO = 2.0
# A request that ends without an answer after so many times the usual time of
# one about an object that is not remembered has waited for long, and so many
# of them make a server silent: one or two may be lost answers.
LONG_WAIT_RATIO = 1.5
MAX_UNANSWERED = 3
# At most this part of a service's servers is left out as slow:
# where more are, that is what the service is like.
MAX_SLOW_SHARE = 0.34
# That part is counted over all servers, so not for each request: a tenth of
# the shortest time for which a server is left out.
SLOW_SHARE_TTL_S = 0.2
# A request that has less than this part of the usual time left, its turn
# included, cannot be answered in time; work is seldom shorter.
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
    """The usual times of all services; a state machine."""

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
        """Return the usual time about an object that is not remembered."""
        return self._of(service).cold_s or 0.0

    def min_s(self, server, now):
        """Return the shortest time in which a server may answer."""
        warm_s = self._of(server.entry.service).warm_s or 0.0
        return MIN_TIME_SHARE * warm_s * max(1.0, server.on_hand(now))

    def note(self, server, ticket, now):
        """Take in the time of an answer; call while the ticket is there.

        Parameters
        ==========
        server : ServerState
            Who answered.
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.
        """
        times = self._of(server.entry.service)
        took_s = max(MIN_TIME_S, now - ticket.sent_at)
        if server.on_hand(now) <= 1.0:
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
        """Take in that a request ended, answered or not.

        One that waited for long counts, if nothing was answered there
        meanwhile, itself included: else the server is only busy.

        Parameters
        ==========
        server : ServerState
            Where it was.
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
        """Count a request without an answer; leave out who has too many."""
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
            All servers, of other services too.
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
        """Return the part of the service's servers that lag."""
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

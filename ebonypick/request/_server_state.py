"""One backend server as an entry host sees it."""

import dataclasses

from ebonypick.request import _health

# The reported load from other hosts decays to zero over this time, which is
# about that of a few answers.
REPORT_TTL_S = 2.0
# An unanswered request about a cached object counts as slow once it has waited
# this multiple of the usual time.
OVERDUE_RATIO = 3.0


@dataclasses.dataclass
class ServerState:
    """The state of a server, derived from this host's own requests.

    Parameters
    ==========
    entry : ServerEntry
        The registration of the server.
    region : str
        The region of the server.
    cold_until : float
        Monotonic time until which the server can handle only few requests.
    suspect_until : float
        Monotonic time until which the server is treated as cold because it
        could not be reached.
    failed_at : float
        Monotonic time of the last failure to connect.
    health : ServerHealth
        Whether the server is slow.
    tickets : dict of int to Ticket
        Outstanding requests of this host at the server.
    others : int
        Outstanding requests of other hosts there, by its last load report.
    reported_at : float or None
        Monotonic time of that report.
    failures : int
        Consecutive failures to connect.
    down_until : float
        Monotonic time until which no connection is tried.
    held_off_until : float
        Monotonic time until which the server wants no requests from this host.
    unreadable_limit : str or None
        The limit in its last answer if it could not be read.
    answered_ms : int
        Time of day of the last answer, in milliseconds since the epoch.
    answered_at : float
        Monotonic time of the last answer.
    unanswered : int
        Requests without an answer since then that waited for a long time.
    """

    entry: object
    region: str
    cold_until: float = 0.0
    suspect_until: float = 0.0
    failed_at: float = float('-inf')
    health: object = dataclasses.field(default_factory=_health.ServerHealth)
    tickets: dict = dataclasses.field(default_factory=dict)
    others: int = 0
    reported_at: float | None = None
    failures: int = 0
    down_until: float = 0.0
    held_off_until: float = 0.0
    unreadable_limit: str | None = None
    answered_ms: int = 0
    answered_at: float = float('-inf')
    unanswered: int = 0

    @property
    def in_flight(self):
        """Number of outstanding requests of this host at the server."""
        return len(self.tickets)

    def cold(self, now):
        """Return whether the server can handle only few requests."""
        return now < max(self.cold_until, self.suspect_until)

    def overdue(self, usual_s, now):
        """Return whether a request about a cached object is overdue."""
        for ticket in self.tickets.values():
            if ticket.warm:
                waited_s = now - ticket.sent_at
                return waited_s > OVERDUE_RATIO * ticket.load_factor * usual_s
        return False

    def load_per_slot(self, now):
        """Return the outstanding requests per slot, from all hosts."""
        others = 0.0
        if self.reported_at is not None:
            age = now - self.reported_at
            others = self.others * max(0.0, 1.0 - age / REPORT_TTL_S)
        return (self.in_flight + others) / self.entry.slots

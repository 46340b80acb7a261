"""One backend server as an entry host sees it."""

import dataclasses

from ebonypick.request import _health

# What others have on hand is forgotten over the time of some answers.
REPORT_TTL_S = 2.0
# A request about a remembered object that takes this many times the usual
# counts as slow before it is answered.
OVERDUE_RATIO = 3.0


@dataclasses.dataclass
class ServerState:
    """What an entry host knows of a server, by its own requests.

    Parameters
    ==========
    entry : ServerEntry
        The server.
    region : str
        Where it stands.
    cold_until : float
        Monotonic time; until then it stands few requests.
    health : ServerHealth
        How fast it is.
    tickets : dict of int to Ticket
        Requests of this host that are there.
    others : int
        Requests of other hosts there, by its last report.
    reported_at : float or None
        When that was.
    failures : int
        Connections in a row that could not be made.
    down_until : float
        Monotonic time; until then no connection is tried.
    held_off_until : float
        Monotonic time; until then the server wants nothing from this host.
    answered_at : float
        Monotonic time of its last answer.
    unanswered : int
        Requests that waited for long since then and got no answer.
    """

    entry: object
    region: str
    cold_until: float = 0.0
    health: object = dataclasses.field(default_factory=_health.ServerHealth)
    tickets: dict = dataclasses.field(default_factory=dict)
    others: int = 0
    reported_at: float | None = None
    failures: int = 0
    down_until: float = 0.0
    held_off_until: float = 0.0
    answered_at: float = float('-inf')
    unanswered: int = 0

    @property
    def in_flight(self):
        """Requests of this host that are there."""
        return len(self.tickets)

    def overdue(self, usual_s, now):
        """Return whether a request that should be fast waits for long."""
        for ticket in self.tickets.values():
            if ticket.warm:
                waited_s = now - ticket.sent_at
                return waited_s > OVERDUE_RATIO * ticket.load_factor * usual_s
        return False

    def on_hand(self, now):
        """Return the requests there for each slot, others' included."""
        others = 0.0
        if self.reported_at is not None:
            age = now - self.reported_at
            others = self.others * max(0.0, 1.0 - age / REPORT_TTL_S)
        return (self.in_flight + others) / self.entry.slots

"""The backend servers as one entry host sees them, and its requests there."""

import dataclasses
import itertools
import random

from ebonypick.request import _admission
from ebonypick.request import _choice
from ebonypick.request import _departure
from ebonypick.request import _preference
from ebonypick.request import _retry_after
from ebonypick.request import _sample
from ebonypick.request import _selection
from ebonypick.request import _server_state
from ebonypick.request import _service_times

# An unreachable server is not contacted for a time that doubles with each
# failure.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
# A server that was unreachable may have restarted. It counts as cold until
# its new registration has had time to arrive.
REGISTRATION_DELAY_S = 4.0


class Fleet:
    """The backend servers as one entry host sees them.

    This is a state machine without input or output: all methods take the
    current time as an argument.

    Parameters
    ==========
    host : str
        The name of this entry host.
    data_centre : str
        The data centre of this entry host.
    regions : dict of str to str
        The region of each data centre.
    rng : random.Random, optional
        Orders the servers for requests that concern no object.
    selection : type, optional
        The way of choosing a server.
    """

    def __init__(
        self,
        host,
        data_centre,
        regions,
        rng=None,
        selection=_selection.Selection,
    ):
        self._regions = dict(regions)
        self._rng = rng or random.Random(0)
        self._servers = {}
        self._admission = _admission.Admission(host, data_centre, regions)
        self._departures = _departure.Departures()
        self._service_times = _service_times.ServiceTimes()
        self._ticket_numbers = itertools.count()
        # The tickets of outstanding requests, and the time of the first
        # request since the last answer.
        self._outstanding = set()
        self._unanswered_since = None
        self._preferences = _preference.Preferences(
            data_centre, regions, self._departures, self._rng
        )
        self._selection = selection(
            self._preferences, self._admission, self._service_times, self._rng
        )

    # Updates of configuration and membership.

    def update(self, entries, now):
        """Set the backend servers.

        Parameters
        ==========
        entries : iterable of ServerEntry
            All registered backend servers.
        now : float
            Monotonic time in seconds.
        """
        servers = {}
        for entry in entries:
            region = self._regions.get(entry.data_centre, '')
            known = self._servers.get(entry.instance)
            if known is not None and _is_start_that_answered(known, entry):
                self._admission.adopt_start(entry, known.entry.started_ms)
                known.entry = dataclasses.replace(
                    known.entry, started_ms=entry.started_ms
                )
            if known is None or _has_restarted(known, entry):
                known = _server_state.ServerState(entry, region)
                known.cold_until = now + entry.warmup_left_s
            elif known.entry != entry:
                if entry.warmup_left_s != known.entry.warmup_left_s:
                    known.cold_until = now + entry.warmup_left_s
                known.entry = entry
            servers[entry.instance] = known
        self._servers = servers
        self._admission.retain([s.entry for s in servers.values()])
        self._preferences.set_servers(servers)
        self._selection.set_servers(servers)

    def set_regions(self, regions):
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self._admission.set_regions(regions)
        self._preferences.set_regions(regions)

    def set_evacuated(self, data_centres):
        """Set the data centres whose servers get no requests."""
        self._preferences.set_evacuated(data_centres)

    def set_hosts(self, hosts, listed=None):
        """Set the entry hosts.

        Parameters
        ==========
        hosts : dict of str to tuple of str
            The live hosts by data centre, including this one.
        listed : dict of str to tuple of str, optional
            All hosts by data centre, alive or not; the live ones by default.
        """
        self._admission.set_hosts(hosts, listed or hosts)
        self._preferences.clear_open()

    def set_terms(self, services):
        """Set the service terms, of which the warm-up rate is used."""
        self._admission.set_terms(services)

    # Choice of a server.

    def choose(self, ask, now):
        """Choose the server for a request, as ``Selection.choose`` does."""
        return self._selection.choose(ask, now)

    def work_s(self, service):
        """Return the usual time of a request of a service in seconds."""
        return self._service_times.work_s(service)

    def retry_after_shed_s(self, instance, now):
        """Return the seconds to wait after a server rejected a request."""
        server = self._servers.get(instance)
        load_per_slot = 0.0 if server is None else server.load_per_slot(now)
        service = '' if server is None else server.entry.service
        return _retry_after.after_shed_s(load_per_slot, self.work_s(service))

    # Progress of requests.

    def sent(self, instance, object_key, now):
        """Record that a request is sent to a server; return its ticket."""
        server = self._servers.get(instance)
        known = server is not None
        warm = known and server.health.has_cached(object_key, now)
        load_factor = max(1.0, server.load_per_slot(now)) if known else 1.0
        limit = self._admission.limit_of(server.entry) if known else None
        ticket = _choice.Ticket(
            next(self._ticket_numbers),
            instance,
            object_key,
            now,
            warm,
            load_factor,
            server.entry.started_ms if known else 0,
            limit.turn if known else 0,
            known and limit.per_s is not None,
        )
        if known:
            self._admission.note_sent(server, now)
            server.tickets[ticket.number] = ticket
        self._outstanding.add(ticket.number)
        if self._unanswered_since is None:
            self._unanswered_since = now
        return ticket

    def ended(self, ticket, now):
        """Record that a request no longer occupies a server."""
        self._outstanding.discard(ticket.number)
        server = self._servers.get(ticket.instance)
        if server is None:
            return
        if server.tickets.pop(ticket.number, None) is not None:
            self._service_times.note_ended(server, ticket, now)

    def answered(self, ticket, head, failed, now, wall_ms=0):
        """Process the headers of an answer; call before ``ended``.

        Parameters
        ==========
        ticket : Ticket
            The request.
        head : AnswerHead
            The headers of the answer.
        failed : bool
            Whether the answer reports a failure of the server.
        now : float
            Monotonic time in seconds.
        wall_ms : int
            Time of day in milliseconds since the epoch. A start up to then
            may be the one that answered, though the row of an earlier start
            is known.

        Returns
        =======
        AnswerNews
        """
        self._unanswered_since = now if len(self._outstanding) > 1 else None
        server = self._servers.get(ticket.instance)
        left_ms = self._note_departure(ticket, head, wall_ms)
        if server is None or server.entry.started_ms != ticket.started_ms:
            # An answer of an earlier start says nothing about this one.
            return _choice.AnswerNews(left_ms)
        self._update_server(server, ticket, head, failed, now)
        if not head.other_instance:
            server.answered_ms = max(server.answered_ms, wall_ms)
        unreadable = head.unreadable_limit
        if unreadable == server.unreadable_limit:
            unreadable = None
        server.unreadable_limit = head.unreadable_limit
        change = self._note_limit(ticket, head)
        return _choice.AnswerNews(left_ms, change, unreadable)

    def _note_departure(self, ticket, head, wall_ms):
        """Return the latest start that leaves, if the departure is news."""
        if not head.leaving or head.other_instance:
            return None
        if self._departures.includes(ticket.instance, ticket.started_ms):
            return None
        latest_ms = max(ticket.started_ms, wall_ms)
        self.leaves(ticket.instance, latest_ms)
        return latest_ms

    def _note_limit(self, ticket, head):
        change = self._admission.note_answer(ticket, head)
        if change is not None:
            self._preferences.clear_open()
        return change

    def receive_limit(self, instance, limit):
        """Apply what another host knows of the limit of a server.

        Parameters
        ==========
        instance : str
            The server.
        limit : ServerLimit
            The state at the other host.

        Returns
        =======
        LimitChange or None
            None if the limit is as known before.
        """
        server = self._servers.get(instance)
        if server is None or server.entry.started_ms != limit.started_ms:
            return None
        change = self._admission.merge_limit(server.entry, limit)
        if change is not None:
            self._preferences.clear_open()
        return change

    @property
    def limited_count(self):
        """The number of servers that name a limit."""
        return sum(
            limit.per_s is not None
            for _, limit in self._admission.known_limits()
        )

    def sends_to(self, instance):
        """Return whether this host may send to a server despite its limit."""
        server = self._servers.get(instance)
        return server is not None and self._admission.sends_to(server)

    def limits_to_send(self, count):
        """Return some limits for another host, half of them the newest.

        Parameters
        ==========
        count : int
            Number of servers at most.

        Returns
        =======
        list of (str, ServerLimit)
        """
        return _sample.newest_and_others(
            self._admission.known_limits(), count, self._rng
        )

    def _update_server(self, server, ticket, head, failed, now):
        """Update the state of the current start of a server."""
        server.failures = 0
        server.down_until = 0.0
        server.unanswered = 0
        server.answered_at = now
        if head.other_instance:
            self._exclude(server)
            return
        server.held_off_until = max(
            server.held_off_until, now + head.hold_off_s
        )
        if head.warmup_left_s:
            server.cold_until = now + head.warmup_left_s
        if head.load is not None:
            total = head.load.running + head.load.waiting
            # The total may still include the answered request itself.
            server.others = max(0, total - server.in_flight)
            server.reported_at = now
        if not (head.not_run or failed):
            self._service_times.note(server, ticket, now)

    def leaves(self, instance, started_ms):
        """Exclude a leaving server until its next start.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            The latest start that may be the one that is leaving, in
            milliseconds since the epoch.

        Returns
        =======
        bool
            Whether the departure was unknown before.
        """
        news = self._departures.note(instance, started_ms)
        if news:
            self._preferences.clear()
        return news

    def withholds(self, ticket, now):
        """Return whether a chosen request must not be sent any more.

        Its server may have asked this host to hold off, or named a limit,
        while a connection for the request was being made.
        """
        server = self._servers.get(ticket.instance)
        if server is None:
            return False
        if now < server.held_off_until:
            return True
        limit_per_s = self._admission.limit_per_s(server.entry)
        return limit_per_s is not None and not ticket.paced

    def _exclude(self, server):
        """Exclude a server until it registers again."""
        server.entry = dataclasses.replace(server.entry, draining=True)
        self._preferences.clear()

    def record_malformed_answer(self, ticket, now):
        """Record a malformed answer of a server; call before ``ended``.

        It counts as a request without an answer. Three of these with no valid
        answer in between exclude the server temporarily.
        """
        server = self._servers.get(ticket.instance)
        if server is not None:
            self._service_times.note_unanswered(server, now)

    def unreachable(self, instance, now):
        """Record that no connection to a server could be made."""
        server = self._servers.get(instance)
        if server is None:
            return
        pause_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**server.failures)
        server.failures += 1
        server.failed_at = now
        server.down_until = now + pause_s
        server.suspect_until = now + pause_s + REGISTRATION_DELAY_S

    # Links of this host to all servers.

    def waiting_since(self):
        """Return since when requests wait and no server has answered any.

        Requests that ended without an answer count, as do their next
        attempts.

        Returns
        =======
        float or None
            Monotonic time in seconds; None if no request waits.
        """
        return self._unanswered_since if self._outstanding else None

    def to_probe(self, count):
        """Return servers that show whether this host reaches any.

        They are in different data centres where possible, and those that
        could be reached last come first.
        """
        servers = list(self._servers.values())
        self._rng.shuffle(servers)
        servers.sort(key=lambda server: server.failures)
        first = {}
        for server in servers:
            first.setdefault(server.entry.data_centre, server)
        servers.sort(key=lambda s: s is not first[s.entry.data_centre])
        return [server.entry for server in servers[:count]]

    def forget_failures(self, since):
        """Undo what failures were held against servers.

        Parameters
        ==========
        since : float
            Monotonic time from which the links of this host had failed,
            rather than the servers.
        """
        for server in self._servers.values():
            server.unanswered = 0
            server.health.forget_exclusion(since)
            if server.failed_at >= since:
                server.failures = 0
                server.down_until = 0.0
                server.suspect_until = 0.0


def _has_restarted(server, entry):
    """Return whether a registration is one of another start of a server."""
    return (
        server.entry.started_ms != entry.started_ms
        or server.entry.address != entry.address
    )


def _is_start_that_answered(server, entry):
    """Return whether a new registration is of the start that answered.

    A start that began before the last answer is the one that gave it, as an
    instance has one live start at a time.
    """
    return (
        server.entry.started_ms < entry.started_ms <= server.answered_ms
        and server.entry.address == entry.address
    )

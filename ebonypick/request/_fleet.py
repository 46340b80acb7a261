"""Chooses a backend server for each request.

Load: requests need more slots than exist unless most of them find their
object cached. A server that handled an object recently answers several times
as fast, and caches a bounded number of objects. Each object therefore has a
home server, which all entry hosts compute without communication. A short wait
at the home server is better than a free slot elsewhere: another server is slow
for the object and evicts another object from its cache, which can cascade
until no cache is warm. A request is rejected at once when neither the home
server nor an idle server can take it.
"""

import dataclasses
import itertools
import random

from ebonypick.request import _choice
from ebonypick.request import _departure
from ebonypick.request import _nearness
from ebonypick.request import _rank
from ebonypick.request import _relief
from ebonypick.request import _retry_after
from ebonypick.request import _server_limits
from ebonypick.request import _server_state
from ebonypick.request import _service_times
from ebonypick.request import _warmup

# Outstanding requests per slot below which the home server of an object
# accepts a request, by the priority of the request. The wait is about as long
# as the work itself; urgent requests may wait somewhat longer.
MAX_HOME_LOAD = (2.5, 2.5, 1.5)
# Outstanding requests per slot below which any other server accepts it. Only
# idle slots are used, since the request is slow there and evicts a cached
# object.
MAX_SPILL_LOAD = 0.5
# Servers that are compared for one request.
MAX_CANDIDATES = 6
# An unreachable server is not contacted for a time that doubles with each
# failure.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
# A server that was unreachable may have restarted. It counts as cold until
# its new registration has had time to arrive.
REGISTRATION_DELAY_S = 4.0
MAX_CACHED_RANKINGS = 20_000
# Servers ranked for an object. This exceeds MAX_CANDIDATES because some of
# them may be down or tried already.
MAX_RANKED = 2 * MAX_CANDIDATES


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
    """

    def __init__(self, host, data_centre, regions, rng=None):
        self._host = host
        self._data_centre = data_centre
        self._regions = dict(regions)
        self._rng = rng or random.Random(0)
        self._servers = {}
        self._evacuated = frozenset()
        self._hosts = {data_centre: (host,)}
        self._warmup_per_s = {}
        self._warmup_gate = _warmup.WarmupGate()
        self._departures = _departure.Departures()
        self._limits = _server_limits.ServerLimits()
        self._service_times = _service_times.ServiceTimes()
        self._ticket_numbers = itertools.count()
        self._weights = {}
        self._rankings = {}

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
            restarted = known is not None and (
                known.entry.started_ms != entry.started_ms
                or known.entry.address != entry.address
            )
            if known is None or restarted:
                known = _server_state.ServerState(entry, region)
                known.cold_until = now + entry.warmup_left_s
            elif known.entry != entry:
                if entry.warmup_left_s != known.entry.warmup_left_s:
                    known.cold_until = now + entry.warmup_left_s
                known.entry = entry
            servers[entry.instance] = known
        self._servers = servers
        self._warmup_gate.retain(servers)
        self._limits.retain(server.entry for server in servers.values())
        self._clear_caches()

    def set_regions(self, regions):
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self._clear_caches()

    def set_evacuated(self, data_centres):
        """Set the data centres whose servers get no requests."""
        self._evacuated = frozenset(data_centres)
        self._clear_caches()

    def set_hosts(self, hosts):
        """Set the live entry hosts by data centre, including this one."""
        self._hosts = dict(hosts)

    def set_terms(self, services):
        """Set the service terms, of which the warm-up rate is used."""
        self._warmup_per_s = {
            terms.name: terms.warmup_per_s for terms in services
        }

    def _clear_caches(self):
        self._weights = {}
        self._rankings = {}

    # Choice of a server.

    def choose(self, ask, now):
        """Choose the server for a request.

        Parameters
        ==========
        ask : Ask
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        Chosen or Rejected
        """
        usable = []
        slow = []
        held_off = []
        cold = False
        for name in self._ranking(ask):
            server = self._servers[name]
            if name in ask.tried or now < server.down_until:
                continue
            if now < server.held_off_until:
                held_off.append(server.held_off_until - now)
                continue
            if now < server.cold_until and not self._is_cold_sender(name):
                cold = True
                continue
            if self._service_times.slow(server, self._servers.values(), now):
                slow.append(server)
                continue
            usable.append(server)
            if len(usable) >= MAX_CANDIDATES:
                break
        usable = usable or slow
        if held_off and not usable:
            return _choice.Rejected('held-off', min(held_off))
        return self._pick(ask, usable, cold, now)

    def _pick(self, ask, usable, cold, now):
        if not usable:
            reason = 'cold' if cold else 'no-server'
            return _choice.Rejected(reason, _retry_after.MIN_RETRY_AFTER_S)
        home = usable[0]
        max_load = MAX_HOME_LOAD[min(ask.priority, len(MAX_HOME_LOAD) - 1)]
        if ask.remaining_s < self._service_times.min_s(home, now):
            return _choice.Rejected('late', _retry_after.MIN_RETRY_AFTER_S)
        relief = self._relief(ask, home, usable[1:], now)
        if relief is not None and self._admits(relief, now):
            return self._chosen(relief, 'relief', now)
        if home.load_per_slot(now) < max_load and self._admits(home, now):
            return self._chosen(home, 'home', now)
        by_load = sorted(usable, key=lambda server: server.load_per_slot(now))
        for server in by_load:
            if server.load_per_slot(now) >= MAX_SPILL_LOAD:
                break
            if self._admits(server, now):
                return self._chosen(server, 'idle', now)
        wait_s = _retry_after.after_full_s(
            home.load_per_slot(now) - max_load, self.work_s(ask.service)
        )
        return _choice.Rejected('full', wait_s)

    def _relief(self, ask, home, others, now):
        if ask.object_key is None:
            return None
        cold_in_time = (
            self._service_times.cold_s(ask.service) < ask.objective_s
        )
        return _relief.choose(home, others, ask.object_key, cold_in_time, now)

    def _chosen(self, server, why, now):
        age = None
        if server.reported_at is not None:
            age = round(now - server.reported_at, 2)
        return _choice.Chosen(
            server.entry, why, server.load_per_slot(now), age
        )

    def _admits(self, server, now):
        if now >= server.cold_until:
            return True
        rate = self._warmup_per_s.get(server.entry.service, 1.0)
        return self._warmup_gate.admit(server.entry.instance, rate, now)

    def _is_cold_sender(self, instance):
        """Return whether this host is the one that may warm up a server."""
        region = self._servers[instance].region
        cold_sender = _warmup.cold_sender(
            instance, region, self._hosts, self._regions
        )
        return cold_sender == self._host

    def _ranking(self, ask):
        """Return the instances to consider, best first."""
        weights = self._weights_of(ask.service, ask.regions, ask.bulky)
        if ask.object_key is None:
            names = list(weights)
            self._rng.shuffle(names)
            return names
        key = (ask.service, ask.object_key, ask.regions, ask.bulky)
        found = self._rankings.get(key)
        if found is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings = {}
            found = _rank.weighted_rendezvous(
                f'{ask.service}/{ask.object_key}', weights, MAX_RANKED
            )
            self._rankings[key] = found
        return found

    def _weights_of(self, service, regions, bulky=False):
        """Return the weights of the servers that may handle a request."""
        key = (service, regions, bulky)
        found = self._weights.get(key)
        if found is None:
            servers = {
                name: (server.entry.data_centre, server.entry.slots)
                for name, server in self._servers.items()
                if server.entry.service == service
                and not server.entry.draining
                and not self._departures.includes(
                    name, server.entry.started_ms
                )
                and server.entry.data_centre not in self._evacuated
                and (not regions or server.region in regions)
            }
            found = self._weights[key] = _nearness.weigh(
                servers,
                self._data_centre,
                self._regions,
                _nearness.BULKY if bulky else _nearness.SMALL,
            )
        return found

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
        started_ms = server.entry.started_ms if known else 0
        ticket = _choice.Ticket(
            next(self._ticket_numbers),
            instance,
            object_key,
            now,
            warm,
            load_factor,
            started_ms,
            self._limits.get(instance, started_ms).turn,
        )
        if known:
            server.tickets[ticket.number] = ticket
        return ticket

    def ended(self, ticket, now):
        """Record that a request no longer occupies a server."""
        server = self._servers.get(ticket.instance)
        if server is None:
            return
        if server.tickets.pop(ticket.number, None) is not None:
            self._service_times.note_ended(server, ticket, now)

    def answered(self, ticket, head, failed, now):
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

        Returns
        =======
        AnswerNews
        """
        server = self._servers.get(ticket.instance)
        leaves = head.leaving and not head.other_instance
        news = leaves and self.leaves(ticket.instance, ticket.started_ms)
        if server is None or server.entry.started_ms != ticket.started_ms:
            # An answer of an earlier start says nothing about this one.
            return _choice.AnswerNews(news)
        self._update_server(server, ticket, head, failed, now)
        return _choice.AnswerNews(news, self._note_limit(ticket, head))

    def _note_limit(self, ticket, head):
        """Return the change of a server's limit that an answer shows."""
        if head.other_instance or head.unreadable_limit is not None:
            return None
        before = self._limits.get(ticket.instance, ticket.started_ms)
        after = self._limits.note_answer(
            ticket.instance,
            ticket.started_ms,
            ticket.limit_turn,
            head.limit_per_s,
        )
        if after is None:
            return None
        return _choice.LimitChange(before.per_s, after.per_s)

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
            The start that is leaving, in milliseconds since the epoch.

        Returns
        =======
        bool
            Whether the departure was unknown before.
        """
        news = self._departures.note(instance, started_ms)
        if news:
            self._clear_caches()
        return news

    def holds_off(self, instance, now):
        """Return whether a server asked this host to hold off now."""
        server = self._servers.get(instance)
        return server is not None and now < server.held_off_until

    def _exclude(self, server):
        """Exclude a server until it registers again."""
        server.entry = dataclasses.replace(server.entry, draining=True)
        self._clear_caches()

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
        server.down_until = now + pause_s
        server.cold_until = max(
            server.cold_until, now + pause_s + REGISTRATION_DELAY_S
        )

"""Chooses a backend server for each request.

Load: more work than there are slots unless servers are warm for what they
are asked. A server that handled an object lately answers several times as
fast, and remembers a bounded number of objects. So each object has a home,
on which all entry hosts agree without asking each other; a short wait there
is better than a free slot elsewhere, which would be slow, push another
object out of that server's memory, and so on until nothing is warm. What
finds no room within the usual places is refused at once.
"""

import dataclasses
import itertools
import random

from ebonypick.request import _choice
from ebonypick.request import _departure
from ebonypick.request import _nearness
from ebonypick.request import _pace
from ebonypick.request import _rank
from ebonypick.request import _relief
from ebonypick.request import _return_time
from ebonypick.request import _server_state
from ebonypick.request import _warmup

# Work on hand for each slot up to which an object's home takes a request, by
# the request's rank: a wait of about the work itself, and somewhat more for
# what is more urgent.
HOME_FILL = (2.5, 2.5, 1.5)
# And up to which any other server does: only idle slots, since each request
# there is slow and displaces what the server remembers.
SPILL_FILL = 0.5
# Servers that are weighed for one request.
WEIGHED_MOST = 6
# A server that could not be reached is left alone, longer each time.
BACKOFF_FIRST_S = 0.4
BACKOFF_MOST_S = 4.0
# After it answers again it may have restarted: it counts as cold for the
# time in which its new registration arrives.
DOUBT_S = 4.0
RANKINGS_KEPT = 20_000
# Servers ranked for an object: some of them may be down or tried already.
RANKED_MOST = 2 * WEIGHED_MOST


class Fleet:
    """The backend servers as one entry host sees them; a state machine.

    Parameters
    ==========
    host : str
        This entry host.
    data_centre : str
        Where it stands.
    regions : dict of str to str
        The region of each data centre.
    rng : random.Random, optional
        Chooses where a request has no object.
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
        self._gate = _warmup.WarmupGate()
        self._departures = _departure.Departures()
        self._pace = _pace.Pace()
        self._numbers = itertools.count()
        self._weights = {}
        self._rankings = {}

    # What the owner tells.

    def update(self, entries, now):
        """Set the backend servers.

        Parameters
        ==========
        entries : iterable of ServerEntry
            All that are registered.
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
        self._gate.forget(servers)
        self._layout_changed()

    def set_regions(self, regions):
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self._layout_changed()

    def set_evacuated(self, data_centres):
        """Set the data centres whose servers get nothing."""
        self._evacuated = frozenset(data_centres)
        self._layout_changed()

    def set_hosts(self, hosts):
        """Set the live entry hosts by data centre, this one included."""
        self._hosts = dict(hosts)

    def set_terms(self, services):
        """Set the terms of the services."""
        self._warmup_per_s = {
            terms.name: terms.warmup_per_s for terms in services
        }

    def _layout_changed(self):
        self._weights = {}
        self._rankings = {}

    # Choice.

    def choose(self, ask, now):
        """Return the server for a request.

        Parameters
        ==========
        ask : Ask
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        Chosen or Turned
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
            if now < server.cold_until and not self._sends_to_cold(name):
                cold = True
                continue
            if self._pace.slow(server, self._servers.values(), now):
                slow.append(server)
                continue
            usable.append(server)
            if len(usable) >= WEIGHED_MOST:
                break
        usable = usable or slow
        if held_off and not usable:
            return _choice.Turned('held-off', min(held_off))
        return self._pick(ask, usable, cold, now)

    def _pick(self, ask, usable, cold, now):
        if not usable:
            reason = 'cold' if cold else 'no-server'
            return _choice.Turned(reason, _return_time.LEAST_S)
        home = usable[0]
        fill = HOME_FILL[min(ask.priority, len(HOME_FILL) - 1)]
        if ask.remaining_s < self._pace.least_s(home, now):
            return _choice.Turned('late', _return_time.LEAST_S)
        relief = self._relief(ask, home, usable[1:], now)
        if relief is not None and self._admitted(relief, now):
            return self._chosen(relief, 'relief', now)
        if home.on_hand(now) < fill and self._admitted(home, now):
            return self._chosen(home, 'home', now)
        by_load = sorted(usable, key=lambda server: server.on_hand(now))
        for server in by_load:
            if server.on_hand(now) >= SPILL_FILL:
                break
            if self._admitted(server, now):
                return self._chosen(server, 'idle', now)
        wait_s = _return_time.after_full_s(
            home.on_hand(now) - fill, self.work_s(ask.service)
        )
        return _choice.Turned('full', wait_s)

    def _relief(self, ask, home, others, now):
        if ask.object_key is None:
            return None
        teaches = self._pace.first_s(ask.service) < ask.objective_s
        return _relief.choose(home, others, ask.object_key, teaches, now)

    def _chosen(self, server, why, now):
        age = None
        if server.reported_at is not None:
            age = round(now - server.reported_at, 2)
        return _choice.Chosen(server.entry, why, server.on_hand(now), age)

    def _admitted(self, server, now):
        if now >= server.cold_until:
            return True
        rate = self._warmup_per_s.get(server.entry.service, 1.0)
        return self._gate.admit(server.entry.instance, rate, now)

    def _sends_to_cold(self, instance):
        """Return whether this entry host is the one that sends there."""
        region = self._servers[instance].region
        sender = _warmup.sender(instance, region, self._hosts, self._regions)
        return sender == self._host

    def _ranking(self, ask):
        """Return the instances to weigh, best first."""
        weights = self._weights_of(ask.service, ask.regions, ask.bulky)
        if ask.object_key is None:
            names = list(weights)
            self._rng.shuffle(names)
            return names
        key = (ask.service, ask.object_key, ask.regions, ask.bulky)
        found = self._rankings.get(key)
        if found is None:
            if len(self._rankings) >= RANKINGS_KEPT:
                self._rankings = {}
            found = _rank.weighted_rendezvous(
                f'{ask.service}/{ask.object_key}', weights, RANKED_MOST
            )
            self._rankings[key] = found
        return found

    def _weights_of(self, service, regions, bulky=False):
        """Return the weights of the servers that may take a request."""
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
        """Return the usual time of a request of a service."""
        return self._pace.work_s(service)

    def return_s(self, instance, now):
        """Return when a caller may come back whom a server turned away."""
        server = self._servers.get(instance)
        on_hand = 0.0 if server is None else server.on_hand(now)
        service = '' if server is None else server.entry.service
        return _return_time.after_shed_s(on_hand, self.work_s(service))

    # What becomes of requests.

    def sent(self, instance, object_key, now):
        """Note that a request goes to a server; return its ticket."""
        server = self._servers.get(instance)
        known = server is not None
        warm = known and server.health.remembers(object_key, now)
        turns = max(1.0, server.on_hand(now)) if known else 1.0
        ticket = _choice.Ticket(
            next(self._numbers),
            instance,
            object_key,
            now,
            warm,
            turns,
            server.entry.started_ms if known else 0,
        )
        if known:
            server.tickets[ticket.number] = ticket
        return ticket

    def ended(self, ticket, now):
        """Note that a request no longer occupies a server."""
        server = self._servers.get(ticket.instance)
        if server is None:
            return
        if server.tickets.pop(ticket.number, None) is not None:
            self._pace.note_ended(server, ticket, now)

    def answered(self, ticket, head, failed, now):
        """Take in what an answer says; call before ``ended``.

        Parameters
        ==========
        ticket : Ticket
            The request.
        head : AnswerHead
            The answer.
        failed : bool
            Whether it reports a failure of the server.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        bool
            Whether it is the first word that the server leaves.
        """
        server = self._servers.get(ticket.instance)
        leaves = head.leaving and not head.other_instance
        news = leaves and self.leaves(ticket.instance, ticket.started_ms)
        if server is None or server.entry.started_ms != ticket.started_ms:
            # What an earlier start says tells nothing of this one.
            return news
        self._learn(server, ticket, head, failed, now)
        return news

    def _learn(self, server, ticket, head, failed, now):
        """Take in what an answer says of the server that runs now."""
        server.failures = 0
        server.down_until = 0.0
        server.unanswered = 0
        server.answered_at = now
        if head.other_instance:
            self._gone(server)
            return
        server.held_off_until = max(
            server.held_off_until, now + head.hold_off_s
        )
        if head.warmup_left_s:
            server.cold_until = now + head.warmup_left_s
        if head.load is not None:
            total = head.load.running + head.load.waiting
            # The answered request itself may still be counted in it.
            server.others = max(0, total - server.in_flight)
            server.reported_at = now
        if not (head.not_run or failed):
            self._pace.note(server, ticket, now)

    def leaves(self, instance, started_ms):
        """Leave a server out until its next start; return whether it is news.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            The start that leaves, in milliseconds since the epoch.
        """
        news = self._departures.note(instance, started_ms)
        if news:
            self._layout_changed()
        return news

    def holds_off(self, instance, now):
        """Return whether a server wants nothing from this host now."""
        server = self._servers.get(instance)
        return server is not None and now < server.held_off_until

    def _gone(self, server):
        """Leave a server out until it registers anew."""
        server.entry = dataclasses.replace(server.entry, draining=True)
        self._layout_changed()

    def misbehaved(self, ticket, now):
        """Note that what a server sent is no answer; call before ``ended``.

        It counts as a request that it let wait: three of them with no answer
        in between leave it out for a while.
        """
        server = self._servers.get(ticket.instance)
        if server is not None:
            self._pace.note_unanswered(server, now)

    def unreachable(self, instance, now):
        """Note that no connection to a server could be made."""
        server = self._servers.get(instance)
        if server is None:
            return
        pause_s = min(BACKOFF_MOST_S, BACKOFF_FIRST_S * 2**server.failures)
        server.failures += 1
        server.down_until = now + pause_s
        server.cold_until = max(server.cold_until, now + pause_s + DOUBT_S)

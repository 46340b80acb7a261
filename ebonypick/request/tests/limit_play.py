"""Plays requests against hosts whose servers name limits, in virtual time.

Load: a part of a service's servers names a limit of requests per second in
the middle of steady traffic, and may change or withdraw it.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from ebonypick import request
from standins import limits

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
SLOTS = 3
WORK_S = 0.3
# Interval at which each host exchanges what it knows with another one.
GOSSIP_S = 0.5
MAX_RECORDS = 12


@dataclasses.dataclass(frozen=True)
class Naming:
    """A period in which some servers name a limit.

    Parameters
    ==========
    at, until : float
        Start and end in virtual seconds.
    servers : int
        Number of servers that name it, counted from the first.
    per_s : float
        The limit.
    """

    at: float
    until: float
    servers: int
    per_s: float


class LimitPlay:
    """Hosts, servers and callers of one service, without a network.

    Parameters
    ==========
    hosts, servers : int
        Their numbers; both are spread over the data centres in turn.
    per_s : float
        Requests per second of all callers.
    namings : tuple of Naming
        The limits that servers name.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, hosts, servers, per_s, namings, seed=1):
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._namings = namings
        self._order = itertools.count()
        self._events = []
        centres = list(REGIONS)
        self._centre_of = {
            f'h{n}': centres[n % len(centres)] for n in range(hosts)
        }
        self.entries = tuple(
            request.ServerEntry(
                f's{n}', 's', ('', 0), centres[n % len(centres)], SLOTS
            )
            for n in range(servers)
        )
        self.fleets = {name: self.make_fleet(name) for name in self._centre_of}
        # Time and sending host of each arrival, by server.
        self.arrivals = collections.defaultdict(list)
        # Time of the first answer with a limit, by server and host.
        self.told = {}
        self.counts = collections.Counter()
        self._groups = [list(self.fleets)]

    def make_fleet(self, name):
        """Return the state of a host that has just started."""
        fleet = request.Fleet(
            name, self._centre_of[name], REGIONS, random.Random(name)
        )
        fleet.update(self.entries, 0.0)
        return fleet

    def set_views(self, now, *groups):
        """Let each group of hosts see only its own members alive."""
        self._groups = [list(names) for names in groups]
        listed = self._by_centre(self.fleets)
        for names in groups:
            view = self._by_centre(names)
            for name in names:
                self.fleets[name].set_hosts(view, listed)

    def _by_centre(self, names):
        found = collections.defaultdict(tuple)
        for name in names:
            found[self._centre_of[name]] += (name,)
        return dict(found)

    def restart(self, now, name):
        """Replace the state of a host by that of a new process."""
        self.fleets[name] = self.make_fleet(name)
        self.told = {
            (server, host): at
            for (server, host), at in self.told.items()
            if host != name
        }
        self.set_views(now, *self._groups)

    def at(self, when, call, *args):
        """Call a function at a virtual time; its first argument is that."""
        heapq.heappush(self._events, (when, next(self._order), call, args))

    def run(self, seconds):
        """Play a number of virtual seconds."""
        self.set_views(0.0, self.fleets)
        self.at(0.0, self._ask, seconds)
        self.at(GOSSIP_S, self._gossip, seconds)
        while self._events:
            when, _, call, args = heapq.heappop(self._events)
            call(when, *args)

    def limit_of(self, server, now):
        """Return the limit that a server names now, or None."""
        number = int(server.removeprefix('s'))
        for row in self._namings:
            if row.at <= now < row.until and number < row.servers:
                return row.per_s
        return None

    def _gossip(self, now, seconds):
        if now >= seconds:
            return
        self.at(now + GOSSIP_S, self._gossip, seconds)
        for names in self._groups:
            for name in names:
                self._exchange(name, self._rng.choice(names))

    def _exchange(self, *pair):
        fleets = [self.fleets[name] for name in pair]
        for sender, receiver in (fleets, reversed(fleets)):
            for instance, limit in sender.limits_to_send(MAX_RECORDS):
                receiver.receive_limit(instance, limit)

    def _ask(self, now, seconds):
        if now >= seconds:
            return
        self.at(now + self._rng.expovariate(self._per_s), self._ask, seconds)
        host = self._rng.choice(list(self.fleets))
        region = REGIONS[self._centre_of[host]]
        # About as many objects for each server as it caches.
        key = f'{region}/{self._rng.randrange(8 * len(self.entries))}'
        ask = request.Ask('s', key, frozenset(), 1, 2.0, objective_s=1.0)
        fleet = self.fleets[host]
        choice = fleet.choose(ask, now)
        if isinstance(choice, request.Rejected):
            self.counts[choice.reason] += 1
            return
        server = choice.entry.instance
        self.counts['sent'] += 1
        self.arrivals[server].append((now, host))
        ticket = fleet.sent(server, key, now)
        self.at(now + WORK_S, self._answer, fleet, host, ticket)

    def _answer(self, now, fleet, host, ticket):
        limit = self.limit_of(ticket.instance, now)
        if limit is not None:
            self.told.setdefault((ticket.instance, host), now)
        head = request.AnswerHead('r', sealed=True, limit_per_s=limit)
        fleet.answered(ticket, head, False, now)
        fleet.ended(ticket, now)

    def breaches(self):
        """Return a sentence for each window over the bound of a limit."""
        found = []
        for entry in self.entries:
            server = entry.instance
            told = {h: at for (s, h), at in self.told.items() if s == server}
            found += limits.breaches(
                self._named(server), self.arrivals[server], told
            )
        return found

    def _named(self, server):
        times = {t for row in self._namings for t in (row.at, row.until)}
        return [
            limits.NamedLimit(server, at, self.limit_of(server, at))
            for at in sorted(times)
        ]

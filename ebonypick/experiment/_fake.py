"""A fake of slots, service times, caches and lagging reports.

It drives the real decision core with events and a clock of its own. It has
no hosts, packets or protocol: a fault is an event fed to the core.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import numpy

from ebonypick import process
from ebonypick import request

EXCHANGE_S = 0.5
TICK_S = 0.1
ATTEMPTS_MOST = 4


@dataclasses.dataclass(frozen=True)
class Workload:
    """What is asked of a deployment.

    Parameters
    ==========
    service : str
        The service.
    load : float
        Requests as a share of what all slots can serve.
    seconds : float
        Length of the run.
    policy : str
        Name in the registry of policies, or ``perfect``.
    report_lag_s : float
        Age of the backend servers' reports, which only baselines use.
    answer_bytes : int
        Length of an answer.
    deadline_s : float
        Time that a caller gives.
    rates : dict of str to callable
        By region, a factor of the rate over time; 1 where missing.
    cold_factor : float
        How much longer a request takes on a cold cache.
    warm_requests : int
        Requests from another region that warm a server's cache for it.
    shift_share : callable
        The share that a shift allows, over time.
    """

    service: str
    load: float
    seconds: float
    policy: str
    report_lag_s: float = 1.0
    answer_bytes: int = 2_000
    deadline_s: float = 10.0
    rates: dict = dataclasses.field(default_factory=dict)
    cold_factor: float = 1.0
    warm_requests: int = 1
    shift_share: object = None


@dataclasses.dataclass(frozen=True)
class Sample:
    """A request that ended: when it arrived, its time, where it ran."""

    at: float
    seconds: float
    home: str
    region: str | None
    done: bool


@dataclasses.dataclass
class _Req:
    number: int
    at: float
    origin: str
    tried: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    name: str = ''
    home: str = ''
    moved_to: str | None = None


class Server:
    """The slots and the cache of a backend server."""

    def __init__(self, name, centre, region, slots):
        self.name = name
        self.centre = centre
        self.region = region
        self.slots = slots
        self.busy = 0
        self.most_busy = 0
        self.queue = collections.deque()
        self.foreign_seen = 0
        self.history = collections.deque([(0.0, 0)])

    def note(self, now):
        """Keep the load for later reports."""
        self.most_busy = max(self.most_busy, self.busy)
        self.history.append((now, self.busy + len(self.queue)))

    def reported(self, then):
        """Return the load as it was at a time."""
        while len(self.history) > 1 and self.history[1][0] <= then:
            self.history.popleft()
        return self.history[0][1]


class Fake:
    """Runs a workload on a configuration.

    Parameters
    ==========
    cfg : Configuration
        The deployment.
    work : Workload
        What is asked of it.
    seed : int
        The same seed gives the same figures.
    """

    def __init__(self, cfg, work, seed):
        self.cfg = cfg
        self.work = work
        self.now = 0.0
        self.samples = []
        self.sheds = 0
        self.refusals = 0
        self.link_bytes = collections.Counter()
        self.busy_by_region = collections.Counter()
        self.peak_by_region = collections.Counter()
        self.servers = {}
        self.hosts = {}
        self.alive = set(cfg.entry_hosts())
        self.leaving = frozenset()
        self._events = []
        self._order = itertools.count()
        self._reqs = {}
        self._rng = numpy.random.default_rng(seed)
        self._choice = random.Random(seed)
        self._links = {}
        self._regions = cfg.data_centre_region()
        self._delays = {
            (a, b): cfg.delay_s(a, b)
            for a in self._regions
            for b in self._regions
        }
        self._service = cfg.base.services[work.service]
        self._mean_s = self._service.service_ms / 1000
        for name, centre, item, server in cfg.backends(work.service):
            region = self._regions[centre]
            slots = server.slots or item.slots
            self.servers[name] = Server(name, centre, region, slots)
        self.capacity = collections.Counter()
        for server in self.servers.values():
            self.capacity[server.region] += server.slots
        self.configured_slots = {
            name: server.slots for name, server in self.servers.items()
        }
        self._make_hosts()
        self._start()

    # The real core, one dispatcher for each entry host.

    def _make_hosts(self):
        for name, (centre, _) in self.cfg.entry_hosts().items():
            region = self._regions[centre]
            reserve = self.cfg.base.regions[region].reserve_share
            settings = request.OwnerSettings(
                queue_wait_s=self._service.queue_wait_ms / 1000,
                service_s=self._mean_s,
                warm_s=self._service.warm_s,
                reserve_share=reserve,
            )
            policy = self.work.policy
            if policy not in ('latency', 'headroom'):
                policy = 'latency'
            self.hosts[name] = request.Dispatcher(
                name,
                region,
                settings,
                request.make_policy(policy, self._choice),
                link_wait_s=lambda to, now, home=region, host=name: self._link(
                    host, home, to
                ).wait_s(now),
                allowed_share=lambda shift: self.work.shift_share(self.now),
            )
            self._make_links(name, region)
        self.relayout()

    def _make_links(self, name, region):
        centres = self.cfg.base.regions[region].data_centres.values()
        count = sum(len(centre.entry_hosts) for centre in centres)
        for link in self.cfg.base.links:
            if region in link.between:
                other = next(r for r in link.between if r != region)
                part = link.limit_mbit_s * 1e6 / 8 * 0.85 / count
                self._links[name, other] = request.LinkBudget(
                    part, part * 0.05
                )

    def _link(self, host, home, to):
        return self._links[host, to]

    def lose_hosts(self, names):
        """Take entry hosts away; the others hear of it later."""
        self.alive -= set(names)

    def lose_region(self, region):
        """Take a region's entry hosts and backend servers away."""
        self.lose_hosts(
            name
            for name in self.hosts
            if self._regions[self._centre(name)] == region
        )
        for server in self.servers.values():
            if server.region == region:
                server.slots = 0
                self.leaving |= {server.name}

    def relayout(self):
        """Tell all hosts who lives and what leaves."""
        alive = collections.defaultdict(list)
        for name in sorted(self.alive):
            alive[self.cfg.entry_hosts()[name][0]].append(name)
        view = process.View(
            {c: tuple(alive[c]) for c in self._regions}, frozenset()
        )
        for name in self.alive:
            layout = process.make_layout(
                self.cfg, view, name, self.work.service, self.leaving
            )
            self._resolve(name, self.hosts[name].update(layout, self.now))
        self._entries = {
            region: [
                (item.name, item.weight, item.tier)
                for item in request.look_up(
                    self.cfg, view, region, layout.places
                )
            ]
            for region in self.cfg.base.regions
        }

    # Events.

    def at(self, when, action, *args):
        """Call a function at a time."""
        item = (when, next(self._order), action, args)
        heapq.heappush(self._events, item)

    def run(self):
        """Run to the end; return the samples."""
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            if self.now > self.work.seconds + self.work.deadline_s:
                break
            action(*args)
        return self.samples

    def _start(self):
        for region in self.cfg.base.regions:
            self._next_arrival(region)
        if self.work.policy in ('latency', 'headroom'):
            self.at(EXCHANGE_S, self._exchange)
            self.at(TICK_S, self._tick)

    def _next_arrival(self, region):
        factor = self.work.rates.get(region, lambda now: 1.0)(self.now)
        whole = self.capacity[region] / self._mean_s
        rate = max(1e-6, whole * self.work.load * factor)
        self.at(
            self.now + self._rng.exponential(1 / rate), self._arrive, region
        )

    def _entry(self, region):
        rows = [r for r in self._entries[region] if r[0] in self.alive]
        nearest = [r for r in rows if r[2] == rows[0][2]]
        weights = [r[1] for r in nearest]
        return self._choice.choices(nearest, weights)[0][0]

    def _arrive(self, region):
        if self.now < self.work.seconds:
            self._next_arrival(region)
        number = next(self._order)
        origin = self._entry(region)
        req = _Req(number, self.now, origin, name=f'r{number}', home=region)
        if self.work.policy in ('latency', 'headroom'):
            self._route(req)
        else:
            self._send_directly(req)

    # Our policy.

    def _offer(self, req, foreign, planned=False):
        name = f'{req.name}.{req.attempts}'
        self._reqs[name] = req
        deadline = req.at + self.work.deadline_s
        return request.Offer(name, deadline, foreign, planned)

    def _route(self, req):
        req.attempts += 1
        if req.origin not in self.alive:
            self._end(req, None, False)
            return
        # Callers of a lost region come to another one's entry hosts.
        foreign = req.home != self._regions[self._centre(req.origin)]
        arrival = request.Arrival(
            self._offer(req, foreign),
            frozenset(req.tried),
            req.attempts == 1,
            moved_to=req.moved_to,
        )
        decision = self.hosts[req.origin].arrive(arrival, self.now)
        self._carry_out(req.origin, decision)

    def _carry_out(self, host, decision):
        req = self._reqs[decision.req]
        if isinstance(decision, request.Placed):
            way_s = self._way(host, self.servers[decision.backend].centre)
            self.at(
                self.now + way_s,
                self._start_run,
                host,
                decision.req,
                decision.backend,
            )
        elif isinstance(decision, request.Forward):
            planned = decision.reason == 'shift'
            req.moved_to = decision.region if planned else None
            way_s = self._way(host, self._centre(decision.owner))
            self.at(self.now + way_s, self._pass_on, req, decision.owner)
        elif isinstance(decision, request.Refused):
            self._refuse(req, host)

    def _centre(self, host):
        return self.cfg.entry_hosts()[host][0]

    def _way(self, host, centre):
        return self._delays[self._centre(host), centre]

    def _pass_on(self, req, owner):
        if owner not in self.alive:
            self._refuse(req, owner)
            return
        foreign = req.home != self._regions[self._centre(owner)]
        offer = self._offer(req, foreign, req.moved_to is not None)
        arrival = request.Arrival(offer, passed=True)
        decision = self.hosts[owner].arrive(arrival, self.now)
        self._carry_out(owner, decision)

    def _refuse(self, req, host):
        """Take a refusal back to the origin, which may try another."""
        self.refusals += 1
        if host == req.origin or req.attempts >= ATTEMPTS_MOST:
            self._end(req, None, False)
            return
        req.tried.add(host)
        self._tell_load(host, req.origin)
        self.hosts[req.origin].forward_ended(
            f'{req.name}.{req.attempts}', host, self.now
        )
        self.at(
            self.now + self._way(host, self._centre(req.origin)),
            self._route,
            req,
        )

    def _tell_load(self, host, origin):
        if host in self.alive and origin in self.alive:
            load = self.hosts[host].owner.load(self.now)
            self.hosts[origin].hear_load(host, load, self.now)

    def _start_run(self, host, name, backend):
        server = self.servers[backend]
        if server.busy >= server.slots:
            self.sheds += 1
            if host in self.alive:
                result = request.Result.SHED
                done = self.hosts[host].finish(name, result, self.now)
                self._resolve(host, done)
            self._refuse(self._reqs[name], host)
            return
        self._occupy(server)
        self.at(
            self.now + self._service_s(self._reqs[name], server),
            self._end_run,
            host,
            name,
            server,
        )

    def _occupy(self, server):
        server.busy += 1
        server.note(self.now)
        region = server.region
        self.busy_by_region[region] += 1
        self.peak_by_region[region] = max(
            self.peak_by_region[region], self.busy_by_region[region]
        )

    def _release(self, server):
        server.busy -= 1
        server.note(self.now)
        self.busy_by_region[server.region] -= 1

    def _service_s(self, req, server):
        seconds = self._rng.exponential(self._mean_s)
        if req.home != server.region and self.work.cold_factor > 1:
            server.foreign_seen += 1
            left = max(0.0, 1 - server.foreign_seen / self.work.warm_requests)
            seconds *= 1 + (self.work.cold_factor - 1) * left
        return seconds

    def _end_run(self, host, name, server):
        self._release(server)
        self.at(
            self.now + self._way(host, server.centre),
            self._answer,
            host,
            name,
            server,
        )

    def _answer(self, host, name, server):
        req = self._reqs[name]
        if host in self.alive:
            result = request.Result.DONE
            done = self.hosts[host].finish(name, result, self.now)
            self._resolve(host, done)
        way_s = 0.0
        if host != req.origin:
            way_s = self._way(host, self._centre(req.origin))
            way_s += self._charge_link(host, req)
            self.hosts[req.origin].forward_ended(name, host, self.now)
            self._tell_load(host, req.origin)
        lost = host not in self.alive or req.origin not in self.alive
        self.at(self.now + way_s, self._end, req, server.region, not lost)

    def _charge_link(self, host, req):
        """Send an answer over the link; return how long it waits."""
        home = self._regions[self._centre(host)]
        to = self._regions[self._centre(req.origin)]
        if home == to:
            return 0.0
        size = self.work.answer_bytes
        wait_s = self._links[host, to].take(size, self.now)
        second = int(self.now + wait_s)
        self.link_bytes[home, to, second] += size
        return wait_s

    def _resolve(self, host, decisions):
        for decision in decisions:
            self._carry_out(host, decision)

    def _end(self, req, region, done):
        self.samples.append(
            Sample(req.at, self.now - req.at, req.home, region, done)
        )

    def _exchange(self):
        """Let all hosts hear each other's loads, as their messages do."""
        if self.now < self.work.seconds:
            self.at(self.now + EXCHANGE_S, self._exchange)
        for host in sorted(self.alive):
            for origin in sorted(self.alive - {host}):
                self._tell_load(host, origin)

    def _tick(self):
        if self.now < self.work.seconds + self.work.deadline_s:
            self.at(self.now + TICK_S, self._tick)
        for host in sorted(self.alive):
            self._resolve(host, self.hosts[host].tick(self.now))

    # Baselines: an entry host sends to a backend server, which queues.

    def _send_directly(self, req):
        if self.work.policy == 'perfect':
            self._join_perfect(req)
            return
        then = self.now - self.work.report_lag_s
        targets = []
        for server in self.servers.values():
            if server.region == req.home:
                load = server.reported(then)
                free = server.slots - load
                targets.append(
                    request.Target(
                        server.name, server.region, 0.0, free, 0, server.slots
                    )
                )
        policy = self._baseline()
        server = self.servers[policy.choose(targets, self._mean_s).name]
        way_s = self._way(req.origin, server.centre)
        self.at(self.now + way_s, self._join, req, server)

    def _baseline(self):
        if not hasattr(self, '_policy'):
            self._policy = request.make_policy(self.work.policy, self._choice)
        return self._policy

    def _join(self, req, server):
        if server.busy >= server.slots:
            server.queue.append(req)
            server.note(self.now)
            return
        self._serve_directly(req, server)

    def _serve_directly(self, req, server):
        if self.now > req.at + self.work.deadline_s:
            self._end(req, None, False)
            self._next_direct(server)
            return
        self._occupy(server)
        seconds = self._service_s(req, server)
        self.at(self.now + seconds, self._end_direct, req, server)

    def _end_direct(self, req, server):
        self._release(server)
        way_s = self._way(req.origin, server.centre)
        self.at(self.now + way_s, self._end, req, server.region, True)
        self._next_direct(server)

    def _next_direct(self, server):
        if server.queue and server.busy < server.slots:
            self._serve_directly(server.queue.popleft(), server)

    # The limit: one queue for each region that knows everything.

    def _join_perfect(self, req):
        if not hasattr(self, '_queues'):
            self._queues = collections.defaultdict(collections.deque)
        queue = self._queues[req.home]
        wait_s = len(queue) * self._mean_s / self.capacity[req.home]
        if wait_s > self._service.queue_wait_ms / 1000:
            self._end(req, None, False)
            return
        queue.append(req)
        self._serve_perfect(req.home)

    def _serve_perfect(self, region):
        queue = self._queues[region]
        while queue and self.busy_by_region[region] < self.capacity[region]:
            req = queue.popleft()
            server = next(
                s
                for s in self.servers.values()
                if s.region == region and s.busy < s.slots
            )
            self._occupy(server)
            seconds = self._service_s(req, server)
            self.at(self.now + seconds, self._end_perfect, req, server)

    def _end_perfect(self, req, server):
        self._release(server)
        self._end(req, server.region, True)
        self._serve_perfect(server.region)

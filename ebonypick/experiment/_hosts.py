"""Simulated entry hosts that run the dispatchers of the product."""

import collections

from ebonypick import process
from ebonypick import request

LOAD_EXCHANGE_PERIOD_S = 0.5
TICK_PERIOD_S = 0.1
MAX_ATTEMPTS = 4


class OwnerHosts:
    """Simulated entry hosts, each with a dispatcher that owns slots.

    Parameters
    ==========
    simulation : Simulation
        The simulation that the hosts belong to.
    """

    def __init__(self, simulation):
        self.sheds = 0
        self.refusals = 0
        self.link_bytes = collections.Counter()
        self.hosts = {}
        self.alive = set(simulation.cfg.entry_hosts())
        self.leaving = frozenset()
        self._simulation = simulation
        self._reqs = {}
        self._links = {}
        self._entries = {}
        self._make_hosts()

    def _make_hosts(self):
        simulation = self._simulation
        for name in simulation.cfg.entry_hosts():
            region = simulation.regions[simulation.centre(name)]
            settings = request.OwnerSettings(
                queue_wait_s=simulation.service.queue_wait_ms / 1000,
                service_s=simulation.mean_s,
                warm_s=simulation.service.warm_s,
                reserve_share=simulation.cfg.base.regions[
                    region
                ].reserve_share,
            )
            self.hosts[name] = request.Dispatcher(
                name,
                region,
                settings,
                request.make_policy(
                    simulation.service.objective, simulation.choice
                ),
                link_wait_s=self._link_wait(name),
                allowed_share=lambda shift: simulation.work.shift_share(
                    simulation.now
                ),
            )
            self._links[name] = process.make_budgets(simulation.cfg, region)
        self.relayout()

    def _link_wait(self, host):
        return lambda region, now: self._links[host][region].wait_s(now)

    def lose_hosts(self, names):
        """Stop entry hosts; the others notice it at the next ``relayout``."""
        self.alive -= set(names)

    def lose_region(self, region):
        """Stop all entry hosts and backend servers of a region."""
        simulation = self._simulation
        self.lose_hosts(
            name
            for name in self.hosts
            if simulation.regions[simulation.centre(name)] == region
        )
        for server in simulation.servers.values():
            if server.region == region:
                server.slots = 0
                self.leaving |= {server.name}

    def relayout(self):
        """Update all hosts with the live hosts and the leaving servers."""
        simulation = self._simulation
        alive = collections.defaultdict(list)
        for name in sorted(self.alive):
            alive[simulation.centre(name)].append(name)
        view = process.View(
            {c: tuple(alive[c]) for c in simulation.regions}, frozenset()
        )
        for name in sorted(self.alive):
            layout = process.make_layout(
                simulation.cfg,
                view,
                name,
                simulation.work.service,
                self.leaving,
            )
            self._apply_decisions(
                name, self.hosts[name].update(layout, simulation.now)
            )
        self._entries = {
            region: request.look_up(
                simulation.cfg, view, region, layout.places
            )
            for region in simulation.cfg.base.regions
        }

    def start(self):
        """Schedule the load exchanges and the ticks of the dispatchers."""
        self._simulation.at(LOAD_EXCHANGE_PERIOD_S, self._exchange_loads)
        self._simulation.at(TICK_PERIOD_S, self._tick)

    def send(self, req):
        """Send a request to an entry host that a look-up returns."""
        rows = [r for r in self._entries[req.home] if r.name in self.alive]
        nearest = [r for r in rows if r.tier == rows[0].tier]
        weights = [r.weight for r in nearest]
        req.origin = self._simulation.choice.choices(nearest, weights)[0].name
        req.name = f'r{req.number}'
        self._route(req)

    def _offer(self, req, foreign, planned=False):
        name = f'{req.name}.{req.attempts}'
        self._reqs[name] = req
        deadline = req.at + self._simulation.work.deadline_s
        return request.Offer(name, deadline, foreign, planned)

    def _route(self, req):
        req.attempts += 1
        if req.origin not in self.alive:
            self._simulation.end(req, None, False)
            return
        # Callers of a lost region are sent to entry hosts of another region.
        foreign = (
            req.home
            != self._simulation.regions[self._simulation.centre(req.origin)]
        )
        arrival = request.Arrival(
            self._offer(req, foreign),
            frozenset(req.tried),
            req.attempts == 1,
            moved_to=req.moved_to,
        )
        decision = self.hosts[req.origin].arrive(arrival, self._simulation.now)
        self._apply_decision(req.origin, decision)

    def _apply_decision(self, host, decision):
        req = self._reqs[decision.req]
        if isinstance(decision, request.Placed):
            path_delay_s = self._simulation.path_delay_s(
                host, self._simulation.servers[decision.backend].centre
            )
            self._simulation.at(
                self._simulation.now + path_delay_s,
                self._start_run,
                host,
                decision.req,
                decision.backend,
            )
        elif isinstance(decision, request.Forward):
            planned = decision.reason == 'shift'
            req.moved_to = decision.region if planned else None
            path_delay_s = self._simulation.path_delay_s(
                host, self._simulation.centre(decision.owner)
            )
            self._simulation.at(
                self._simulation.now + path_delay_s,
                self._forward_to_owner,
                req,
                decision.owner,
            )
        elif isinstance(decision, request.NoSlot):
            self._refuse(req, host)

    def _forward_to_owner(self, req, owner):
        if owner not in self.alive:
            self._refuse(req, owner)
            return
        foreign = (
            req.home
            != self._simulation.regions[self._simulation.centre(owner)]
        )
        offer = self._offer(req, foreign, req.moved_to is not None)
        arrival = request.Arrival(offer, forwarded=True)
        decision = self.hosts[owner].arrive(arrival, self._simulation.now)
        self._apply_decision(owner, decision)

    def _refuse(self, req, host):
        """Return a refusal to the origin host, which may try another owner."""
        self.refusals += 1
        if host == req.origin or req.attempts >= MAX_ATTEMPTS:
            self._simulation.end(req, None, False)
            return
        req.tried.add(host)
        self._send_load_report(host, req.origin)
        self.hosts[req.origin].forward_ended(
            f'{req.name}.{req.attempts}', host, self._simulation.now
        )
        self._simulation.at(
            self._simulation.now
            + self._simulation.path_delay_s(
                host, self._simulation.centre(req.origin)
            ),
            self._route,
            req,
        )

    def _send_load_report(self, host, origin):
        if host in self.alive and origin in self.alive:
            load = self.hosts[host].owner.load(self._simulation.now)
            self.hosts[origin].update_load(host, load, self._simulation.now)

    def _start_run(self, host, name, backend):
        server = self._simulation.servers[backend]
        if server.busy >= server.slots:
            self.sheds += 1
            if host in self.alive:
                result = request.Result.SHED
                done = self.hosts[host].finish(
                    name, result, self._simulation.now
                )
                self._apply_decisions(host, done)
            self._refuse(self._reqs[name], host)
            return
        self._simulation.occupy(server)
        self._simulation.at(
            self._simulation.now
            + self._simulation.service_s(self._reqs[name], server),
            self._end_run,
            host,
            name,
            server,
        )

    def _end_run(self, host, name, server):
        self._simulation.release(server)
        self._simulation.at(
            self._simulation.now
            + self._simulation.path_delay_s(host, server.centre),
            self._answer,
            host,
            name,
            server,
        )

    def _answer(self, host, name, server):
        req = self._reqs[name]
        if host in self.alive:
            result = request.Result.DONE
            done = self.hosts[host].finish(name, result, self._simulation.now)
            self._apply_decisions(host, done)
        path_delay_s = 0.0
        if host != req.origin:
            path_delay_s = self._simulation.path_delay_s(
                host, self._simulation.centre(req.origin)
            )
            path_delay_s += self._charge_link(host, req)
            self.hosts[req.origin].forward_ended(
                name, host, self._simulation.now
            )
            self._send_load_report(host, req.origin)
        lost = host not in self.alive or req.origin not in self.alive
        self._simulation.at(
            self._simulation.now + path_delay_s,
            self._simulation.end,
            req,
            server.region,
            not lost,
        )

    def _charge_link(self, host, req):
        """Charge an answer to its link; return its waiting time in seconds."""
        home = self._simulation.regions[self._simulation.centre(host)]
        to = self._simulation.regions[self._simulation.centre(req.origin)]
        if home == to:
            return 0.0
        size = self._simulation.work.answer_bytes
        wait_s = self._links[host][to].take(size, self._simulation.now)
        second = int(self._simulation.now + wait_s)
        self.link_bytes[home, to, second] += size
        return wait_s

    def _apply_decisions(self, host, decisions):
        for decision in decisions:
            self._apply_decision(host, decision)

    def _exchange_loads(self):
        """Exchange the loads between all hosts, as gossip messages do."""
        if self._simulation.now < self._simulation.work.seconds:
            self._simulation.at(
                self._simulation.now + LOAD_EXCHANGE_PERIOD_S,
                self._exchange_loads,
            )
        for host in sorted(self.alive):
            for origin in sorted(self.alive - {host}):
                self._send_load_report(host, origin)

    def _tick(self):
        if (
            self._simulation.now
            < self._simulation.work.seconds + self._simulation.work.deadline_s
        ):
            self._simulation.at(
                self._simulation.now + TICK_PERIOD_S, self._tick
            )
        for host in sorted(self.alive):
            self._apply_decisions(
                host, self.hosts[host].tick(self._simulation.now)
            )

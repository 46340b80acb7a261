"""Baselines and an ideal bound, without slot owners or peer messages."""

import collections

from ebonypick import request


class DirectSender:
    """Baseline that sends each request directly to a server, which queues.

    Parameters
    ==========
    simulation : Simulation
        The simulation that the requests belong to.
    policy : str
        Name of the policy that chooses the server; it sees load reports of
        the age ``report_lag_s`` only.
    """

    sheds = 0
    link_bytes = {}

    def __init__(self, simulation, policy):
        self._simulation = simulation
        self._policy = request.make_policy(policy, simulation.choice)
        self._hosts = {
            region: sorted(
                name
                for centre in item.data_centres.values()
                for name in centre.entry_hosts
            )
            for region, item in simulation.cfg.base.regions.items()
        }

    def start(self):
        """Do nothing, as no event precedes the first request."""

    def send(self, req):
        """Send a request to a backend server of the caller's region."""
        simulation = self._simulation
        req.origin = simulation.choice.choice(self._hosts[req.home])
        then = simulation.now - simulation.work.report_lag_s
        targets = [
            request.Target(
                server.name,
                server.region,
                0.0,
                server.slots - server.reported(then),
                0,
                server.slots,
            )
            for server in simulation.servers.values()
            if server.region == req.home
        ]
        chosen = self._policy.choose(targets, simulation.mean_s)
        server = simulation.servers[chosen.name]
        path_delay_s = simulation.path_delay_s(req.origin, server.centre)
        simulation.at(simulation.now + path_delay_s, self._join, req, server)

    def _join(self, req, server):
        if server.busy >= server.slots:
            server.queue.append(req)
            server.note(self._simulation.now)
            return
        self._serve(req, server)

    def _serve(self, req, server):
        simulation = self._simulation
        if simulation.now > req.at + simulation.work.deadline_s:
            simulation.end(req, None, False)
            self._serve_next(server)
            return
        simulation.occupy(server)
        seconds = simulation.service_s(req, server)
        simulation.at(simulation.now + seconds, self._finish, req, server)

    def _finish(self, req, server):
        simulation = self._simulation
        simulation.release(server)
        path_delay_s = simulation.path_delay_s(req.origin, server.centre)
        simulation.at(
            simulation.now + path_delay_s,
            simulation.end,
            req,
            server.region,
            True,
        )
        self._serve_next(server)

    def _serve_next(self, server):
        if server.queue and server.busy < server.slots:
            self._serve(server.queue.popleft(), server)


class PerfectQueue:
    """Ideal bound: one queue per region with exact knowledge of all slots."""

    sheds = 0
    link_bytes = {}

    def __init__(self, simulation):
        self._simulation = simulation
        self._queues = collections.defaultdict(collections.deque)

    def start(self):
        """Do nothing, as no event precedes the first request."""

    def send(self, req):
        """Queue a request, or reject it if it would exceed the queue limit."""
        simulation = self._simulation
        queue = self._queues[req.home]
        wait_s = len(queue) * simulation.mean_s / simulation.capacity[req.home]
        if wait_s > simulation.service.queue_wait_ms / 1000:
            simulation.end(req, None, False)
            return
        queue.append(req)
        self._serve(req.home)

    def _serve(self, region):
        simulation = self._simulation
        queue = self._queues[region]
        while (
            queue
            and simulation.busy_by_region[region] < simulation.capacity[region]
        ):
            req = queue.popleft()
            server = next(
                s
                for s in simulation.servers.values()
                if s.region == region and s.busy < s.slots
            )
            simulation.occupy(server)
            seconds = simulation.service_s(req, server)
            simulation.at(simulation.now + seconds, self._finish, req, server)

    def _finish(self, req, server):
        simulation = self._simulation
        simulation.release(server)
        simulation.end(req, server.region, True)
        self._serve(server.region)

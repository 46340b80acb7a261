"""Baselines and an ideal bound, without slot owners or peer messages."""

import collections

from ebonypick import request


class DirectSender:
    """Baseline that sends each request directly to a server, which queues.

    Parameters
    ==========
    fake : Fake
        The simulation that the requests belong to.
    policy : str
        Name of the policy that chooses the server; it sees load reports of
        the age ``report_lag_s`` only.
    """

    sheds = 0
    link_bytes = {}

    def __init__(self, fake, policy):
        self._fake = fake
        self._policy = request.make_policy(policy, fake.choice)
        self._hosts = {
            region: sorted(
                name
                for centre in item.data_centres.values()
                for name in centre.entry_hosts
            )
            for region, item in fake.cfg.base.regions.items()
        }

    def start(self):
        """Do nothing, as no event precedes the first request."""

    def send(self, req):
        """Send a request to a backend server of the caller's region."""
        fake = self._fake
        req.origin = fake.choice.choice(self._hosts[req.home])
        then = fake.now - fake.work.report_lag_s
        targets = [
            request.Target(
                server.name,
                server.region,
                0.0,
                server.slots - server.reported(then),
                0,
                server.slots,
            )
            for server in fake.servers.values()
            if server.region == req.home
        ]
        chosen = self._policy.choose(targets, fake.mean_s)
        server = fake.servers[chosen.name]
        path_delay_s = fake.path_delay_s(req.origin, server.centre)
        fake.at(fake.now + path_delay_s, self._join, req, server)

    def _join(self, req, server):
        if server.busy >= server.slots:
            server.queue.append(req)
            server.note(self._fake.now)
            return
        self._serve(req, server)

    def _serve(self, req, server):
        fake = self._fake
        if fake.now > req.at + fake.work.deadline_s:
            fake.end(req, None, False)
            self._serve_next(server)
            return
        fake.occupy(server)
        seconds = fake.service_s(req, server)
        fake.at(fake.now + seconds, self._finish, req, server)

    def _finish(self, req, server):
        fake = self._fake
        fake.release(server)
        path_delay_s = fake.path_delay_s(req.origin, server.centre)
        fake.at(fake.now + path_delay_s, fake.end, req, server.region, True)
        self._serve_next(server)

    def _serve_next(self, server):
        if server.queue and server.busy < server.slots:
            self._serve(server.queue.popleft(), server)


class PerfectQueue:
    """Ideal bound: one queue per region with exact knowledge of all slots."""

    sheds = 0
    link_bytes = {}

    def __init__(self, fake):
        self._fake = fake
        self._queues = collections.defaultdict(collections.deque)

    def start(self):
        """Do nothing, as no event precedes the first request."""

    def send(self, req):
        """Queue a request, or reject it if it would exceed the queue limit."""
        fake = self._fake
        queue = self._queues[req.home]
        wait_s = len(queue) * fake.mean_s / fake.capacity[req.home]
        if wait_s > fake.service.queue_wait_ms / 1000:
            fake.end(req, None, False)
            return
        queue.append(req)
        self._serve(req.home)

    def _serve(self, region):
        fake = self._fake
        queue = self._queues[region]
        while queue and fake.busy_by_region[region] < fake.capacity[region]:
            req = queue.popleft()
            server = next(
                s
                for s in fake.servers.values()
                if s.region == region and s.busy < s.slots
            )
            fake.occupy(server)
            seconds = fake.service_s(req, server)
            fake.at(fake.now + seconds, self._finish, req, server)

    def _finish(self, req, server):
        fake = self._fake
        fake.release(server)
        fake.end(req, server.region, True)
        self._serve(server.region)

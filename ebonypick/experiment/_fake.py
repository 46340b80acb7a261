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
class Req:
    """A request on its way through the fake."""

    number: int
    at: float
    home: str
    origin: str = ''
    tried: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    name: str = ''
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
    """The events, the backend servers and the samples of a run.

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
        self.busy_by_region = collections.Counter()
        self.peak_by_region = collections.Counter()
        self.servers = {}
        self.capacity = collections.Counter()
        self.regions = cfg.data_centre_region()
        self.choice = random.Random(seed)
        self.order = itertools.count()
        self.service = cfg.base.services[work.service]
        self.mean_s = self.service.service_ms / 1000
        self.strategy = None
        self._events = []
        self._rng = numpy.random.default_rng(seed)
        for name, centre, item, server in cfg.backends(work.service):
            slots = server.slots or item.slots
            region = self.regions[centre]
            self.servers[name] = Server(name, centre, region, slots)
            self.capacity[region] += slots
        self.configured_slots = {
            name: server.slots for name, server in self.servers.items()
        }

    def at(self, when, action, *args):
        """Call a function at a time."""
        item = (when, next(self.order), action, args)
        heapq.heappush(self._events, item)

    def run(self, strategy):
        """Run to the end with a strategy; return the samples.

        Parameters
        ==========
        strategy : object
            Has ``start()`` and ``send(req)``.

        Returns
        =======
        list of Sample
        """
        self.strategy = strategy
        for region in self.cfg.base.regions:
            self._next_arrival(region)
        strategy.start()
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            if self.now > self.work.seconds + self.work.deadline_s:
                break
            action(*args)
        return self.samples

    def _next_arrival(self, region):
        factor = self.work.rates.get(region, lambda now: 1.0)(self.now)
        whole = self.capacity[region] / self.mean_s
        rate = max(1e-6, whole * self.work.load * factor)
        self.at(
            self.now + self._rng.exponential(1 / rate), self._arrive, region
        )

    def _arrive(self, region):
        if self.now < self.work.seconds:
            self._next_arrival(region)
        self.strategy.send(Req(next(self.order), self.now, home=region))

    def occupy(self, server):
        """Take a slot of a backend server."""
        server.busy += 1
        server.note(self.now)
        region = server.region
        self.busy_by_region[region] += 1
        self.peak_by_region[region] = max(
            self.peak_by_region[region], self.busy_by_region[region]
        )

    def release(self, server):
        """Give a slot of a backend server back."""
        server.busy -= 1
        server.note(self.now)
        self.busy_by_region[server.region] -= 1

    def service_s(self, req, server):
        """Return the time of a request on a slot."""
        seconds = self._rng.exponential(self.mean_s)
        if req.home != server.region and self.work.cold_factor > 1:
            server.foreign_seen += 1
            left = max(0.0, 1 - server.foreign_seen / self.work.warm_requests)
            seconds *= 1 + (self.work.cold_factor - 1) * left
        return seconds

    def end(self, req, region, done):
        """Note the end of a request."""
        self.samples.append(
            Sample(req.at, self.now - req.at, req.home, region, done)
        )

    def centre(self, host):
        """Return the data centre of an entry host."""
        return self.cfg.entry_hosts()[host][0]

    def way_s(self, host, centre):
        """Return the one-way delay from an entry host to a data centre."""
        return self.cfg.delay_s(self.centre(host), centre)

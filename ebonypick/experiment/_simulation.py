"""Discrete-event simulation of slots, service times, caches and reports.

It drives the decision code of the product with events and a virtual clock.
It simulates no packets or protocol: a fault is an event for that code.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import numpy


@dataclasses.dataclass(frozen=True)
class Workload:
    """The load that callers offer to a deployment.

    Parameters
    ==========
    service : str
        Name of the requested service.
    load : float
        Request rate as a share of the rate that all slots can serve.
    seconds : float
        Duration of the arrivals in virtual seconds.
    report_lag_s : float
        Age in seconds of the load reports of backend servers, which only the
        baselines use.
    answer_bytes : int
        Length of an answer.
    deadline_s : float
        Seconds after which a caller gives up.
    rates : dict of str to callable
        By region, a function from the time to a factor of the request rate;
        the factor is 1 for other regions.
    cold_factor : float
        Factor by which a request takes longer with a cold cache.
    warm_requests : int
        Number of requests from other regions that warm up a server's cache.
    shift_share : callable
        Function from the time to the share that a shift allows.
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
    """A finished request with its arrival time, duration and regions."""

    at: float
    seconds: float
    home: str
    region: str | None
    done: bool


@dataclasses.dataclass
class SimulatedRequest:
    """A request in progress."""

    number: int
    at: float
    home: str
    origin: str = ''
    tried: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    name: str = ''
    moved_to: str | None = None


class Server:
    """A simulated backend server with slots, a queue and a cache."""

    def __init__(self, name, centre, region, slots):
        self.name = name
        self.centre = centre
        self.region = region
        self.slots = slots
        self.busy = 0
        self.most_busy = 0
        self.queue = collections.deque()
        self.remote_requests = 0
        self.history = collections.deque([(0.0, 0)])

    def note(self, now):
        """Record the current load for later reports."""
        self.most_busy = max(self.most_busy, self.busy)
        self.history.append((now, self.busy + len(self.queue)))

    def reported(self, then):
        """Return the load at a past time; times must not decrease."""
        while len(self.history) > 1 and self.history[1][0] <= then:
            self.history.popleft()
        return self.history[0][1]


class Simulation:
    """Event queue, backend servers and samples of one simulation run.

    Parameters
    ==========
    cfg : Configuration
        The simulated deployment.
    work : Workload
        The offered load.
    seed : int
        Seed of all random numbers; the same seed gives the same figures.
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
        """Schedule a function call at a virtual time."""
        item = (when, next(self.order), action, args)
        heapq.heappush(self._events, item)

    def run(self, strategy):
        """Run the simulation with a strategy; return the samples.

        Parameters
        ==========
        strategy : object
            Object with the methods ``start()`` and ``send(req)``.

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
        self.strategy.send(
            SimulatedRequest(next(self.order), self.now, home=region)
        )

    def occupy(self, server):
        """Occupy a slot of a backend server."""
        server.busy += 1
        server.note(self.now)
        region = server.region
        self.busy_by_region[region] += 1
        self.peak_by_region[region] = max(
            self.peak_by_region[region], self.busy_by_region[region]
        )

    def release(self, server):
        """Release a slot of a backend server."""
        server.busy -= 1
        server.note(self.now)
        self.busy_by_region[server.region] -= 1

    def service_s(self, req, server):
        """Return the service time of a request on a server, in seconds."""
        seconds = self._rng.exponential(self.mean_s)
        if req.home != server.region and self.work.cold_factor > 1:
            server.remote_requests += 1
            left = max(
                0.0, 1 - server.remote_requests / self.work.warm_requests
            )
            seconds *= 1 + (self.work.cold_factor - 1) * left
        return seconds

    def end(self, req, region, done):
        """Record the end of a request; ``region`` is where it ran, or None."""
        self.samples.append(
            Sample(req.at, self.now - req.at, req.home, region, done)
        )

    def centre(self, host):
        """Return the data centre of an entry host."""
        return self.cfg.entry_hosts()[host][0]

    def path_delay_s(self, host, centre):
        """Return the one-way delay from an entry host to a data centre."""
        return self.cfg.delay_s(self.centre(host), centre)

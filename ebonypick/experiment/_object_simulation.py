"""Simulates requests for objects against the decisions of steering hosts.

Load: the offered work exceeds the slots unless servers answer from their
caches. A server is several times as fast at an object that it handled
recently and caches a bounded number of objects. All caches are empty at the
start, the peak of the traffic moves from region to region, and a rejected
caller retries once. A host knows only the requests that it sent itself and
the load reports in the answers to them.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from ebonypick.experiment import _object_policies
from ebonypick.experiment import _object_sites
from ebonypick import request

# Relative amplitude and period of the traffic; regions peak in turn.
TRAFFIC_AMPLITUDE = 0.55
PERIOD_S = 36.0
WINDOW_S = 2.0
# A rejected caller retries if the given delay is at most this share of the
# time left until its deadline.
RETRY_DELAY_SHARE = 1 / 3
SAME_REGION_DELAY_S = 0.001


class _Server:
    """A backend server with slots, a queue and an LRU cache of objects."""

    def __init__(self, entry, site):
        self.entry = entry
        self.site = site
        self.running = 0
        self.waiting = collections.deque()
        self.objects = collections.OrderedDict()

    def load(self):
        return request.LoadReport(
            self.running, len(self.waiting), self.site.slots
        )

    def work_s(self, cls, key, rng):
        warm = key in self.objects
        self.objects[key] = True
        self.objects.move_to_end(key)
        while len(self.objects) > self.site.cached_objects:
            self.objects.popitem(last=False)
        work_s = cls.work_s * math.exp(rng.gauss(0, self.site.spread))
        return work_s * (self.site.warm_share if warm else 1.0)


@dataclasses.dataclass
class _Attempt:
    """An attempt of a caller's request, from sending to the answer."""

    cls: _object_sites.RequestClass
    centre: str
    key: str
    first_at: float
    sent_at: float
    host: str
    retried: bool = False
    settled: bool = False
    server: object = None
    ticket: object = None
    started: bool = False


class ObjectSimulation:
    """One simulation run in virtual time.

    Parameters
    ==========
    site : ObjectSite
        The simulated deployment.
    policy : str
        Name of the policy in the registry.
    per_s : float
        Requests per second of all callers together.
    seconds : float
        Duration of the arrivals in virtual seconds.
    seed : int
        Seed of all random numbers.
    trouble : Trouble, optional
        Fault of a part of the servers.
    """

    def __init__(self, site, policy, per_s, seconds, seed, trouble=None):
        self._site = site
        self._per_s = per_s
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self.earned = collections.Counter()
        self.owed = collections.Counter()
        self.counts = collections.Counter()
        # Started requests by window, region of the caller and of the server.
        self.runs = collections.Counter()
        self._regions = {
            f'{region}{side}': str(region)
            for side in 'ab'
            for region in range(len(site.servers))
        }
        self._servers = {}
        for centre, region in self._regions.items():
            for number in range(site.servers[int(region)]):
                name = f's-{centre}-{number}'
                entry = request.ServerEntry(
                    name, 'service', ('', 0), centre, site.slots
                )
                self._servers[name] = _Server(entry, site)
        self._trouble = trouble
        self._troubled_servers = set()
        # Time of the first announcement of the fault, by host and server.
        self._announced_at = {}
        if trouble is not None:
            count = round(trouble.part * len(self._servers))
            names = sorted(self._servers)
            self._troubled_servers = set(self._rng.sample(names, count))
        self._fleets = {}
        hosts = {centre: (f'h-{centre}',) for centre in self._regions}
        for centre, (host,) in hosts.items():
            make = _object_policies.policies.get(policy)
            fleet = make(
                host, centre, self._regions, random.Random(f'{seed}{host}')
            )
            fleet.update([s.entry for s in self._servers.values()], 0.0)
            fleet.set_hosts(hosts)
            self._fleets[host] = fleet

    def _at(self, when, call, *args):
        heapq.heappush(self._events, (when, next(self._order), call, args))

    def run(self):
        """Run the simulation to its end; return the figures.

        Returns
        =======
        dict
            ``worth`` is the earned share of the greatest possible value,
            ``worst`` that share in the worst two windows, ``second_half``
            in the second half of the windows. ``refused``, ``again``
            (refused after a retry) and ``failed`` are shares of the
            requests. ``unwanted`` counts requests at servers that had asked
            the sending host for none. ``cold`` is the share of started
            requests whose object was not cached.
        """
        for centre in self._regions:
            self._at(self._interarrival_s(centre, 0.0), self._arrive, centre)
        while self._events:
            when, _, call, args = heapq.heappop(self._events)
            call(when, *args)
        windows = [
            self.earned[number] / self.owed[number]
            for number in sorted(self.owed)
            if self.owed[number]
        ]
        total = sum(self.owed.values())
        asked = max(1, self.counts['asked'])
        worst = sorted(windows)[:2]
        return {
            'worth': round(sum(self.earned.values()) / total, 3),
            'worst': round(sum(worst) / len(worst), 3),
            'second_half': round(
                sum(windows[len(windows) // 2 :])
                / len(windows[len(windows) // 2 :]),
                3,
            ),
            'refused': round(self.counts['refused'] / asked, 3),
            'again': round(self.counts['again'] / asked, 3),
            'failed': round(self.counts['failed'] / asked, 3),
            'unwanted': self.counts['unwanted'],
            'cold': round(self.counts['cold'] / max(1, self.counts['ran']), 3),
        }

    def _interarrival_s(self, centre, now):
        region = int(self._regions[centre])
        phase = 2 * math.pi * (now / PERIOD_S + region / 3)
        rate = (
            self._per_s
            / len(self._regions)
            * (1 + TRAFFIC_AMPLITUDE * math.sin(phase))
        )
        burst = sum(c.share * c.burst for c in self._site.classes)
        return self._rng.expovariate(rate / burst)

    def _arrive(self, now, centre):
        if now >= self._seconds:
            return
        self._at(now + self._interarrival_s(centre, now), self._arrive, centre)
        region = self._regions[centre]
        cls = self._rng.choices(
            self._site.classes, [c.share for c in self._site.classes]
        )[0]
        for _ in range(cls.burst):
            self._start_request(now, cls, centre, region)

    def _start_request(self, now, cls, centre, region):
        key = f'{cls.name}/{region}/{self._rng.randrange(cls.objects)}'
        self.owed[int(now / WINDOW_S)] += cls.worth
        self.counts['asked'] += 1
        self._send(now, _Attempt(cls, centre, key, now, now, f'h-{centre}'))

    def _send(self, now, attempt, tried=frozenset()):
        fleet = self._fleets[attempt.host]
        left_s = attempt.sent_at + attempt.cls.timeout_s - now
        ask = request.Ask(
            'service',
            attempt.key,
            frozenset(),
            attempt.cls.priority,
            left_s,
            tried,
            attempt.cls.bulky,
            attempt.cls.objective_s,
        )
        choice = fleet.choose(ask, now)
        if isinstance(choice, request.Rejected):
            self._refuse(now, attempt, choice.retry_after_s)
            return
        name = choice.entry.instance
        attempt.ticket = fleet.sent(name, attempt.key, now)
        attempt.server = name
        delay_s = self._delay_s(attempt.centre, name)
        self._at(
            now + delay_s, self._receive_at_server, attempt, tried | {name}
        )
        if not tried:
            end = attempt.sent_at + attempt.cls.timeout_s
            self._at(end, self._time_out, attempt)

    def _delay_s(self, centre, name):
        there = self._servers[name].entry.data_centre
        if self._regions[there] != self._regions[centre]:
            return self._site.inter_region_delay_s
        return SAME_REGION_DELAY_S

    def _misbehaves(self, now, server):
        trouble = self._trouble
        return (
            server.entry.instance in self._troubled_servers
            and trouble.at <= now < trouble.until
        )

    def _trouble_is(self, mode, now, server):
        return self._misbehaves(now, server) and self._trouble.mode == mode

    def _count_unwanted(self, now, server, attempt):
        """Count a request that reaches a server after it asked for none."""
        if not self._misbehaves(now, server):
            return
        if self._trouble.mode not in ('leaving', 'held-off'):
            return
        announced_at = self._announced_at.get(
            (attempt.host, server.entry.instance), now
        )
        # Requests sent before the host received the answer do not count.
        if now > announced_at + self._delay_s(attempt.centre, attempt.server):
            self.counts['unwanted'] += 1

    def _head(self, now, attempt, load, not_run=False):
        """Return the head of an answer; record its first fault report."""
        server = self._servers[attempt.server]
        limited = self._trouble_is('limited', now, server)
        leaving = self._trouble_is('leaving', now, server)
        held_off = not_run and self._trouble_is('held-off', now, server)
        if leaving or held_off:
            self._announced_at.setdefault((attempt.host, attempt.server), now)
        return request.AnswerHead(
            '',
            not_run=not_run,
            sealed=not not_run,
            load=load,
            leaving=leaving,
            hold_off_s=self._trouble.until - now if held_off else 0.0,
            limit_per_s=self._trouble.limit_per_s if limited else None,
        )

    def _receive_at_server(self, now, attempt, tried):
        if attempt.settled:
            return
        server = self._servers[attempt.server]
        self._count_unwanted(now, server, attempt)
        refuses = self._trouble_is('held-off', now, server)
        if refuses or self._sheds(now, server):
            self._reject(now, attempt, tried, server)
        elif server.running < self._site.slots:
            self._start(now, server, attempt)
        elif len(server.waiting) < self._site.queue:
            server.waiting.append(attempt)
        else:
            self._reject(now, attempt, tried, server)

    def _reject(self, now, attempt, tried, server):
        back = now + self._delay_s(attempt.centre, attempt.server)
        self._at(back, self._shed, attempt, tried, server.load())

    def _sheds(self, now, server):
        if not self._trouble_is('shedding', now, server):
            return False
        return self._rng.random() < self._trouble.shed_part

    def _start(self, now, server, attempt):
        server.running += 1
        attempt.started = True
        self.counts['ran'] += 1
        there = self._regions[server.entry.data_centre]
        here = self._regions[attempt.centre]
        self.runs[int(now / WINDOW_S), here, there] += 1
        warm = attempt.key in server.objects
        self.counts['cold'] += not warm
        work_s = server.work_s(attempt.cls, attempt.key, self._rng)
        if self._misbehaves(now, server):
            work_s *= self._trouble.slow
        self._at(now + work_s, self._finish, server, attempt, now + work_s)

    def _finish(self, now, server, attempt, ends_at):
        if attempt.started is False:
            return
        attempt.started = False
        server.running -= 1
        self._next(now, server)
        if attempt.settled:
            return
        back = now + self._delay_s(attempt.centre, attempt.server)
        self._at(back, self._answer, attempt, server.load())

    def _next(self, now, server):
        while server.waiting:
            attempt = server.waiting.popleft()
            if not attempt.settled:
                self._start(now, server, attempt)
                return

    def _end_attempt(self, attempt, now, head):
        fleet = self._fleets[attempt.host]
        if head is not None:
            fleet.answered(attempt.ticket, head, False, now)
        fleet.ended(attempt.ticket, now)

    def _answer(self, now, attempt, load):
        if attempt.settled:
            return
        attempt.settled = True
        head = self._head(now, attempt, load)
        self._end_attempt(attempt, now, head)
        took_s = now - attempt.first_at
        cls = attempt.cls
        in_time = took_s <= cls.objective_s
        window = int(attempt.first_at / WINDOW_S)
        self.earned[window] += cls.worth if in_time else cls.late_worth
        self.counts['served'] += 1

    def _shed(self, now, attempt, tried, load):
        if attempt.settled:
            return
        self.counts['shed'] += 1
        head = self._head(now, attempt, load, not_run=True)
        self._end_attempt(attempt, now, head)
        if len(tried) < 2:
            self._send(now, attempt, tried)
        else:
            attempt.settled = True
            fleet = self._fleets[attempt.host]
            self._refuse(
                now, attempt, fleet.retry_after_shed_s(attempt.server, now)
            )

    def _time_out(self, now, attempt):
        if attempt.settled:
            return
        attempt.settled = True
        self._end_attempt(attempt, now, None)
        server = self._servers[attempt.server]
        if attempt.started:
            # The server aborts a request whose connection closes.
            attempt.started = False
            server.running -= 1
            self._next(now, server)
        self._fail(now, attempt)

    def _refuse(self, now, attempt, retry_after_s):
        left_s = attempt.first_at + attempt.cls.deadline_s - now
        if attempt.retried or retry_after_s > left_s * RETRY_DELAY_SHARE:
            self.counts['refused'] += 1
            self.counts['again'] += attempt.retried
            return
        back = now + retry_after_s
        self._at(back, self._retry, attempt)

    def _fail(self, now, attempt):
        left_s = attempt.first_at + attempt.cls.deadline_s - now
        if attempt.retried or not attempt.cls.idempotent or left_s <= 0.1:
            self.counts['failed'] += 1
            return
        self._at(now, self._retry, attempt)

    def _retry(self, now, attempt):
        again = dataclasses.replace(
            attempt,
            sent_at=now,
            retried=True,
            settled=False,
            started=False,
            server=None,
        )
        self._send(now, again)


def play(site, policy, per_s, seconds=24.0, seed=1, trouble=None):
    """Return the figures of one run; see ``ObjectSimulation.run``."""
    run = ObjectSimulation(
        _object_sites.SITES[site], policy, per_s, seconds, seed, trouble
    )
    return run.run()

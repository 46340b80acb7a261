"""Allocates the slots of the backend servers that an entry host owns."""

import collections
import dataclasses
import heapq
import itertools
import math

from ebonypick.request import _outcome
from ebonypick.request import _placement
from ebonypick.request import _slots

SERVICE_TIME_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Waiting:
    offer: _placement.Offer
    since: float


class SlotOwner:
    """The owner of the slots of a service's backend servers.

    Explanation
    ===========
    The owner counts the allocated slots exactly, so that no slot is given
    twice. It keeps one queue for all its backend servers, ordered by
    deadline. It reads no clock and no socket.

    Examples
    ========
    >>> owner = SlotOwner(_placement.OwnerSettings())
    >>> owner.update({'b1': 1}, now=0.0)
    ()
    >>> owner.offer(_placement.Offer('r1', deadline=1.0), now=0.0)
    Placed(req='r1', backend='b1', waited_s=0.0)
    >>> owner.offer(_placement.Offer('r2', deadline=1.0), now=0.0)
    Queued(req='r2', wait_s=0.01)
    >>> owner.finish('r1', _outcome.Result.DONE, now=0.5)
    (Placed(req='r2', backend='b1', waited_s=0.5),)

    Parameters
    ==========
    settings : OwnerSettings
        The limits and times that govern the slots.
    """

    def __init__(self, settings):
        self.settings = settings
        self.service_s = settings.service_s
        self._servers = {}
        self._held = {}
        self._queue = []
        self._waiting = {}
        self._order = itertools.count()
        # The totals and a heap of servers by load are updated at each event,
        # so that no decision has to scan all servers.
        self._capacity = 0
        self._free = 0
        self._ranked = []
        self._changing = set()

    def update(self, backends, now, leaving=frozenset()):
        """Set the owned backend servers.

        Parameters
        ==========
        backends : dict of str to int
            Slots by backend server.
        now : float
            Monotonic time in seconds.
        leaving : frozenset of str
            Backend servers that get no new requests.

        Returns
        =======
        tuple of Placed
            Waiting requests that got a slot.
        """
        for name, slots in backends.items():
            server = self._servers.get(name)
            if server is None:
                self._servers[name] = _slots.Slots(name, slots)
            elif server.slots != slots:
                server.slots = slots
                server.limit = min(server.limit, float(slots))
        for server in list(self._servers.values()):
            server.owned = server.name in backends
            server.configured_leaving = server.name in leaving
            self._refresh(server, now)
        return self._place_waiting(now)

    def _refresh(self, server, now):
        """Update the totals and the heap after a server changed."""
        warm_s = self.settings.warm_s
        old_room, old_free = server.room, server.counted_free
        server.room = server.find_room(now, warm_s)
        server.counted_free = server.free
        self._capacity += server.room - old_room
        self._free += server.counted_free - old_free
        if server.changes_with_time(now, warm_s):
            self._changing.add(server.name)
        else:
            self._changing.discard(server.name)
        if not server.owned and not server.held:
            self._servers.pop(server.name, None)
            self._changing.discard(server.name)
        self._rank(server)

    def _rank(self, server):
        """Push a server with free slots onto the heap again."""
        server.stamp = next(self._order)
        if server.free:
            load = len(server.held) / server.room
            item = (load, server.stamp, server)
            heapq.heappush(self._ranked, item)
        if len(self._ranked) > 4 * len(self._servers) + 64:
            # Outdated entries below the top of the heap are removed here, as
            # ``_best`` never reaches them.
            self._ranked = [i for i in self._ranked if i[1] == i[2].stamp]
            heapq.heapify(self._ranked)

    def _refresh_changing(self, now):
        for name in list(self._changing):
            self._refresh(self._servers[name], now)

    def load(self, now):
        """Return the free slots, queue length and capacity."""
        return _placement.Load(self._free, len(self._waiting), self._capacity)

    def _best(self, avoid):
        """Return the server with the lowest load, or None.

        Servers to avoid are used only if no other server has a free slot.
        """
        passed_over = []
        best = None
        while self._ranked:
            item = self._ranked[0]
            server = item[2]
            if item[1] != server.stamp or not server.free:
                heapq.heappop(self._ranked)
            elif server.name in avoid:
                passed_over.append(heapq.heappop(self._ranked))
            else:
                best = server
                break
        for item in passed_over:
            heapq.heappush(self._ranked, item)
        if best is None and passed_over:
            best = passed_over[0][2]
        return best

    def _place(self, server, offer, waited_s, now):
        server.held.add(offer.req)
        self._held[offer.req] = (server, now)
        self._refresh(server, now)
        return _placement.Placed(offer.req, server.name, waited_s)

    def offer(self, offer, now):
        """Place a request on a slot, queue it or refuse it.

        Returns
        =======
        Placed, Queued or NoSlot
        """
        self._refresh_changing(now)
        load = self.load(now)
        if load.capacity == 0:
            return _placement.NoSlot(offer.req, 'no-backend', 1.0)
        if offer.foreign:
            share = 0 if offer.planned else self.settings.reserve_share
            kept = math.ceil(share * load.capacity)
            if load.free - load.queued <= kept:
                return _placement.NoSlot(
                    offer.req, 'reserve', self._wait_s(load)
                )
        server = self._best(offer.avoid) if load.free else None
        if server is not None and not self._waiting:
            return self._place(server, offer, 0.0, now)
        wait_s = self._wait_s(load)
        latest = min(offer.deadline - now, self.settings.queue_wait_s)
        if offer.foreign or wait_s > latest:
            reason = 'full' if offer.deadline > now else 'deadline'
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
            return _placement.NoSlot(offer.req, reason, retry_after_s)
        waiting = _Waiting(offer, now)
        self._waiting[offer.req] = waiting
        item = (offer.deadline, next(self._order), offer.req)
        heapq.heappush(self._queue, item)
        return _placement.Queued(offer.req, wait_s)

    def _wait_s(self, load):
        return (load.queued + 1) * self.service_s / max(1, load.capacity)

    def finish(self, req, result, now):
        """Free the slot of a request.

        Parameters
        ==========
        req : str
            The id of the request.
        result : Result
            The result of the attempt.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        tuple of Placed or NoSlot
            The decisions on waiting requests.
        """
        held = self._held.pop(req, None)
        if held is None:
            return ()
        server, since = held
        server.held.discard(req)
        if result is _outcome.Result.DONE:
            gain = SERVICE_TIME_SMOOTHING * (now - since - self.service_s)
            self.service_s += gain
            server.succeed()
        elif result is _outcome.Result.SHED:
            server.shed()
        elif result is _outcome.Result.CONNECT_FAILED:
            server.fail(now)
        self._refresh(server, now)
        return self._place_waiting(now)

    def cancel(self, req):
        """Remove a waiting request; return whether it was in the queue."""
        return self._waiting.pop(req, None) is not None

    def report(self, backend, report, now):
        """Process the report of a backend server about itself.

        Only the states that argue against new requests are used: that the
        server is leaving or that it is cold. The reported load is not used
        for placement, as it lags.
        """
        server = self._servers.get(backend)
        if server is None:
            return ()
        # A server that left and started again no longer reports leaving.
        server.reported_leaving = report.leaving
        if report.cold and now - server.warm_from >= self.settings.warm_s:
            server.warm_from = now
        self._refresh(server, now)
        return self._place_waiting(now)

    def recovered(self, backend, now):
        """End the suspension of a backend server that answered a probe."""
        server = self._servers.get(backend)
        if server is None or not server.failures:
            return ()
        server.failures = 0
        server.suspended_until = now
        server.warm_from = now
        self._refresh(server, now)
        return self._place_waiting(now)

    def suspend(self, backend, now):
        """Suspend a backend server whose probe failed."""
        server = self._servers.get(backend)
        if server is not None:
            server.fail(now)
            self._refresh(server, now)

    def states(self):
        """Return (name, held, capacity, leaving) of each backend server."""
        return tuple(
            (s.name, len(s.held), s.room, s.leaving)
            for s in self._servers.values()
            if s.owned
        )

    def tick(self, now):
        """Place waiting requests and refuse those that are too late."""
        self._refresh_changing(now)
        done = self._place_waiting(now)
        load = self.load(now)
        late = [
            waiting
            for waiting in self._waiting.values()
            if waiting.offer.deadline <= now
            or load.capacity == 0
            or now - waiting.since > self.settings.queue_wait_s
        ]
        for waiting in late:
            del self._waiting[waiting.offer.req]
        wait_s = max(MIN_RETRY_AFTER_S, self._wait_s(load))
        refused = tuple(
            _placement.NoSlot(
                waiting.offer.req,
                'deadline' if waiting.offer.deadline <= now else 'full',
                wait_s,
            )
            for waiting in late
        )
        return done + refused

    def _place_waiting(self, now):
        """Give free slots to waiting requests, earliest deadline first."""
        decisions = []
        while self._queue:
            req = self._queue[0][2]
            waiting = self._waiting.get(req)
            if waiting is None:
                heapq.heappop(self._queue)
                continue
            server = self._best(waiting.offer.avoid)
            if server is None:
                break
            heapq.heappop(self._queue)
            del self._waiting[req]
            if waiting.offer.deadline <= now:
                decisions.append(
                    _placement.NoSlot(req, 'deadline', MIN_RETRY_AFTER_S)
                )
                continue
            waited_s = now - waiting.since
            decisions.append(self._place(server, waiting.offer, waited_s, now))
        return tuple(decisions)

    def held_by_backend(self):
        """Return the number of allocated slots by backend server."""
        counts = collections.Counter()
        for server, _ in self._held.values():
            counts[server.name] += 1
        return counts

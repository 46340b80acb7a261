"""Routes each request of a service to an owner of slots.

The dispatcher combines the policy, which chooses among the owners, with the
slots of its own host. It performs no input or output: it takes events and the
time, and returns decisions.
"""

import collections
import dataclasses
import itertools

import xxhash

from ebonypick.request import _budget
from ebonypick.request import _owner
from ebonypick.request import _placement
from ebonypick.request import _policy

# A reported load older than this is ignored, and the target counts as exactly
# full.
LOAD_TTL_S = 5.0
# Owners that are compared for one decision.
MAX_TARGETS = 6


@dataclasses.dataclass(frozen=True)
class OwnerPlace:
    """An owner of slots, from the configuration and the membership.

    Parameters
    ==========
    name : str
        The name of the entry host.
    data_centre, region : str
        The location of the entry host.
    delay_s : float
        One-way delay to it in seconds.
    capacity : int
        Configured slots that it owns.
    reserve_share : float
        Share of these slots that other regions may not use.
    """

    name: str
    data_centre: str
    region: str
    delay_s: float
    capacity: int
    reserve_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Layout:
    """The placement that holds until the configuration or members change.

    Parameters
    ==========
    places : tuple of OwnerPlace
        All owners of the service's slots.
    backends : dict of str to int
        The slots of each backend server that this host owns.
    leaving : frozenset of str
        Backend servers that get no new requests.
    shifts : tuple of (str, Shift)
        The shifts of the service away from the region of this host, with
        their names.
    """

    places: tuple
    backends: dict
    leaving: frozenset = frozenset()
    shifts: tuple = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has to be routed.

    Parameters
    ==========
    offer : Offer
        The part of the request that an owner needs.
    tried : frozenset of str
        Owners that refused the request or failed.
    first : bool
        Whether this is the first attempt; shifts count only first attempts.
    forwarded : bool
        Whether another entry host forwarded the request to this one.
    moved_to : str or None
        The region that a shift chose at an earlier attempt.
    """

    offer: _placement.Offer
    tried: frozenset = frozenset()
    first: bool = True
    forwarded: bool = False
    moved_to: str | None = None


@dataclasses.dataclass(frozen=True)
class Forward:
    """The request is forwarded to another entry host.

    Parameters
    ==========
    req : str
        The id of the request.
    owner : str
        The entry host.
    region : str
        The region of the entry host.
    reason : str
        ``shift``, ``near`` or ``far``.
    """

    req: str
    owner: str
    region: str
    reason: str


class Dispatcher:
    """Routes the requests of one service at one entry host.

    Parameters
    ==========
    host, region : str
        The entry host and its region.
    settings : OwnerSettings
        The settings of the host's own slots.
    policy : object
        An object with a method ``choose(targets, service_s)``.
    link_wait_s : callable
        Returns the wait in seconds for the link to a region; called with
        ``(region, now)``.
    allowed_share : callable
        Returns the share of requests that a shift may move; called with the
        shift.
    """

    def __init__(
        self,
        host,
        region,
        settings,
        policy,
        link_wait_s=lambda region, now: 0.0,
        allowed_share=lambda shift: 0.0,
    ):
        self.host = host
        self.region = region
        self.owner = _owner.SlotOwner(settings)
        self._policy = policy
        self._link_wait_s = link_wait_s
        self._allowed_share = allowed_share
        self._layout = Layout((), {})
        self._places = []
        self._loads = {}
        self._sent = collections.Counter()
        self._forwards = {}
        self._credits = {}

    def update(self, layout, now, settings=None, policy=None):
        """Apply a new layout; return the decisions on waiting requests."""
        if settings is not None:
            self.owner.settings = settings
        if policy is not None:
            self._policy = policy
        names = {name for name, _ in layout.shifts}
        self._credits = {
            name: self._credits.get(name) or _budget.ShiftCredit()
            for name in names
        }
        self._layout = layout
        self._places = sorted(layout.places, key=self._rank_place)
        return self.owner.update(layout.backends, now, layout.leaving)

    def _rank_place(self, place):
        """Sort places by distance, and by a hash of the host among equals."""
        spread = xxhash.xxh3_64_intdigest(f'{self.host}/{place.name}'.encode())
        return (place.name != self.host, place.delay_s, spread)

    def update_load(self, owner, load, now):
        """Store the load that another owner reported."""
        self._loads[owner] = (load, now)
        self._sent[owner] = 0

    def arrive(self, arrival, now):
        """Route a request.

        Returns
        =======
        Placed, Queued, NoSlot or Forward
        """
        offer = arrival.offer
        if arrival.forwarded:
            return self.owner.offer(offer, now)
        moved_to = arrival.moved_to
        if arrival.first:
            moved_to = self._shift_region()
        if moved_to is not None:
            decision = self._choose(arrival, now, lambda p: p == moved_to)
            if not isinstance(decision, _placement.NoSlot):
                return self._as_shift(decision)
        capped = {shift.to_region for _, shift in self._layout.shifts}
        if not any(p.region == self.region for p in self._layout.places):
            # The region has no owner left. This is a failover, to which the
            # cap of a shift does not apply.
            capped = set()
        return self._choose(arrival, now, lambda r: r not in capped)

    def _as_shift(self, decision):
        if isinstance(decision, Forward):
            return dataclasses.replace(decision, reason='shift')
        return decision

    def _shift_region(self):
        """Count a first attempt for all shifts; return its new region."""
        moved_to = None
        for name, shift in self._layout.shifts:
            share = self._allowed_share(shift)
            if self._credits[name].admit(share) and moved_to is None:
                moved_to = shift.to_region
        return moved_to

    def _choose(self, arrival, now, region_allowed):
        offer = arrival.offer
        tried = set(arrival.tried)
        refused = None
        if self._own_slot_is_best(offer, tried, region_allowed, now):
            return self.owner.offer(offer, now)
        while True:
            targets = self._targets(now, tried, region_allowed)
            if not targets:
                return refused or self._refuse_all(offer, tried, now)
            target = self._policy.choose(targets, self.owner.service_s)
            if target.name != self.host:
                return self._forward(offer, target)
            decision = self.owner.offer(offer, now)
            if not isinstance(decision, _placement.NoSlot):
                return decision
            refused = decision
            tried.add(self.host)

    def _own_slot_is_best(self, offer, tried, region_allowed, now):
        """Return whether an own slot is the choice without a comparison."""
        return (
            self._policy.own_free_slot_is_best
            and self.host not in tried
            and not offer.foreign
            and region_allowed(self.region)
            and self.owner.load(now).free > 0
        )

    def _refuse_all(self, offer, tried, now):
        reason = 'full' if tried else 'no-backend'
        load = self.owner.load(now)
        wait_s = (load.queued + 1) * self.owner.service_s
        wait_s /= max(1, load.capacity)
        return _placement.NoSlot(offer.req, reason, max(wait_s, 0.2))

    def _forward(self, offer, target):
        self._sent[target.name] += 1
        self._forwards[offer.req, target.name] = True
        reason = 'far' if target.foreign else 'near'
        return Forward(offer.req, target.name, target.region, reason)

    def _targets(self, now, tried=(), region_allowed=lambda region: True):
        """Return the nearest eligible owners, at most MAX_TARGETS."""
        chosen = itertools.islice(
            (
                place
                for place in self._places
                if place.name not in tried and region_allowed(place.region)
            ),
            MAX_TARGETS,
        )
        return [self._target(place, now) for place in chosen]

    def _target(self, place, now):
        foreign = place.region != self.region
        if place.name == self.host:
            load = self.owner.load(now)
            return _policy.Target(
                place.name,
                place.region,
                0.0,
                load.free,
                load.queued,
                load.capacity,
                foreign,
            )
        load, at = self._loads.get(place.name, (None, now))
        sent = self._sent[place.name]
        if load is None or now - at > LOAD_TTL_S:
            load = _placement.Load(place.capacity, 0, place.capacity)
        free = load.free - sent
        if foreign:
            free -= place.reserve_share * load.capacity
        link_wait_s = self._link_wait_s(place.region, now) if foreign else 0.0
        return _policy.Target(
            place.name,
            place.region,
            place.delay_s,
            free,
            load.queued,
            load.capacity,
            foreign,
            link_wait_s,
        )

    def explain(self, now):
        """Return the current targets and the one that would be chosen.

        Returns
        =======
        targets : list of Target
            The nearest owners of slots.
        chosen : str or None
            The owner to which a request would be routed now.
        """
        targets = self._targets(now)
        if not targets:
            return targets, None
        chosen = self._policy.choose(targets, self.owner.service_s)
        return targets, chosen.name

    def forward_ended(self, req, owner, now):
        """Record that a request forwarded to another owner has ended."""
        if self._forwards.pop((req, owner), None) and self._sent[owner] > 0:
            self._sent[owner] -= 1

    def finish(self, req, result, now):
        """Free a slot; return the decisions on waiting requests."""
        return self.owner.finish(req, result, now)

    def cancel(self, req):
        """Remove a waiting request from the queue."""
        return self.owner.cancel(req)

    def tick(self, now):
        """Return the decisions on waiting requests at the current time."""
        return self.owner.tick(now)

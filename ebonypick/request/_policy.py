"""Policies that choose among targets, in a registry.

A target is an owner of slots, or, for the baselines, a backend server that
is seen only by its lagging report.
"""

import dataclasses

from ebonypick import registry

policies = registry.Registry('policy')


class Policy:
    """The base class of all policies.

    Parameters
    ==========
    rng : random.Random
        Breaks ties, so that hosts do not all choose the same target.
    """

    # Whether a free slot of the host itself is always the choice, so that the
    # other owners need not be compared.
    own_free_slot_is_best = False

    def __init__(self, rng):
        self._rng = rng


@dataclasses.dataclass(frozen=True)
class Target:
    """An owner of slots to which a request may be routed.

    Parameters
    ==========
    name : str
        The entry host that owns the slots.
    region : str
        The region of the entry host.
    delay_s : float
        One-way delay to it in seconds.
    free : float
        Reported free slots, less the requests sent since the report.
    queued : float
        Reported waiting requests.
    capacity : float
        Total slots of the owner.
    foreign : bool
        Whether the owner is in another region.
    link_wait_s : float
        Wait in seconds for capacity on the link to it.
    """

    name: str
    region: str
    delay_s: float
    free: float
    queued: float
    capacity: float
    foreign: bool = False
    link_wait_s: float = 0.0


def expected_s(target, service_s):
    """Return the expected time until a slot there starts the request.

    Examples
    ========
    >>> target = Target('e', 'r', 0.001, free=0, queued=3, capacity=4)
    >>> round(expected_s(target, 0.01), 4)
    0.012
    """
    wait_s = 0.0
    if target.free < 1:
        ahead = target.queued + 1 - min(0, target.free)
        wait_s = ahead * service_s / max(1, target.capacity)
    return 2 * target.delay_s + wait_s + target.link_wait_s


@policies.register('latency')
class LatencyPolicy(Policy):
    """Chooses the target with the least expected time to a slot."""

    own_free_slot_is_best = True

    def choose(self, targets, service_s):
        """Return one of the targets."""

        def cost(target):
            share = target.free / max(1, target.capacity)
            tie = -share + 0.1 * self._rng.random()
            return (expected_s(target, service_s), tie)

        return min(targets, key=cost)


@policies.register('headroom')
class HeadroomPolicy(Policy):
    """Chooses the target with the largest free share, near ones first.

    Links between regions are used only if the own region has no free slot and
    its expected queueing time exceeds the path latency.
    """

    def choose(self, targets, service_s):
        """Return one of the targets."""
        near = [t for t in targets if t.free >= 1 and not t.foreign]
        if near:
            return min(near, key=self._used_share)
        return min(targets, key=lambda t: expected_s(t, service_s))

    def _used_share(self, target):
        used = target.capacity - target.free + target.queued
        # The random term keeps hosts with similar views from all choosing the
        # same target.
        return used / target.capacity + 0.05 * self._rng.random()


@policies.register('random')
class RandomPolicy(Policy):
    """Baseline: any target with equal chance."""

    def choose(self, targets, service_s):
        """Return one of the targets."""
        return self._rng.choice(targets)


@policies.register('round-robin')
class RoundRobinPolicy(Policy):
    """Baseline: each target in turn."""

    def __init__(self, rng):
        super().__init__(rng)
        self._next = rng.randrange(1000)

    def choose(self, targets, service_s):
        """Return one of the targets."""
        self._next += 1
        return targets[self._next % len(targets)]


@policies.register('two-choices')
class TwoChoicesPolicy(Policy):
    """Baseline: the less loaded of two random targets, by their reports."""

    def choose(self, targets, service_s):
        """Return one of the targets."""
        one = self._rng.choice(targets)
        other = self._rng.choice(targets)
        return max(one, other, key=lambda t: t.free - t.queued)


@policies.register('fixed-shares')
class FixedSharesPolicy(Policy):
    """Baseline: a random target, weighted by capacity."""

    def choose(self, targets, service_s):
        """Return one of the targets."""
        weights = [max(1, target.capacity) for target in targets]
        return self._rng.choices(targets, weights)[0]


def make_policy(name, rng):
    """Return the policy that is registered under ``name``."""
    return policies.get(name)(rng)

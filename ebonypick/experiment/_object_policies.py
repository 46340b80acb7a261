"""Registry of the object-affine server choice and of its baselines."""

import dataclasses
import functools

from ebonypick import registry
from ebonypick import request

policies = registry.Registry('object policy')
# Retry-After of the baselines, in seconds.
RETRY_AFTER_S = 0.4


@policies.register('objects')
def make_fleet(host, centre, regions, rng):
    """Return the policy under test, a ``Fleet``."""
    return request.Fleet(host, centre, regions, rng)


class _ByLoad(request.Selection):
    """Choose the least loaded of some random servers, for any object."""

    candidates = 1_000

    def _ranking(self, ask):
        names = list(self._preferences.weights(ask.service, ask.regions))
        self._rng.shuffle(names)
        return names

    def _pick(self, ask, usable, now):
        ask = dataclasses.replace(ask, priority=0)
        usable = sorted(
            usable[: self.candidates], key=lambda s: s.load_per_slot(now)
        )
        for server in usable:
            if server.load_per_slot(now) < 4.0:
                return self._chosen(server, 'least-loaded', now)
        return request.Rejected('full', RETRY_AFTER_S)


@policies.register('least-loaded')
def make_least_loaded(host, centre, regions, rng):
    """Return the baseline that chooses the least loaded of all servers."""
    return request.Fleet(host, centre, regions, rng, _ByLoad)


class _TwoChoices(_ByLoad):
    """Choose the better of two random servers, for any object."""

    candidates = 2


@policies.register('two-choices')
def make_two_choices(host, centre, regions, rng):
    """Return the baseline that chooses the better of two random servers."""
    return request.Fleet(host, centre, regions, rng, _TwoChoices)


class _NearFirst(_ByLoad):
    """Prefer servers of the caller's region while one has a free slot."""

    max_near = 3

    def __init__(self, here, *parts):
        super().__init__(*parts)
        self.here = here

    def _pick(self, ask, usable, now):
        near = [
            server
            for server in usable
            if server.region == self.here and server.load_per_slot(now) < 1.0
        ]
        return super()._pick(ask, near or usable, now)

    def _ranking(self, ask):
        names = super()._ranking(ask)
        near = [n for n in names if self._servers[n].region == self.here]
        far = [n for n in names if self._servers[n].region != self.here]
        return near[: self.max_near] + far


@policies.register('near-first')
def make_near_first(host, centre, regions, rng):
    """Return the baseline that uses other regions once slots are full."""
    near_first = functools.partial(_NearFirst, regions[centre])
    return request.Fleet(host, centre, regions, rng, near_first)

"""Tests routing by distance, caps of shifts and failover."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ebonypick import request
from ebonypick import version

SHIFT = version.Shift('s', 'r1', 'r2', 0.3, '1970-01-01T00:00:00Z')
HOME = request.OwnerPlace('e1', 'c1', 'r1', 0.0, 4)
NEAR = request.OwnerPlace('e2', 'c2', 'r1', 0.001, 4)
FAR = request.OwnerPlace('e3', 'c3', 'r2', 0.055, 4, 0.25)


def _dispatcher(places, backends, shifts=(), share=0.0, policy='latency'):
    found = request.Dispatcher(
        'e1',
        'r1',
        request.OwnerSettings(service_s=0.01),
        request.make_policy(policy, random.Random(1)),
        allowed_share=lambda shift: share,
    )
    found.update(request.Layout(places, backends, shifts=shifts), 0.0)
    return found


def _arrival(req, tried=frozenset(), first=True):
    return request.Arrival(request.Offer(req, 10.0), tried, first)


def test_own_slots_come_first():
    """A free slot of the own host is used."""
    found = _dispatcher((HOME, NEAR, FAR), {'b1': 4})
    decision = found.arrive(_arrival('r'), 0.0)
    assert isinstance(decision, request.Placed)


def test_full_host_forwards_to_the_near_owner():
    """Another data centre of the region comes before another region."""
    found = _dispatcher((HOME, NEAR, FAR), {'b1': 1})
    found.arrive(_arrival('r0'), 0.0)
    decision = found.arrive(_arrival('r1'), 0.0)
    assert decision.owner == 'e2'


def test_short_local_queue_is_chosen_over_a_far_region():
    """A wait of some milliseconds is shorter than the path latency."""
    found = _dispatcher((HOME, FAR), {'b1': 1})
    found.arrive(_arrival('r0'), 0.0)
    decision = found.arrive(_arrival('r1'), 0.0)
    assert isinstance(decision, request.Queued)


def test_region_without_owners_fails_over_even_under_a_shift():
    """The cap of a shift does not apply to a failover."""
    found = _dispatcher((FAR,), {}, shifts=(('x', SHIFT),))
    decision = found.arrive(_arrival('r'), 0.0)
    assert decision.owner == 'e3'


def test_overload_does_not_spill_into_the_region_of_a_shift():
    """A cap on the traffic to a region also covers overload."""
    found = _dispatcher((HOME, FAR), {'b1': 1}, shifts=(('x', SHIFT),))
    owners = set()
    for number in range(200):
        decision = found.arrive(_arrival(f'r{number}'), 0.0)
        owners.add(getattr(decision, 'owner', None))
    assert owners == {None}


def test_new_settings_and_policy_take_effect_at_once():
    """A changed configuration needs no changed layout to take effect."""
    found = _dispatcher((HOME,), {'b1': 1})
    layout = request.Layout((HOME,), {'b1': 1})
    settings = request.OwnerSettings(service_s=0.5, queue_wait_s=0.1)
    policy = request.make_policy('headroom', random.Random(1))
    found.arrive(_arrival('r0'), 0.0)
    found.update(layout, 0.0, settings, policy)
    decision = found.arrive(_arrival('r1'), 0.0)
    assert isinstance(decision, request.Queued)
    assert found.owner.settings.queue_wait_s == 0.1
    _, chosen = found.explain(0.0)
    assert chosen == 'e1'


def test_request_is_refused_after_all_owners_were_tried():
    """The refusal states when the caller may retry."""
    found = _dispatcher((NEAR, FAR), {})
    tried = frozenset({'e2', 'e3'})
    decision = found.arrive(_arrival('r', tried, False), 0.0)
    assert isinstance(decision, request.NoSlot)
    assert decision.retry_after_s > 0


@given(
    st.lists(st.booleans(), max_size=200),
    st.sampled_from(request.policies.names()),
)
def test_shift_moves_at_most_its_share(ends, policy):
    """The cap holds over every prefix, for every load and policy."""
    found = _dispatcher(
        (HOME, NEAR, FAR), {'b1': 3}, (('x', SHIFT),), 0.3, policy
    )
    moved = 0
    placed = []
    for number, end in enumerate(ends, 1):
        decision = found.arrive(_arrival(f'r{number}'), 0.0)
        if isinstance(decision, request.Placed):
            placed.append(decision.req)
        moved += getattr(decision, 'region', None) == 'r2'
        assert moved <= 0.3 * number + 1e-9
        if end and placed:
            found.finish(placed.pop(), request.Result.DONE, 0.0)

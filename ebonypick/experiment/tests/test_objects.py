"""Tests of loads that exceed all slots unless servers use their caches."""

import dataclasses
import itertools

import pytest

from ebonypick.experiment import _object_policies
from ebonypick.experiment import _object_simulation
from ebonypick.experiment import _object_sites
from ebonypick import request
from ebonypick.request import _admission
from ebonypick.request import _health
from ebonypick.request import _nearness
from ebonypick.request import _relief
from ebonypick.request import _retry_after
from ebonypick.request import _server_state

SECONDS = 24.0
SEED = 1
# Minimum ratio of the value for callers to that of a policy without home
# servers of objects.
GAIN = 2.0


@pytest.mark.parametrize(
    ('site', 'per_s'), [('latency', 100), ('headroom', 400)]
)
def test_value_exceeds_every_baseline(site, per_s):
    """The value exceeds each baseline, also in the worst windows."""
    ours = _object_simulation.play(site, 'objects', per_s, SECONDS, SEED)
    for name in _object_policies.policies.names():
        if name != 'objects':
            other = _object_simulation.play(site, name, per_s, SECONDS, SEED)
            assert ours['worth'] >= GAIN * other['worth']
            assert ours['worst'] >= other['worst']
            assert ours['failed'] <= other['failed']


@pytest.mark.parametrize(
    ('site', 'per_s'), [('latency', 130), ('headroom', 580)]
)
def test_caches_stay_effective_under_overload(site, per_s):
    """Servers answer from their caches in the end, and mostly in time."""
    found = _object_simulation.play(site, 'objects', per_s, SECONDS, SEED)
    assert found['second_half'] >= 0.5
    assert found['cold'] <= 0.3


def test_uploads_of_a_region_with_few_servers_are_answered_in_time(
    monkeypatch,
):
    """More are in time than if nearby servers are home of all near objects."""
    found = _object_simulation.play('uploads', 'objects', 55, SECONDS, SEED)
    monkeypatch.setattr(_nearness, '_bounded', lambda w, near, part: w)
    crowded = _object_simulation.play('uploads', 'objects', 55, SECONDS, SEED)
    assert found['worth'] > crowded['worth']
    assert found['worst'] >= crowded['worst']
    assert found['cold'] < crowded['cold']


# Start and end in seconds, and the share of the servers with the fault.
SLOW = _object_sites.Trouble(10.0, 16.5, 0.16, slow=5.0)
SILENT = _object_sites.Trouble(10.0, 15.0, 0.15, slow=100.0)


@pytest.mark.parametrize('trouble', [SLOW, SILENT])
@pytest.mark.parametrize('per_s', [250, 400])
def test_slow_servers_are_avoided(monkeypatch, trouble, per_s):
    """Fewer requests fail than without the detection of slow servers."""
    found = _object_simulation.play(
        'headroom', 'objects', per_s, SECONDS, SEED, trouble
    )
    monkeypatch.setattr(_health, 'SLOW_RATIO', float('inf'))
    monkeypatch.setattr(_server_state, 'OVERDUE_RATIO', float('inf'))
    blind = _object_simulation.play(
        'headroom', 'objects', per_s, SECONDS, SEED, trouble
    )
    assert found['failed'] < blind['failed']
    assert found['worth'] >= blind['worth']


# Factor by which the deployment is enlarged, so that single requests hardly
# change the shares of a window.
WIDE = 10
# Maximum share of a region's requests that may move to other regions from one
# window to the next, by the users' rules.
MAX_SHIFT_SHARE = 0.15


def _wide(site):
    classes = tuple(
        dataclasses.replace(cls, objects=WIDE * cls.objects)
        for cls in site.classes
    )
    servers = tuple(WIDE * count for count in site.servers)
    return dataclasses.replace(site, servers=servers, classes=classes)


def _shifts(play):
    """Yield the share of a region's requests that moves at each window.

    The first window does not count, as hosts and servers have just started.
    """
    last = max(window for window, _, _ in play.runs)
    for region in {here for _, here, _ in play.runs}:
        shares = []
        for window in range(1, last):
            counts = {
                there: count
                for (at, here, there), count in play.runs.items()
                if (at, here) == (window, region)
            }
            total = sum(counts.values())
            shares.append({t: n / total for t, n in counts.items()})
        for old, new in itertools.pairwise(shares):
            yield sum(max(0.0, new[t] - old.get(t, 0.0)) for t in new)


@pytest.mark.parametrize(
    ('site', 'per_s'), [('latency', 1000), ('latency', 1300)]
)
def test_swings_of_traffic_move_few_requests_to_other_regions(site, per_s):
    """The work exceeds the slots, and the peak moves between the regions."""
    play = _object_simulation.ObjectSimulation(
        _wide(_object_sites.SITES[site]), 'objects', per_s, 20.0, SEED
    )
    play.run()
    assert max(_shifts(play)) <= MAX_SHIFT_SHARE


def test_overflow_from_full_regions_moves_more_requests():
    """The overflow baseline breaks the limit that fixed home servers keep."""
    play = _object_simulation.ObjectSimulation(
        _wide(_object_sites.SITES['latency']), 'near-first', 1000, 20.0, SEED
    )
    play.run()
    assert max(_shifts(play)) > MAX_SHIFT_SHARE


def _simulate_trouble(mode):
    trouble = _object_sites.Trouble(8.0, 16.0, 0.3, mode=mode)
    return _object_simulation.play(
        'pipelined', 'objects', 60, SECONDS, SEED, trouble=trouble
    )


@pytest.mark.parametrize('mode', ['leaving', 'held-off'])
def test_servers_that_announce_a_fault_get_no_requests(mode):
    """Servers that ask for no requests get none; callers are still served."""
    found = _simulate_trouble(mode)
    assert found['unwanted'] == 0
    assert found['refused'] + found['failed'] <= 0.02


@pytest.mark.parametrize('mode', ['leaving', 'held-off'])
def test_requests_at_such_servers_are_counted(mode, monkeypatch):
    """Unwanted requests are counted if hosts ignore the announcements."""

    def answered(self, ticket, head, failed, now):
        head = dataclasses.replace(head, leaving=False, hold_off_s=0.0)
        return heeding(self, ticket, head, failed, now)

    heeding = request.Fleet.answered
    monkeypatch.setattr(request.Fleet, 'answered', answered)
    assert _simulate_trouble(mode)['unwanted'] > 0


SEEDS = (1, 2, 3)


def _mean_of_runs(site, per_s, trouble):
    """Return the mean figures of runs with several seeds."""
    found = [
        _object_simulation.play(site, 'objects', per_s, SECONDS, seed, trouble)
        for seed in SEEDS
    ]
    return {
        name: sum(row[name] for row in found) / len(found) for name in found[0]
    }


def _simulate_catalogue(per_s, trouble=None):
    return _mean_of_runs('catalogue', per_s, trouble)


@pytest.mark.parametrize('per_s', [120, 180])
def test_busy_homes_are_relieved_where_a_first_answer_is_in_time(
    monkeypatch, per_s
):
    """More answers are in time with relief, also in the worst windows."""
    found = _simulate_catalogue(per_s)
    monkeypatch.setattr(_relief, 'choose', lambda *args: None)
    alone = _simulate_catalogue(per_s)
    assert found['worth'] > alone['worth']
    assert found['worst'] >= alone['worst']
    assert found['refused'] + found['failed'] <= (
        alone['refused'] + alone['failed']
    )


@pytest.mark.parametrize('per_s', [60, 120])
def test_homes_in_the_own_region_answer_the_first_time_too(monkeypatch, per_s):
    """Homes in the caller's region help, as other regions relieve them."""
    found = _simulate_catalogue(per_s)
    far = _nearness.Nearness(here=3.0, near=3.0)
    monkeypatch.setattr(_nearness, 'SMALL', far)
    assert found['worth'] > _simulate_catalogue(per_s)['worth']


def test_rejected_in_spite_of_room_may_retry_at_once(monkeypatch):
    """A short retry delay helps if servers shed although slots are free."""
    trouble = _object_sites.Trouble(
        8.0, 16.0, 1.0, mode='shedding', shed_part=0.5
    )
    found = _simulate_catalogue(100, trouble)
    monkeypatch.setattr(
        _retry_after, 'RECONNECT_S', _retry_after.MIN_RETRY_AFTER_S
    )
    later = _simulate_catalogue(100, trouble)
    assert found['worth'] > later['worth']
    assert found['failed'] + found['refused'] <= (
        later['failed'] + later['refused'] + 0.01
    )


def _simulate_limits(part, limit_per_s):
    """Return the mean figures of runs in which servers name a limit."""
    trouble = _object_sites.Trouble(
        8.0, 24.0, part, mode='limited', limit_per_s=limit_per_s
    )
    return _mean_of_runs('latency', 67, trouble)


@pytest.mark.parametrize('limit_per_s', [0.7, 1.5, 4.0])
def test_other_servers_take_what_limited_servers_do_not(limit_per_s):
    """Half of the servers name a limit far below what they get."""
    found = _simulate_limits(0.5, limit_per_s)
    assert found['refused'] + found['failed'] <= 0.01


@pytest.mark.parametrize('limit_per_s', [1.5, 4.0])
def test_cached_objects_get_the_requests_of_limited_servers(
    monkeypatch, limit_per_s
):
    """All servers name a limit, which leaves few requests to each."""
    found = _simulate_limits(1.0, limit_per_s)
    monkeypatch.setattr(_admission, 'SPARE_TOKENS', 1.0)
    any_object = _simulate_limits(1.0, limit_per_s)
    assert found['worth'] > any_object['worth']
    assert found['cold'] < any_object['cold']

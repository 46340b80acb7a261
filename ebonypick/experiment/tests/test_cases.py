"""Tests of the policy against its targets, in virtual time."""

import pathlib

import pytest

from ebonypick.experiment import _cases
from ebonypick.experiment import main

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
SECONDS = 3.0
SEED = 1

# Targets of the policy, set before the first measurement.
P99_TO_LIMIT = 1.15
P99_AFTER_LOSS = 1.2
DRAIN_S = 2.0


@pytest.fixture(scope='module', params=['skogvottun', 'trailhands'])
def deployment(request):
    """Return each example deployment in turn."""
    return main.load_deployment(EXAMPLES / request.param)


def _figures(
    deployment, case, policy=_cases.POLICY_UNDER_TEST, seconds=SECONDS
):
    run = _cases.cases.get(case)
    return run(deployment, policy, SEED, seconds).figures


def test_same_seed_gives_same_figures(deployment):
    """Published figures are reproducible from their seed."""
    one = _figures(deployment, 'drain', seconds=3.0)
    assert one == _figures(deployment, 'drain', seconds=3.0)


def test_p99_at_80_percent_is_near_the_limit(deployment):
    """The bound is one ideal queue; no server gets more than its slots."""
    ours = _figures(deployment, 'load-80')
    limit = _figures(deployment, 'load-80', 'perfect')
    assert ours['p99_ms'] <= P99_TO_LIMIT * limit['p99_ms']
    assert ours['collisions'] == ours['over_committed_slots'] == 0
    assert ours['not_done'] <= 1.1 * limit['not_done']


def test_a_lost_region_pushes_no_other_past_its_slots(deployment):
    """All callers of the remaining regions are served."""
    found = _figures(deployment, 'region-lost', seconds=6.0)
    assert found['peak_share_of_capacity'] <= 1.0
    assert found['own_done_share'] == 1.0


def test_latency_is_back_after_an_entry_host_is_lost(deployment):
    """The 99th percentile recovers within 3 s of the loss."""
    found = _figures(deployment, 'entry-host-killed', seconds=7.5)
    before = found['p99_before_ms']
    assert found['p99_after_3s_ms'] <= P99_AFTER_LOSS * before


def test_a_drain_is_empty_in_time(deployment):
    """The bound is 2 s plus the longest request, which is far shorter."""
    found = _figures(deployment, 'drain', seconds=3.0)
    assert 0 <= found['empty_after_s'] <= DRAIN_S


def test_a_shift_keeps_its_cap(deployment):
    """The moved share stays below the cap while caches are cold."""
    found = _figures(deployment, 'shift-30-at-once')
    assert 0 < found['moved_share'] <= 0.3

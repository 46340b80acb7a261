"""Histories of requests to real processes, under one fault and under two."""

import asyncio

import pytest
import pytest_bdd

from tests import faults
from tests import world

SECONDS = 6.0
SEED = 11
# Faults leave callers of reads unanswered only where no time is left; the
# deadline is 8 s, and every fault here leaves hosts that can serve.
ANSWERED_SHARE = 0.99

pytest_bdd.scenarios('features/requests.feature')


@pytest.fixture(scope='module')
def deployment():
    """Give a deployment of four entry hosts in two regions."""
    with world.WiredDeployment() as found:
        found.start_all()
        yield found


@pytest_bdd.given(
    'a deployment under load from two regions', target_fixture='healthy'
)
def healthy(deployment):
    """Bring the deployment back to health after earlier scenarios."""
    deployment.restore()
    return deployment


@pytest_bdd.when(
    pytest_bdd.parsers.parse('{first}, while {second}'),
    target_fixture='result',
)
def run(healthy, first, second):
    """Let two faults hit the deployment while callers send."""

    async def disturb():
        await asyncio.sleep(1.0)
        both = [faults.faults.get(name) for name in (first, second)]
        await asyncio.gather(*(fault(healthy) for fault in both))

    return world.run_under_load(healthy, disturb, SECONDS, SEED)


@pytest_bdd.then('no invariant about requests is broken')
def check(result):
    """Check the callers' history against the servers' records."""
    assert result.violations == []


@pytest_bdd.then('nearly all reads are answered')
def check_reads(result):
    """Reads are sent again until one is answered."""
    reads = result.of('GET')
    done = [call for call in reads if call.outcome == 'done']
    assert len(done) >= ANSWERED_SHARE * len(reads)

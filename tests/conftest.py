"""Fixtures and steps shared by the tests with real processes."""

import pytest
import pytest_bdd

from tests import world


@pytest.fixture(scope='session')
def shared_deployment():
    """Yield a running deployment of four entry hosts in two regions."""
    with world.WiredDeployment() as found:
        found.start_all()
        yield found


@pytest.fixture
def deployment(shared_deployment):
    """Return the deployment without faults, with its first configuration."""
    shared_deployment.restore()
    return shared_deployment


@pytest_bdd.given('a deployment in good health')
def healthy(deployment):
    """Require the deployment, which its fixture restores."""


@pytest_bdd.then('no invariant about requests is broken')
def check_requests(result):
    """Compare the callers' history with the servers' records."""
    assert result.violations == []


@pytest_bdd.then('every request is done')
def check_all_done(deployment, result):
    """Check that no request was rejected, cut off or left unanswered."""
    unfinished = [c for c in result.run.calls if c.outcome != 'done']
    assert unfinished == [], world.history_of(deployment, result, unfinished)

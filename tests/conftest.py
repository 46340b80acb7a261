"""The deployment that the tests of real processes share."""

import pytest
import pytest_bdd

from tests import world


@pytest.fixture(scope='session')
def shared_deployment():
    """Give a deployment of four entry hosts in two regions."""
    with world.WiredDeployment() as found:
        found.start_all()
        yield found


@pytest.fixture
def deployment(shared_deployment):
    """Give the deployment in good health, with its first files in force."""
    shared_deployment.restore()
    return shared_deployment


@pytest_bdd.given('a deployment in good health')
def healthy(deployment):
    """Bring the deployment back to health after earlier scenarios."""


@pytest_bdd.then('no invariant about requests is broken')
def check_requests(result):
    """Check the callers' history against the servers' records."""
    assert result.violations == []


@pytest_bdd.then('every request is done')
def check_all_done(deployment, result):
    """Nothing was refused, cut off or left open."""
    undone = [c for c in result.run.calls if c.outcome != 'done']
    assert undone == [], world.history_of(deployment, result, undone)

"""Tests of configuration changes under races, outages and restarts."""

import concurrent.futures
import contextlib
import signal
import threading
import time
import urllib.error
import urllib.request

import pytest
import pytest_bdd

from ebonypick import errors
from standins import history
from standins import launch

IN_FORCE_S = 18.0
SAMPLE_S = 0.05

pytest_bdd.scenarios('features/configuration.feature')


class Sampler:
    """Polls the configuration version in force on every host."""

    def __init__(self, deployment):
        self.samples = []
        self._deployment = deployment
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.wait(SAMPLE_S):
            for name in self._deployment.cfg.entry_hosts():
                with contextlib.suppress(OSError, ValueError):
                    self._sample(name)

    def _sample(self, name):
        process = self._deployment.processes[name]
        url = f'{self._deployment.entry_url(name)}/v1/status'
        # The short time-out keeps a frozen host from delaying other samples.
        found = launch.fetch(url, timeout_s=0.3)
        self.samples.append(
            history.ConfigObservation(
                name, str(process.pid), found['config_version'], time.time()
            )
        )


@pytest.fixture
def sampler(deployment):
    """Sample the versions in force during a scenario."""
    with Sampler(deployment) as found:
        yield found


def _change(number):
    def change(base):
        base['lookup_ttl_ms'] = 500 + number

    return change


TROUBLES = {
    'works': {},
    'is slow': {'delay_ms': 700},
    'loses the reply to the commit': {'lose_replies': 2},
}


@pytest_bdd.given(pytest_bdd.parsers.parse('the platform {trouble}'))
def trouble(deployment, trouble):
    """Set the platform's faults."""
    deployment.platform_faults(**TROUBLES[trouble])


@pytest_bdd.when('an operator submits a change', target_fixture='number')
def submit(deployment, sampler):
    """Submit a change based on the newest version."""
    return deployment.submit(
        deployment.change_base(_change(1)), deployment.newest()
    )


@pytest_bdd.then('it is accepted')
def check_accepted(deployment, number):
    """Check that the stored version is the one reported to the operator."""
    assert deployment.newest() == number


@pytest_bdd.then('it is in force everywhere within 18 seconds')
def check_in_force(deployment, number):
    """Check that every live host has the version or a newer one."""
    deployment.wait_version(number, wait_timeout_s=IN_FORCE_S)


@pytest_bdd.then('no host ever went back')
def check_never_reverts(deployment, sampler):
    """Check that no host's version decreases and that each has samples.

    A host that has just started may not have been sampled yet, so the check
    waits for a sample of each host.
    """
    hosts = set(deployment.cfg.entry_hosts())

    def all_sampled():
        return hosts == {sample.host for sample in list(sampler.samples)}

    launch.wait_until(all_sampled, 'a sample of each host')
    assert history.check_never_reverts(sampler.samples) == []


@pytest_bdd.when(
    'two operators submit different changes at once', target_fixture='number'
)
def race(deployment, sampler):
    """Submit two changes at the same time, based on the same version."""
    base = deployment.newest()
    bundles = [deployment.change_base(_change(n)) for n in (2, 3)]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futs = {
            by: pool.submit(deployment.submit, bundle, base, by)
            for by, bundle in zip(('anna', 'bjarni'), bundles)
        }
    deployment.race = futs
    return base + 1


@pytest_bdd.then('one is accepted and the other is told who won')
def check_race(deployment, number):
    """Check that one submission wins and that the conflict names it."""
    futs = deployment.race
    won = [by for by, fut in futs.items() if fut.exception() is None]
    lost = [by for by in futs if by not in won]
    assert len(won) == 1
    assert futs[won[0]].result() == number
    exc = futs[lost[0]].exception()
    assert isinstance(exc, errors.ConflictError)
    assert exc.fields['by'] == won[0]
    assert exc.fields['version'] == number
    assert 'base.json' in exc.fields['differs']


@pytest_bdd.when(
    'the platform goes down once one host has the change',
    target_fixture='number',
)
def lose_platform(deployment, sampler):
    """Fail the platform as soon as any host has the version."""
    number = deployment.submit(
        deployment.change_base(_change(4)), deployment.newest()
    )
    names = list(deployment.cfg.entry_hosts())
    launch.wait_until(
        lambda: any(deployment.number_in_force(n) >= number for n in names),
        'the new version on any host',
    )
    deployment.platform_faults(down=True)
    return number


@pytest_bdd.when(
    'a host starts anew while the platform is down', target_fixture='name'
)
def start_without_platform(deployment, sampler):
    """Kill a host and restart it while the platform fails."""
    name = list(deployment.cfg.entry_hosts())[-1]
    deployment.platform_faults(down=True)
    deployment.kill(name)
    deployment.start_entry(name)
    return name


@pytest_bdd.then('it serves with the version that its peers have')
def check_started(deployment, name):
    """Check that the host is ready and has the newest version."""
    url = f'{deployment.entry_url(name)}/readyz'
    launch.wait_until(lambda: launch.fetch(url)['ready'], name)
    assert deployment.number_in_force(name) == deployment.newest()


@pytest_bdd.when(
    'a host starts anew while all others are out of reach',
    target_fixture='name',
)
def start_alone(deployment):
    """Start a host without seeds while the platform fails."""
    name = list(deployment.cfg.entry_hosts())[-1]
    deployment.platform_faults(down=True)
    deployment.kill(name)
    for other in deployment.cfg.entry_hosts():
        address = deployment.address(name)
        deployment.wires.cut(other, address)
        deployment.wires.cut(name, deployment.address(other))
    deployment.start_entry(name, seeds=[])
    return name


@pytest_bdd.then('it refuses requests as not run and says why')
def check_refuses(deployment, name):
    """Check for a problem document with the outcome ``not-run``."""
    url = f'{deployment.entry_url(name)}/items/1'
    req = urllib.request.Request(
        url, headers={'Ebonypick-Service': 'registry'}
    )

    def ask():
        try:
            urllib.request.urlopen(req, timeout=2)
        except urllib.error.HTTPError as exc:
            return exc

    found = launch.wait_until(ask, name)
    assert found.code == 503
    assert found.headers['Ebonypick-Outcome'] == 'not-run'
    assert b'EP2103' in found.read()
    assert found.headers['Retry-After']


@pytest_bdd.when(
    'a change is accepted while a data centre is cut off',
    target_fixture='number',
)
def change_during_cut(deployment, sampler):
    """Cut one host off from its peers and from the platform."""
    hosts = deployment.cfg.entry_hosts()
    lost = list(hosts)[-1]
    others = [name for name in hosts if name != lost]
    address = deployment.address(lost)
    deployment.wires.cut(lost, *(deployment.address(n) for n in others))
    for name in [*others, 'platform']:
        deployment.wires.cut(name, address)
    deployment.cut_off = lost, deployment.newest()
    number = deployment.submit(
        deployment.change_base(_change(5)), deployment.newest()
    )
    deployment.wait_version(number, others)
    return number


@pytest_bdd.then('the cut-off data centre goes on serving the old version')
def check_cut_off(deployment):
    """Check that the host still serves requests with the old version."""
    lost, old = deployment.cut_off
    assert deployment.number_in_force(lost) == old
    url = f'{deployment.entry_url(lost)}/items/1'
    req = urllib.request.Request(
        url, headers={'Ebonypick-Service': 'registry'}
    )

    def served():
        with urllib.request.urlopen(req, timeout=3) as resp:
            return resp.headers['Ebonypick-Outcome'] == 'done'

    launch.wait_until(served, 'an answer of the cut-off data centre')


@pytest_bdd.then('it is in force everywhere within 18 seconds of the healing')
def check_after_healing(deployment, number):
    """End the partition and check that all hosts apply the version."""
    deployment.wires.heal()
    deployment.wait_version(number, wait_timeout_s=IN_FORCE_S)


@pytest_bdd.when(
    'a change is accepted while a host is frozen', target_fixture='number'
)
def change_during_freeze(deployment, sampler):
    """Submit a change while a host is stopped, then resume the host."""
    name = list(deployment.cfg.entry_hosts())[0]
    others = [n for n in deployment.cfg.entry_hosts() if n != name]
    deployment.signal(name, signal.SIGSTOP)
    number = deployment.submit(
        deployment.change_base(_change(6)), deployment.newest()
    )
    deployment.wait_version(number, others)
    deployment.signal(name, signal.SIGCONT)
    return number

"""Tests of connections that go silent on each hop between processes."""

import asyncio

import pytest_bdd

from tests import world

SEED = 41
MAX_READ_S = 1.0
SILENCES = 3

pytest_bdd.scenarios('features/silence.feature')


def _is_peer(deployment):
    addresses = {deployment.address(n) for n in deployment.cfg.entry_hosts()}
    return lambda source: source in addresses


def _silence(deployment, hop):
    """Silence the open connections of a hop and return their number."""
    hosts = list(deployment.cfg.entry_hosts())
    is_peer = _is_peer(deployment)
    if hop == 'callers to entry hosts':
        wires, chosen = hosts, lambda source: not is_peer(source)
    elif hop == 'entry hosts to entry hosts':
        wires, chosen = hosts, is_peer
    elif hop == 'entry hosts to servers':
        wires, chosen = list(deployment.backend_rows()), is_peer
    else:
        wires, chosen = ['platform'], is_peer
    return sum(deployment.wires.silence(name, chosen) for name in wires)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'callers read while the open connections of {hop} go silent'
    ),
    target_fixture='result',
)
def read_through_silence(deployment, hop):
    """Read at a steady rate and silence the hop ``SILENCES`` times."""
    if hop == 'entry hosts to entry hosts':
        _leave_one_owner(deployment)
    silenced = []

    async def disturb():
        for _ in range(SILENCES):
            await asyncio.sleep(1.5)
            count = await world.in_thread(_silence, deployment, hop)
            silenced.append(count)

    def plan(run):
        return [(1.0, lambda c: run.read(c, 'registry'))]

    result = world.run_under_load(deployment, disturb, 6.0, SEED, 0.02, plan)
    if hop != 'entry hosts to the platform':
        assert sum(silenced) > 0
    return result


def _leave_one_owner(deployment):
    """Make the entry hosts of r1 forward all requests to one owner."""
    remaining = 'r2c1'
    names = [
        n for n in deployment.backend_rows() if not n.startswith(remaining)
    ]

    def change(base):
        base['drains'] = {'backend_servers': names}

    deployment.change(change)


@pytest_bdd.then('no read took longer than 1 second')
def check_times(result):
    """Check the limit of the step for all reads of the run."""
    times = [c.ended_at - c.started_at for c in result.of('GET')]
    assert max(times) <= MAX_READ_S

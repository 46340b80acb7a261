"""Tests of steering hosts as real processes under load and faults."""

import asyncio
import signal

import pytest_bdd

from ebonypick import registry
from tests import steering_calls
from tests import steering_world

SEED = 51
LOAD_S = 3.0
PER_S = 60
# Number of requests that each server fails: under a tenth of all requests.
FAULTY_REQUESTS = 2
DRAIN_S = 2.5
GRACE_S = 6.0

pytest_bdd.scenarios('features/steering.feature')
troubles = registry.Registry('trouble')


def _set_fault(world, name):
    for server in world.upstreams:
        setattr(server.faults, name, FAULTY_REQUESTS)


def _fault(name):
    async def disturb(world):
        await asyncio.sleep(0.5)
        _set_fault(world, name)

    return disturb


for text, fault in (
    ('servers answer twice', 'extra'),
    ('servers answer a second time late', 'extra_late'),
    ('servers answer for another request first', 'foreign'),
    ('servers cut answers', 'cut'),
    ('servers reset after the run', 'reset'),
    ('servers answer without a length', 'unframed'),
    ('servers send what is no answer', 'garbage'),
    ('servers shed', 'shed'),
    ('servers fail', 'fail'),
):
    troubles.register(text)(_fault(fault))


@troubles.register('nothing is wrong')
async def calm(world):
    """Inject no fault."""


@troubles.register('a server crashes and restarts')
async def crash(world):
    """Restart a server under a new name and remove its old row later."""
    server = world.of('registry')[0]
    await asyncio.sleep(0.5)
    old = await world.restart_server(server, pause_s=0.7, warmup_left_s=1.0)
    await asyncio.sleep(0.5)
    world.store.remove('servers', old)


@troubles.register("a server's address goes to another one")
async def reuse(world):
    """Restart a server for another service at the same address."""
    server = world.of('registry')[0]
    await asyncio.sleep(0.5)
    old = await world.restart_server(server, service='evidence')
    await asyncio.sleep(1.0)
    world.store.remove('servers', old)


@troubles.register('a server drains and ends')
async def drain(world):
    """Register the drain, check that requests stop, and end the server."""
    server = world.of('registry')[0]
    await asyncio.sleep(0.5)
    server.draining = True
    world.register(server)
    drained_at = asyncio.get_running_loop().time()
    await asyncio.sleep(DRAIN_S)
    late = [a for a in server.arrivals if a.at > drained_at + DRAIN_S]
    assert late == []
    world.store.remove('servers', server.instance)
    await server.crash()


@troubles.register('the store is down')
async def store_down(world):
    """Let the store answer 503 for 1.5 s."""
    await asyncio.sleep(0.5)
    world.store.faults.down = True
    await asyncio.sleep(1.5)
    world.store.faults.down = False


@troubles.register('the store is silent')
async def store_silent(world):
    """Let the store leave calls unanswered for 1.5 s."""
    await asyncio.sleep(0.5)
    world.store.faults.silent = True
    await asyncio.sleep(1.5)
    world.store.faults.silent = False


@troubles.register('the store forgets its history')
async def store_forgets(world):
    """Drop the store's history after each of four changes."""
    for _ in range(4):
        await asyncio.sleep(0.3)
        world.config_number += 3
        cfg = steering_world.make_config(world.config_number)
        world.store.put('op', 'config', cfg)
        world.store.drop_history()


@troubles.register('the store turns a host away during a drain')
async def drain_unseen(world):
    """Drain a server while the store rejects the calls of one host.

    That host can receive the drain only from other hosts.
    """
    name = next(iter(world.processes))
    world.store.faults.turned_away.add(world.address(name))
    await asyncio.sleep(0.5)
    await drain(world)
    world.store.faults.turned_away.clear()


@troubles.register('a host is stopped as planned')
async def planned_stop(world):
    """Stop a host by SIGTERM and check that it ends in its grace time."""
    name = next(iter(world.processes))
    await asyncio.sleep(0.8)
    before = asyncio.get_running_loop().time()
    code = await world.end_host(name, signal.SIGTERM)
    assert code == 0
    assert asyncio.get_running_loop().time() - before < GRACE_S


@troubles.register('a host is killed and starts again')
async def killed(world):
    """Kill a host and restart it."""
    name = next(iter(world.processes))
    await asyncio.sleep(0.8)
    await world.end_host(name, signal.SIGKILL)
    await world.start_host(name, name.rpartition('-')[0])
    await world.ready(name)


@troubles.register('settings are read again')
async def reload(world):
    """Send SIGHUP to all hosts three times."""
    for _ in range(3):
        await asyncio.sleep(0.4)
        for process in world.processes.values():
            process.send_signal(signal.SIGHUP)


@troubles.register('entries are damaged')
async def damaged(world):
    """Write malformed server rows and a malformed configuration."""
    await asyncio.sleep(0.5)
    world.store.put('servers', 'x-1', b'\xff{')
    world.store.put('servers', 'x-2', {'address': 7})
    entry = world.upstreams[0].entry()
    entry['status']['state'] = 'unheard-of'
    world.store.put('servers', 'x-3', entry)
    world.store.put('op', 'config', b'{"version": 99, "hosts": 4}')


@pytest_bdd.given('steering hosts that serve', target_fixture='plan')
def plan(tmp_path):
    """Create a deployment that starts in the event loop of the next step."""
    return steering_world.SteeringWorld(tmp_path, SEED)


@pytest_bdd.when(
    pytest_bdd.parsers.re('callers send requests while (?P<trouble>.+)'),
    target_fixture='world',
)
def run(plan, trouble):
    """Run the load and the fault at the same time."""

    async def play():
        async with plan as world:
            disturb = asyncio.ensure_future(troubles.get(trouble)(world))
            await world.load(LOAD_S, PER_S)
            await disturb
            for name, process in world.processes.items():
                assert process.returncode is None, name
            return world

    return asyncio.run(play())


@pytest_bdd.then('no promise to callers is broken')
def check_promises(world):
    """Compare the callers' history with the servers' records."""
    assert len(world.calls) > LOAD_S * PER_S / 3
    assert steering_calls.violations(world) == []


@pytest_bdd.then(
    pytest_bdd.parsers.parse('at least {percent:d} percent are served')
)
def check_served(world, percent):
    """Check the share of successful calls."""
    served = [call for call in world.calls if call.status == 200]
    others = [c.status for c in world.calls if c.status != 200]
    assert 100 * len(served) >= percent * len(world.calls), others

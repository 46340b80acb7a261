"""Faults of a soak, and schedules of faults drawn from a seed."""

import asyncio
import dataclasses
import random
import signal
import time

from ebonypick import registry
from standins import upstream
from tests.soak import cut_off
from tests.soak import proxy
from tests.soak import world as soak_world

troubles = registry.Registry('trouble')

# Number of faults per seed. With few faults at a time more of the guarantees
# apply.
MIN_COUNT, MAX_COUNT = 1, 7
# Early answers are tested separately, as they do not echo the request.
ANSWER_FAULTS = ('extra', 'extra_late', 'foreign', 'cut', 'reset', 'unframed')
ANSWER_FAULTS += ('shed', 'hang', 'garbage')
DELAY_S = 0.3
COLD_S = 3.0
LIMITS_PER_S = (0.5, 2.0, 6.0, 20.0)
# Writers repeat the writes that the store lost within the first time, and
# hosts have received them one second later.
MAX_REWRITE_S = 2.0
PROPAGATION_S = 1.0
# Clock steps of the platform's own size, and one of an hour, in seconds.
STEPS_S = (2.0, 60.0, 3600.0)


@dataclasses.dataclass(frozen=True)
class Step:
    """One fault of a schedule.

    Parameters
    ==========
    at_s : float
        Start of the fault, in seconds from the start of the load.
    trouble : str
        Name of the fault in the registry.
    for_s : float
        Duration of the fault, in seconds.
    seed : int
        Seed of the fault's random choices.
    """

    at_s: float
    trouble: str
    for_s: float
    seed: int


def draw(seed, seconds):
    """Return the steps of a seed, in the order of their starts.

    Examples
    ========
    >>> draw(1, 10.0) == draw(1, 10.0)
    True
    """
    rng = random.Random(seed)
    names = troubles.names()
    steps = [
        Step(
            round(rng.uniform(0.5, seconds * 0.7), 2),
            rng.choice(names),
            round(rng.uniform(0.3, seconds * 0.3), 2),
            rng.randrange(1 << 30),
        )
        for _ in range(rng.randint(MIN_COUNT, MAX_COUNT))
    ]
    return sorted(steps, key=lambda step: step.at_s)


async def play(world, steps):
    """Run all steps at their times; steps may overlap."""

    async def run(step):
        await asyncio.sleep(step.at_s)
        trouble = troubles.get(step.trouble)
        await trouble(world, random.Random(step.seed), step.for_s)

    await asyncio.gather(*(run(step) for step in steps))


def _running(world, rng, count=1):
    names = sorted(world.processes)
    return rng.sample(names, min(count, len(names)))


# Hosts.


@troubles.register('hosts killed')
async def kill_hosts(world, rng, for_s):
    """Kill one host or all at once, and restart them."""
    count = rng.choice((1, 1, len(world.processes)))
    names = _running(world, rng, count)
    with world.trouble(*names):
        await asyncio.gather(
            *(world.restart_host(n, signal.SIGKILL, for_s / 3) for n in names)
        )


@troubles.register('hosts stopped')
async def stop_hosts(world, rng, for_s):
    """Stop one or two hosts in turn by SIGTERM and restart them."""
    for name in _running(world, rng, rng.randint(1, 2)):
        if name not in world.processes:
            continue
        with world.trouble(f'stop {name}'):
            await world.restart_host(name, signal.SIGTERM, 0.3)


@troubles.register('host paused')
async def pause_host(world, rng, for_s):
    """Suspend a host by SIGSTOP and resume it by SIGCONT."""
    for name in _running(world, rng):
        process = world.processes[name]
        with world.trouble(name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)


@troubles.register('settings read again')
async def reload_hosts(world, rng, for_s):
    """Send SIGHUP to all hosts three times."""
    for _ in range(3):
        for name in list(world.processes):
            world.hang_up(name)
        await asyncio.sleep(for_s / 3)


@troubles.register('clocks step')
async def step_clocks(world, rng, for_s):
    """Step the wall clocks of hosts and reset them; one host may restart.

    No guarantee of a host depends on the wall clock, so the step alone is
    not recorded as a disturbance.
    """
    names = _running(world, rng, rng.randint(1, 3))
    for name in names:
        world.step_clock(name, rng.choice((-1, 1)) * rng.choice(STEPS_S))
    if rng.random() < 0.5:
        with world.trouble(names[0]):
            await world.restart_host(names[0], signal.SIGKILL, 0.3)
    await asyncio.sleep(for_s)
    for name in names:
        world.step_clock(name, 0)


# Connections.


def _links(world, rng):
    """Return some links and the scopes that faults of them disturb."""
    kind = rng.choice(('store', 'callers', 'peers', 'server'))
    names = sorted(n for n in world.proxies if n.startswith(f'{kind} '))
    names = rng.sample(names, rng.randint(1, len(names)))
    if kind == 'server':
        scopes = ['servers', *world.processes]
    elif kind == 'peers':
        scopes = list(world.processes)
    else:
        scopes = [name.partition(' ')[2] for name in names]
    return [world.proxies[name] for name in names], scopes


@troubles.register('links slow')
async def slow_links(world, rng, for_s):
    """Delay the data on some links."""
    links, scopes = _links(world, rng)
    with world.trouble(*scopes):
        for link in links:
            link.delay_s = DELAY_S
        await asyncio.sleep(for_s)
        for link in links:
            link.delay_s = 0.0


@troubles.register('connections reset')
async def reset_links(world, rng, for_s):
    """Reset the open connections of some links three times."""
    links, scopes = _links(world, rng)
    with world.trouble(*scopes):
        for _ in range(3):
            for link in links:
                link.reset()
            await asyncio.sleep(for_s / 3)


@troubles.register('links cut one way')
async def cut_links(world, rng, for_s):
    """Block some links in one direction or in both."""
    links, scopes = _links(world, rng)
    directions = rng.choice(
        ((proxy.TO_BACK,), (proxy.TO_FRONT,), (proxy.TO_BACK, proxy.TO_FRONT))
    )
    sources = {'127.0.0.1', *map(world.address, world.processes)}
    cuts = {
        (source, direction) for source in sources for direction in directions
    }
    with world.trouble(*scopes):
        for link in links:
            link.cuts |= cuts
        await asyncio.sleep(for_s)
        for link in links:
            link.cuts -= cuts


@troubles.register('connections silent')
async def silence_links(world, rng, for_s):
    """Silence the open connections of some links permanently."""
    links, scopes = _links(world, rng)
    with world.trouble(*scopes):
        for link in links:
            link.silence()
        await asyncio.sleep(for_s)


# The store.


@troubles.register('store fails')
async def store_fails(world, rng, for_s):
    """Let the store be down, silent or slow, or lose answers."""
    name, value = rng.choice(
        (('down', True), ('silent', True), ('delay_s', 0.5))
        + (('lose_answers', 20),)
    )
    with world.trouble('store'):
        setattr(world.store.faults, name, value)
        await asyncio.sleep(for_s)
        setattr(world.store.faults, name, type(value)())


@troubles.register('store turns hosts away')
async def turn_away(world, rng, for_s):
    """Let the store reject the calls of one to three hosts."""
    names = _running(world, rng, rng.randint(1, 3))
    addresses = {world.address(name) for name in names}
    with world.trouble(*names):
        world.store.faults.turned_away |= addresses
        await asyncio.sleep(for_s)
        world.store.faults.turned_away -= addresses


@troubles.register('history forgotten')
async def forget_history(world, rng, for_s):
    """Drop the store's history after each of four changes."""
    for _ in range(4):
        world.change_config()
        world.store.drop_history()
        await asyncio.sleep(for_s / 4)


@troubles.register('store comes back older')
async def restore_store(world, rng, for_s):
    """Restore the store from a copy, then repeat the lost writes."""
    copy = world.store.copy()
    await asyncio.sleep(for_s)
    with world.trouble('store'):
        lost = await world.store.restore_after_outage(
            copy, rng.choice((0.1, 0.5, 2.0))
        )
        await asyncio.sleep(rng.uniform(0.0, MAX_REWRITE_S))
        world.store.rewrite_lost_rows(lost)
        await asyncio.sleep(PROPAGATION_S)


# Backend servers and the operator.


@troubles.register('server crashes')
async def crash_server(world, rng, for_s):
    """Crash a server and restart it cold, under its old or a new name."""
    server = rng.choice(world.upstreams)
    name = rng.choice((server.instance, None))
    with world.trouble('servers'):
        old = await world.restart_server(
            server, for_s, name, warmup_left_s=COLD_S
        )
        if server.instance != old:
            world.store.remove('servers', old)
        await asyncio.sleep(COLD_S)
        server.warmup_left_s = 0.0
        world.register(server)


@troubles.register('address used again')
async def reuse_address(world, rng, for_s):
    """Start a server of the other service at a crashed one's address."""
    server = rng.choice(world.of('registry'))
    if len(world.of('registry')) < 3:
        return
    with world.trouble('servers'):
        old = await world.restart_server(server, service='evidence')
        await asyncio.sleep(for_s)
        world.store.remove('servers', old)


@troubles.register('server leaves')
async def drain_server(world, rng, for_s):
    """Drain a server by its row and restart it under a new name."""
    server = rng.choice(world.upstreams)
    if server.draining:
        return
    name = server.instance
    server.draining = True
    world.tell('drain', name, world.entry_of(server))
    await asyncio.sleep(soak_world.DRAIN_S + for_s)
    world.store.remove('servers', name)
    with world.trouble('servers'):
        server.draining = False
        await world.restart_server(server)


@troubles.register('server says that it leaves')
async def leave_by_answers(world, rng, for_s):
    """Announce in answers that a server leaves; maybe remove its row."""
    server = rng.choice(world.upstreams)
    if server.draining or server.says_leaving:
        return
    name = server.instance
    server.says_leaving = True
    await asyncio.sleep(rng.uniform(0, soak_world.DRAIN_S))
    if rng.random() < 0.5:
        world.store.remove('servers', name)
    await asyncio.sleep(soak_world.DRAIN_S + for_s)
    world.store.remove('servers', name)
    with world.trouble('servers'):
        server.says_leaving = False
        await world.restart_server(server, instance=rng.choice((name, None)))


@troubles.register('server wants nothing')
async def hold_off(world, rng, for_s):
    """Let a server reject requests and announce for how long."""
    server = rng.choice(world.upstreams)
    server.hold_off_s = for_s
    server.held_off_until = time.monotonic() + for_s
    await asyncio.sleep(for_s)
    server.hold_off_s = 0.0


@troubles.register('servers name limits')
async def name_limits(world, rng, for_s):
    """Let servers of a service name limits, change and withdraw them."""
    servers = world.of(rng.choice(('registry', 'evidence')))
    servers = rng.sample(servers, rng.randint(1, len(servers)))
    for _ in range(rng.randint(1, 2)):
        for server in servers:
            server.name_limit(rng.choice(LIMITS_PER_S))
        await asyncio.sleep(soak_world.CONTACT_S)
    await asyncio.sleep(for_s)
    for server in servers:
        server.name_limit(None)


@troubles.register('servers send without end')
async def send_for_ever(world, rng, for_s):
    """Let one to three servers send endless answers."""
    servers = rng.sample(world.upstreams, rng.randint(1, 3))
    with world.trouble('servers'):
        for server in servers:
            server.faults.endless = rng.choice(sorted(upstream.ENDLESS))
        await asyncio.sleep(for_s)
        for server in servers:
            server.faults.endless = ''


@troubles.register('answers spoilt')
async def spoil_answers(world, rng, for_s):
    """Let each server send one to four faulty answers of a random kind."""
    with world.trouble('servers'):
        for server in world.upstreams:
            setattr(
                server.faults, rng.choice(ANSWER_FAULTS), rng.randint(1, 4)
            )
        await asyncio.sleep(for_s)


@troubles.register('configurations change')
async def change_config(world, rng, for_s):
    """Store one or six configuration versions in quick succession."""
    for _ in range(rng.choice((1, 1, 6))):
        world.change_config()
        await asyncio.sleep(for_s / 6)


@troubles.register('data centre evacuated')
async def evacuate(world, rng, for_s):
    """Evacuate a data centre and end the evacuation."""
    centre = rng.choice(sorted(soak_world.CENTRES))
    world.tell('evacuate', centre, None)
    await asyncio.sleep(soak_world.EVACUATION_S + for_s)
    world.tell('return', centre, None)


@troubles.register('hosts cut off from servers')
async def cut_off_hosts(world, rng, for_s):
    """Let some hosts, all of a data centre or all lose their servers."""
    names = sorted(world.processes)
    centre = rng.choice(sorted(soak_world.CENTRES))
    chosen = rng.choice(
        (
            rng.sample(names, 1),
            [name for name in names if name.startswith(centre)],
            names,
        )
    )
    how = rng.choice(cut_off.HOW)
    async with world.one_cut:
        start = time.monotonic()
        with world.cut_off(chosen, how):
            await asyncio.sleep(soak_world.CONTACT_S + for_s)
        cut = soak_world.Cut(frozenset(chosen), start, time.monotonic())
        world.cuts.append(cut)

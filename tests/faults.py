"""Registry of faults that are injected into a deployment under load."""

import asyncio
import signal

from ebonypick import registry
from standins import launch
from tests import world

faults = registry.Registry('fault')


def _owner(deployment):
    """Return an entry host of the first region that owns registry slots."""
    for name in deployment.cfg.entry_hosts():
        load = deployment.status(name)['services']['registry']['load']
        if load['capacity']:
            return name
    raise LookupError('no entry host owns slots')


def _backend(deployment, index=0):
    return list(deployment.backend_rows())[index]


@faults.register('nothing')
async def nothing(deployment):
    """Inject no fault."""


@faults.register('an entry host is killed')
async def kill_entry(deployment):
    """Kill an entry host that owns slots."""
    name = await world.in_thread(_owner, deployment)
    await world.in_thread(deployment.kill, name)


@faults.register('an entry host is killed and starts again')
async def restart_entry(deployment):
    """Kill the last entry host and restart it."""
    name = list(deployment.cfg.entry_hosts())[-1]
    await world.in_thread(deployment.kill, name)
    await asyncio.sleep(0.5)
    deployment.start_entry(name)


@faults.register('an entry host is frozen and wakes')
async def freeze_entry(deployment):
    """Stop the last entry host by SIGSTOP for 3.5 s."""
    name = list(deployment.cfg.entry_hosts())[-1]
    deployment.signal(name, signal.SIGSTOP)
    await asyncio.sleep(3.5)
    deployment.signal(name, signal.SIGCONT)


@faults.register('a backend server is killed')
async def kill_backend(deployment):
    """Kill a backend server."""
    await world.in_thread(deployment.kill, _backend(deployment, 1))


@faults.register('a backend server is frozen and wakes')
async def freeze_backend(deployment):
    """Stop a backend server by SIGSTOP for 2.5 s."""
    name = _backend(deployment, 1)
    deployment.signal(name, signal.SIGSTOP)
    await asyncio.sleep(2.5)
    deployment.signal(name, signal.SIGCONT)


@faults.register('backend servers reset connections after the run')
async def reset_after(deployment):
    """Reset connections after some requests have run."""
    for index in (0, 2, 3):
        name = _backend(deployment, index)
        await world.in_thread(
            lambda: deployment.backend_faults(name, reset_after_run=3)
        )


@faults.register('backend servers reset connections before the run')
async def reset_before(deployment):
    """Reset connections before some requests run."""
    for index in (0, 2, 3):
        name = _backend(deployment, index)
        await world.in_thread(
            lambda: deployment.backend_faults(name, reset_before_run=3)
        )


@faults.register('answers are truncated and mixed up')
async def mix_up(deployment):
    """Truncate some answers and send others with the id of another request."""
    for index in (0, 2, 3, 4):
        name = _backend(deployment, index)
        await world.in_thread(
            lambda: deployment.backend_faults(name, truncate=2, foreign=2)
        )


@faults.register('backend servers hang and lie about their load')
async def hang_and_lie(deployment):
    """Let some requests hang while load reports show all slots as free."""
    for index in (0, 1):
        name = _backend(deployment, index)
        await world.in_thread(
            lambda: deployment.backend_faults(name, hang=2, lie_free=True)
        )


@faults.register('the platform is down')
async def platform_down(deployment):
    """Let the platform fail all requests."""
    await world.in_thread(lambda: deployment.platform_faults(down=True))


@faults.register('a data centre is cut off for a while')
async def cut_centre(deployment):
    """Partition the last data centre from the other entry hosts for 4 s."""
    hosts = deployment.cfg.entry_hosts()
    lost = list(hosts)[-1]
    others = [name for name in hosts if name != lost]
    sources = [deployment.address(name) for name in others]
    await world.in_thread(deployment.wires.cut, lost, *sources)
    for name in others:
        address = deployment.address(lost)
        await world.in_thread(deployment.wires.cut, name, address)
    await asyncio.sleep(4)
    await world.in_thread(deployment.wires.heal)


@faults.register('all open connections go silent')
async def silence_all(deployment):
    """Silence all open connections on all hops permanently."""
    names = [*deployment.cfg.entry_hosts(), *deployment.backend_rows()]
    for name in [*names, 'platform']:
        await world.in_thread(deployment.wires.silence, name)


@faults.register('a backend server leaves')
async def backend_leaves(deployment):
    """Let a backend server announce that it leaves."""
    url = f'{deployment.backend_url(_backend(deployment))}/_control/drain'
    await world.in_thread(launch.fetch, url, {})


@faults.register('the platform is down for a while')
async def platform_outage(deployment):
    """Let the platform fail all requests for 2 s."""
    await world.in_thread(lambda: deployment.platform_faults(down=True))
    await asyncio.sleep(2)
    await world.in_thread(lambda: deployment.platform_faults(down=False))


@faults.register('the platform loses replies after the write')
async def platform_loses_replies(deployment):
    """Break the connections of 25 writes after they have taken effect."""
    await world.in_thread(lambda: deployment.platform_faults(lose_replies=25))

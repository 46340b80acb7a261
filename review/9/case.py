"""The store turns away the two machines that read it for the others."""

import asyncio
import os
import pathlib
import time

from review.rig2 import http
from review.rig2 import world

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOSTS = 6
# ``platform_down`` with ``nodes``: a share of 0.35 for 9 s at most.
SHARE, AWAY_S = 0.35, 9.0
# Bounds of the site.
CONFIG_APPLY_S, MAX_SKEW_S = 3.0, 5.0
PAUSE_S = 0.2
DEADLINE_MS = 3000


def routes(service):
    """Return the routes; one of them is moved to another service."""
    return [
        world.route('other', 'safe', 'roster', DEADLINE_MS),
        world.route('moved', 'unsafe', service, DEADLINE_MS),
    ]


async def ask(net, name, sent):
    """Send one request on a new connection."""
    req = net.new_id()
    sent[req] = (name, time.monotonic())
    status = 0
    try:
        reader, writer = await asyncio.open_connection(*net.front(name))
        data = http.request('POST', '/moved/a', req, DEADLINE_MS, req, b'x')
        writer.write(data)
        status, _, _ = await http.read_answer(reader)
        writer.close()
    except (OSError, http.BrokenAnswerError):
        pass
    net.note(f'{req} at {name}: {status}')


async def load(net, sent):
    """Send requests to all machines until cancelled."""
    while True:
        for name in net.hosts:
            net.keep(asyncio.create_task(ask(net, name, sent)))
        await asyncio.sleep(PAUSE_S)


def readers(net, seconds):
    """Return the machines whose calls reached the store lately."""
    since = time.monotonic() - seconds
    clients = {c.client for c in net.store.call_log if c.at > since}
    return {n for n in net.hosts if net.address(n) in clients}


async def play(folder, trouble):
    zones = {'x1': 'x', 'x2': 'x'}
    hosts = {f'h{n}': f'x{1 + n % 2}' for n in range(HOSTS)}
    async with world.World(folder, zones, hosts, routes('old')) as net:
        for service in ('old', 'new', 'roster'):
            for n in range(4):
                await net.add_upstream(service, f'x{1 + n % 2}')
        await net.start_hosts()
        await asyncio.sleep(world.CONTACT_S + 4)
        found = readers(net, 3.5)
        net.note(f'{sorted(found)} read the store')
        if not 0 < len(found) <= SHARE * HOSTS:
            raise RuntimeError(f'{sorted(found)} read the store')
        sent = {}
        asking = asyncio.create_task(load(net, sent))
        await asyncio.sleep(1.0)
        away = {net.address(name) for name in found}
        if trouble:
            net.turn_away(away)
        await asyncio.sleep(0.1)
        net.put_config(net.version + 4, routes('new'))
        confirmed_at = time.monotonic()
        await asyncio.sleep(AWAY_S - 0.1)
        if trouble:
            net.turn_away(set())
        await asyncio.sleep(4.0)
        asking.cancel()
        await asyncio.sleep(1.0)
        bound = confirmed_at + CONFIG_APPLY_S + MAX_SKEW_S
        late = [
            (req, run[0])
            for req, run in net.runs().items()
            if req in sent
            and sent[req][1] > bound
            and sent[req][0] not in found
            and run[0].server in net.of('old')
        ]
        last = max(
            sent[req][1]
            for req, run in net.runs().items()
            if req in sent and run[0].server in net.of('old')
        )
        for req, run in late[:5]:
            net.note(f'late: {req} at {sent[req][0]}, {run}')
        net.note(
            f'{len(late)} requests late; the last one that the old service '
            f'ran was sent {last - confirmed_at:.1f} s after the confirmation'
        )
        if late:
            return (
                f'CONFIG: {len(late)} requests, sent over '
                f'{CONFIG_APPLY_S + MAX_SKEW_S} s after the confirmation to '
                f'machines that the store serves, were run by the old service'
            )
        return None


world.main(play, pathlib.Path(__file__).parent, TROUBLE)

"""Uploads of more than 1 MiB whose first backend server is full."""

import asyncio
import hashlib
import pathlib
import random
import sys

from rig import http
from rig import world

SEED = 41
FULL_SERVER = 0
UPLOADS = 60
BODY_BYTES = 1_500_000
# One of twelve backend servers is full for this share of its requests.
FULL_SHARE = 0.45
SERVERS = {
    'tas-a': 2,
    'vic-a': 3,
    'sg-a': 1,
    'tas-b': 2,
    'vic-b': 3,
    'sg-b': 1,
}
DEADLINE_MS = 2500


async def upload(place, number, draw):
    req = f'{number:016x}'
    key = draw.randrange(40)
    body = draw.randbytes(BODY_BYTES)
    digest = hashlib.sha256(body).hexdigest()[:16]
    name = draw.choice(list(place.hosts))
    place.record(
        f'client sends {req} POST /photos/{req} body {len(body)} bytes'
        f' {digest} to {name}'
    )
    reader, writer = await asyncio.open_connection(*place.endpoint(name))
    try:
        writer.write(
            world.request(
                'POST', f'/photos/{req}', req, key, DEADLINE_MS, len(body)
            )
            + body
        )
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            status, headers, _ = await http.read_answer(reader)
        seal = headers.get('server-seal', 'none')
    except (http.Closed, TimeoutError, OSError) as exc:
        status, seal = 0, f'none ({exc!r})'
    finally:
        writer.close()
    place.record(f'client gets {status} for {req}, seal {seal}')
    return req, (len(body), digest), status


async def play(place):
    draw = random.Random(SEED)
    for zone, count in SERVERS.items():
        for _ in range(count):
            await place.add_upstream('certvault', zone)
    place.put_config(
        7, [world.route('photos', '/photos/', 'upload', 'certvault')]
    )
    for name, zone in (('front-tas-a-1', 'tas-a'), ('front-vic-a-1', 'vic-a')):
        place.add_host(name, zone)
        place.start_host(name)
    for name in place.hosts:
        await place.wait_ready(name)
    if world.trouble():
        shed = random.Random(SEED)
        full = place.upstreams[FULL_SERVER]
        full.refuses = lambda req: shed.random() < FULL_SHARE
        place.record(f'{full.name} is full for {FULL_SHARE} of its requests')
    sent = {}
    for number in range(1, UPLOADS + 1):
        req, body, status = await upload(place, number, draw)
        sent[req] = body, status
        await asyncio.sleep(0.05)
    found = []
    for server in place.upstreams:
        for run in server.runs:
            (length, digest), status = sent[run.id]
            if run.digest != digest:
                found.append(
                    f'{server.name} ran {run.id} with {len(run.body)} of'
                    f' {length} body bytes; its client got {status}'
                )
    served = sum(status == 200 for _, status in sent.values())
    place.record(f'{served} of {len(sent)} uploads got 200')
    if served < UPLOADS / 2:
        raise world.CannotRun(f'only {served} uploads were served')
    return found


if __name__ == '__main__':
    sys.exit(world.main(pathlib.Path(__file__).resolve().parent, play))

"""Measures added latency, throughput and idle cost of an entry host.

The deployment has one data centre with two entry hosts, one of which owns
all slots. A request to the owner takes one hop; a request to the other entry
host takes two.
"""

import asyncio
import json
import random
import time

from absl import app
from absl import flags
import psutil
import uvloop

from ebonypick import caller
from ebonypick import connection
from standins import launch
from standins import load
from standins import sample

REQUESTS = flags.DEFINE_integer('requests', 3000, 'Requests per case.')
RATE = flags.DEFINE_integer('rate', 150, 'Requests per second (half load).')
SEED = flags.DEFINE_integer('seed', 1, 'Seed of the arrival times.')
IDLE_S = flags.DEFINE_float('rest_s', 10.0, 'Length of the idle phase.')

SHAPE = sample.Shape(
    regions=1, hosts=2, services={'registry': (4, 50, 1)}, octet=78
)
HEADERS = [('ebonypick-service', 'registry'), ('x-request-id', 'direct')]


async def _timed(pool, path, times):
    started_at = time.perf_counter()
    async with pool.request('GET', path, HEADERS) as resp:
        await resp.read()
        assert resp.status == 200, resp.status
    times.append(time.perf_counter() - started_at)


async def _open_loop(address, port, rng):
    """Send requests at random times, independent of the answers."""
    times = []
    running = set()
    async with connection.Pool(address, port) as pool:
        for number in range(REQUESTS.value):
            task = asyncio.ensure_future(_timed(pool, f'/i/{number}', times))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(rng.expovariate(RATE.value))
        await asyncio.gather(*running)
    return sorted(times)


async def _closed_loop(address, port, senders):
    """Return the requests per second of senders that never pause."""
    times = []
    async with connection.Pool(address, port) as pool:

        async def send():
            for number in range(REQUESTS.value // senders):
                await _timed(pool, f'/i/{number}', times)

        started_at = time.perf_counter()
        await asyncio.gather(*(send() for _ in range(senders)))
        return len(times) / (time.perf_counter() - started_at)


def _summarize(name, times, base):
    p50 = load.quantile(times, 0.5) * 1000
    p99 = load.quantile(times, 0.99) * 1000
    row = {'case': name, 'p50_ms': round(p50, 3), 'p99_ms': round(p99, 3)}
    if base:
        row['added_p50_ms'] = round(p50 - base['p50_ms'], 3)
        row['added_p99_ms'] = round(p99 - base['p99_ms'], 3)
    return row


def _end_points(deployment):
    """Return the end points to measure, and the name of the owner.

    The end points are a backend server, the owner of the slots and the other
    entry host.
    """
    owner, other = deployment.cfg.entry_hosts()
    if not deployment.status(owner)['services']['registry']['load'][
        'capacity'
    ]:
        owner, other = other, owner
    hosts = deployment.cfg.entry_hosts()
    server = deployment.cfg.backends('registry')[0][3]
    return [
        ('direct', server),
        ('one hop', hosts[owner][1]),
        ('two hops', hosts[other][1]),
    ], owner


def _measure_idle(deployment, name):
    process = psutil.Process(deployment.processes[name].pid)
    before = process.cpu_times()
    state = deployment.status(name)['gossip']
    time.sleep(IDLE_S.value)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    gossip = deployment.status(name)['gossip']
    sent = gossip['bytes_sent'] - state['bytes_sent']
    return {
        'case': 'at rest',
        'cpu_share': round(used_s / IDLE_S.value, 4),
        'rss_mb': round(process.memory_info().rss / 1e6, 1),
        'gossip_bytes_s': round(sent / IDLE_S.value),
    }


async def _time_look_ups(deployment):
    times = []
    found = deployment.bootstrap()
    async with caller.make_caller(found) as item:
        for _ in range(REQUESTS.value // 3):
            item._hosts._cache.clear()
            started_at = time.perf_counter()
            await item.look_up('registry')
            times.append(time.perf_counter() - started_at)
    return sorted(times)


def main(argv):
    """Measure all cases and print one line of JSON per case."""
    del argv
    rng = random.Random(SEED.value)
    bundle = sample.make_bundle(SHAPE)
    base = None
    with launch.Deployment(
        bundle, '127.0.0.2', {'registry': ['--service_ms=0.001']}
    ) as deployment:
        deployment.start_all()
        ends, owner = _end_points(deployment)
        print(json.dumps(_measure_idle(deployment, owner)))
        for name, end in ends:
            times = uvloop.run(_open_loop(end.address, end.port, rng))
            row = _summarize(name, times, base)
            base = base or row
            print(json.dumps(row))
        for name, end in ends:
            rate = uvloop.run(_closed_loop(end.address, end.port, 16))
            row = {'case': f'{name}, 16 senders', 'per_s': round(rate)}
            print(json.dumps(row))
        times = uvloop.run(_time_look_ups(deployment))
        print(json.dumps(_summarize('look-up', times, None)))


if __name__ == '__main__':
    app.run(main)

"""Measures the cost of a decision and its growth with size.

Prints one line of JSON per size: routing decisions with 10 to 10,000 backend
servers, and look-ups of callers in 1,000 to 1.2 million client blocks.
"""

import json
import random
import time

from absl import app
from absl import flags
import psutil

from ebonypick import request
from ebonypick import version

ROUNDS = flags.DEFINE_integer('rounds', 20_000, 'Decisions per size.')
SEED = flags.DEFINE_integer('seed', 1, 'Seed.')

SERVERS = (10, 100, 1_000, 10_000)
BLOCKS = (1_000, 10_000, 100_000, 1_200_000)
OWNERS_PER_SERVER = 32


def _dispatcher(servers, policy):
    """Return a dispatcher with its own slots beside those of peers."""
    owners = max(1, servers // OWNERS_PER_SERVER)
    places = tuple(
        request.OwnerPlace(f'e{n}', f'c{n}', 'r', 0.001 * n, 96, 0.2)
        for n in range(min(owners, 16))
    )
    found = request.Dispatcher(
        'e0',
        'r',
        request.OwnerSettings(),
        request.make_policy(policy, random.Random(SEED.value)),
    )
    own = {f'b{n}': 3 for n in range(servers)}
    found.update(request.Layout(places, own), 0.0)
    return found


def _measure_routing(servers, policy):
    dispatcher = _dispatcher(servers, policy)
    outstanding = []
    started_at = time.perf_counter()
    for number in range(ROUNDS.value):
        now = number * 1e-4
        name = f'r{number}'
        arrival = request.Arrival(request.Offer(name, now + 10))
        decision = dispatcher.arrive(arrival, now)
        if isinstance(decision, request.Placed):
            outstanding.append(name)
        if len(outstanding) > servers:
            dispatcher.finish(outstanding.pop(0), request.Result.DONE, now)
    spent_s = time.perf_counter() - started_at
    return {
        'what': f'routing, {policy}',
        'backend_servers': servers,
        'us_each': round(spent_s / ROUNDS.value * 1e6, 2),
    }


def _measure_blocks(count, rng):
    # Blocks of 256 addresses, spread so that no two are adjacent.
    blocks = {
        f'{(n >> 15) + 1}.{(n >> 7) & 255}.{(n & 127) * 2}.0/24': f'r{n % 24}'
        for n in range(count)
    }
    before = psutil.Process().memory_info().rss
    started_at = time.perf_counter()
    table = version.make_block_table(blocks)
    built_s = time.perf_counter() - started_at
    grown = psutil.Process().memory_info().rss - before
    numbers = [rng.randrange(1 << 32) for _ in range(ROUNDS.value)]
    started_at = time.perf_counter()
    for number in numbers:
        table.find_int(number)
    spent_s = time.perf_counter() - started_at
    arrays = sum(
        starts.itemsize * len(starts) + values.itemsize * len(values)
        for starts, values in [table._tables[4]]
    )
    return {
        'what': 'client block',
        'blocks': count,
        'us_each': round(spent_s / ROUNDS.value * 1e6, 2),
        'build_s': round(built_s, 2),
        'table_mb': round(arrays / 1e6, 2),
        'rss_growth_mb': round(grown / 1e6, 1),
    }


def main(argv):
    """Run the measurements at all sizes."""
    del argv
    rng = random.Random(SEED.value)
    for policy in ('latency', 'headroom'):
        for servers in SERVERS:
            print(json.dumps(_measure_routing(servers, policy)))
    for count in BLOCKS:
        print(json.dumps(_measure_blocks(count, rng)))


if __name__ == '__main__':
    app.run(main)

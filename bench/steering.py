"""Measures the cost of a steering host's decisions and tables by size.

Run with ``python -m bench.steering``.
"""

import base64
import json
import time
import tracemalloc

from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick.process import _table_rows
from ebonypick import request

SIZES = (20, 150, 600, 2_000)
OBJECTS = 2_000
ROUTES = (100, 1_400)
CENTRES = {f'c{number}': f'r{number % 3}' for number in range(6)}


def _entries(count):
    centres = list(CENTRES)
    return [
        request.ServerEntry(
            f'i-{number:06d}',
            's',
            ('10.0.0.1', 1 + number),
            centres[number % len(centres)],
            3,
        )
        for number in range(count)
    ]


def _fleet(count):
    fleet = request.Fleet('h', 'c0', CENTRES)
    fleet.update(_entries(count), 0.0)
    return fleet


def _time_us(call, times):
    start = time.perf_counter()
    for number in range(times):
        call(number)
    return (time.perf_counter() - start) / times * 1e6


def measure_choice(count):
    """Return the microseconds of a choice and of an update of the fleet.

    The figures are a choice for a new object, a choice for a known object,
    and an update of all servers.
    """
    fleet = _fleet(count)

    def choose(number):
        key = str(number % OBJECTS)
        ask = request.Ask('s', key, frozenset(), 1, 1.0)
        fleet.choose(ask, 0.0)

    new_us = _time_us(choose, OBJECTS)
    known_us = _time_us(choose, OBJECTS)
    entries = _entries(count)
    change_us = _time_us(lambda number: fleet.update(entries, 0.0), 20)
    return round(new_us), round(known_us), round(change_us)


def measure_rankings():
    """Return the bytes per object with a cached ranking."""
    fleet = _fleet(150)
    tracemalloc.start()
    for number in range(OBJECTS):
        ask = request.Ask('s', str(number), frozenset(), 1, 1.0)
        fleet.choose(ask, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(size / OBJECTS)


def measure_table(count):
    """Return the microseconds to receive and broadcast a changed row."""
    found = _table_rows.TableRows('t', retention_s=1.0)
    value = b'x' * 250
    rows = tuple(
        platform.TableRow(f'k{n}', value, platform.Revision(0, n + 1))
        for n in range(count)
    )
    state = platform.TableState(platform.Revision(0, count), rows)
    found.apply_snapshot(state, 0.0)
    encoded = base64.b64encode(value).decode()

    def change(number):
        before = found.revision
        revision = platform.Revision(0, count + 1 + number)
        told = _row_messages.PeerRows(
            't', before, revision, (('k0', revision, encoded),)
        )
        found.apply_peer_rows(told, 0.0)
        found.values()
        found.rows_since(before, 0.0)

    return round(_time_us(change, 200))


def measure_config(routes):
    """Return the milliseconds to decode a configuration."""
    path = {
        'name': 'r',
        'kind': 'safe',
        'timeout': '1s',
        'targetLatency': '1s',
        'service': 's',
    }
    paths = [{**path, 'prefix': f'/p{n}/'} for n in range(routes)]
    data = json.dumps(
        {
            'version': 1,
            'services': [{'name': 's'}],
            'hosts': [{'host': 'a', 'paths': paths}],
        }
    ).encode()
    return round(
        _time_us(lambda number: platform.decode_config(data), 5) / 1000, 1
    )


def main():
    """Run all measurements and print the figures."""
    for count in SIZES:
        new_us, known_us, change_us = measure_choice(count)
        print(
            f'{count} servers: choice {new_us} us new, {known_us} us known; '
            f'change {change_us} us; a row {measure_table(count)} us'
        )
    print(f'ranking: {measure_rankings()} bytes an object')
    for routes in ROUTES:
        print(f'{routes} routes: {measure_config(routes)} ms')


if __name__ == '__main__':
    main()

"""Measures how costs grow with size, for the page on capacity.

Each cost is measured at three or more sizes. Prints one line of JSON per
measurement: messages between entry hosts, configuration changes, slot
ownership, idempotency keys, log lines and look-ups.
"""

import io
import json
import random
import time
import tracemalloc

from absl import app
from absl import flags
import eliot
import msgspec

from ebonypick import events
from ebonypick import process
from ebonypick import request
from ebonypick import version
from standins import sample

SEED = flags.DEFINE_integer('seed', 1, 'Seed.')

HOSTS = (7, 25, 50, 100)
CENTRES = (6, 16, 32, 64)
SITES = (6, 60, 300, 900)
KEYS = (1_000, 10_000, 100_000)
SERVICES = 4


def _timed(function, rounds):
    started_at = time.perf_counter()
    for _ in range(rounds):
        function()
    return (time.perf_counter() - started_at) / rounds


def _print_figures(what, **figures):
    rounded = {
        key: round(value, 3) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({'what': what, **rounded}), flush=True)


def _make_membership(hosts, centres):
    """Return the memberships of two hosts that have records of all others."""
    names = {
        f'c{c}': tuple(f'c{c}h{h}' for h in range(hosts))
        for c in range(centres)
    }
    loads = {f's{n}': (3, 0, 9) for n in range(SERVICES)}
    member = process.Membership('c0h0', 'c0', 1, random.Random(SEED.value))
    member.configure(names)
    member.loads = loads
    siblings = tuple(
        process.HostRecord(name, 1, 1, False, loads)
        for name in names['c0'][1:]
    )
    far = tuple(
        process.CentreRecord(f'c{c}', f'c{c}h0', 1, 1, (), (), loads)
        for c in range(1, centres)
    )
    message = process.Message('c0h1', 'c0', 1, None, siblings, far)
    member.receive(message, 0.0)
    other = process.Membership('c0h1', 'c0', 1, random.Random(SEED.value))
    other.configure(names)
    other.receive(message, 0.0)
    # From now on both know that the other one reads packed signs.
    member.receive(other.message('c0', 1, None, 0.0), 0.0)
    other.receive(member.message('c0', 1, None, 0.0), 0.0)
    return member, other


def measure_messages():
    """Measure the bytes of a message and the time of an exchange.

    The time covers building, encoding, decoding and receiving the message.
    """
    for hosts, centres in zip(HOSTS, CENTRES):
        member, other = _make_membership(hosts, centres)

        def deliver():
            sent = member.message('c0', 1, None, 0.0, partner=other.host)
            data = msgspec.json.encode(sent)
            other.receive(msgspec.json.decode(data, type=process.Message), 0.0)
            return data

        data = deliver()
        spent_s = _timed(deliver, 200)
        view_s = _timed(lambda: member.view(0.0), 200)
        _print_figures(
            'message inside a data centre',
            hosts=hosts,
            data_centres=centres,
            bytes=len(data),
            exchange_us=spent_s * 1e6,
            view_us=view_s * 1e6,
        )


def _shape(sites):
    return sample.Shape(
        regions=2,
        centres=max(1, sites // 2),
        hosts=1,
        services={f's{n}': (2, 3, 5) for n in range(2)},
    )


def measure_changes():
    """Measure the delta of an overlay change and the time to apply it."""
    for sites in SITES:
        old = sample.make_bundle(_shape(sites))
        name = sorted(old.overlays)[0]
        text = old.overlays[name].replace('8500', '8501')
        new = version.Bundle(old.base, {**old.overlays, name: text})
        started_at = time.perf_counter()
        found = version.make_version(1, old)
        first_s = time.perf_counter() - started_at
        delta = version.make_delta(1, old, 2, new)
        started_at = time.perf_counter()
        merged = version.apply_delta(old, delta)
        found = version.make_version(2, merged)
        change_s = time.perf_counter() - started_at
        whole = len(version.encode_bundle(old))
        _print_figures(
            'configuration change',
            sites=sites,
            bundle_bytes=whole,
            delta_bytes=len(msgspec.json.encode(delta)),
            first_ms=first_s * 1e3,
            change_ms=change_s * 1e3,
        )
        _measure_layout(sites, found.cfg)


def _measure_layout(sites, cfg):
    alive = {}
    for name, (centre, _) in cfg.entry_hosts().items():
        alive.setdefault(centre, []).append(name)
    view = process.View({c: tuple(n) for c, n in alive.items()}, frozenset())
    host = next(iter(cfg.entry_hosts()))
    spent_s = _timed(
        lambda: process.make_layout(cfg, view, host, 's0', frozenset()), 3
    )
    _print_figures('layout of a service', sites=sites, ms=spent_s * 1e3)


def measure_keys():
    """Measure the memory and the time per idempotency key."""
    for count in KEYS:
        tracemalloc.start()
        ledger = request.ClaimLedger('e1', 'b', 0.0)
        prefix = ledger.prefix(0.0)
        started_at = time.perf_counter()
        for number in range(count):
            key = request.parse_key(f'{prefix}{number:032x}')
            ledger.claim(key, 'holder', 0.0)
        spent_s = time.perf_counter() - started_at
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        _print_figures(
            'idempotency keys',
            keys=count,
            bytes_each=size / count,
            traced_us_each=spent_s / count * 1e6,
        )


def measure_logs():
    """Measure the time and the bytes per log line."""
    sink = io.StringIO()
    destination = eliot.FileDestination(file=sink)
    eliot.add_destinations(destination)
    for rounds in (1_000, 5_000, 20_000):
        begin = sink.tell()
        spent_s = _timed(
            lambda: events.ROUTED.log(
                req='0' * 24, service='registry', owner='e1', reason='near'
            ),
            rounds,
        )
        _print_figures(
            'log line',
            lines=rounds,
            us_each=spent_s * 1e6,
            bytes_each=(sink.tell() - begin) / rounds,
        )
    eliot.remove_destination(destination)


def measure_look_ups():
    """Measure a look-up decision for a client of known region."""
    for hosts, centres in ((1, 3), (2, 8), (4, 16), (8, 32)):
        shape = sample.Shape(
            regions=2,
            centres=centres,
            hosts=hosts,
            services={'s0': (2, 3, 5)},
        )
        cfg = version.build_configuration(sample.make_bundle(shape))
        alive = {}
        for name, (centre, _) in cfg.entry_hosts().items():
            alive.setdefault(centre, []).append(name)
        view = process.View(
            {c: tuple(n) for c, n in alive.items()}, frozenset()
        )
        spent_s = _timed(lambda: request.look_up(cfg, view, 'r1', ()), 20)
        _print_figures(
            'look-up decision',
            entry_hosts=len(cfg.entry_hosts()),
            us=spent_s * 1e6,
        )


def main(argv):
    """Run all measurements."""
    del argv
    measure_messages()
    measure_changes()
    measure_keys()
    measure_logs()
    measure_look_ups()


if __name__ == '__main__':
    app.run(main)

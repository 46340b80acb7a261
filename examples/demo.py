"""Demo: a complete deployment on loopback, with a host failure and a drain.

It starts all entry hosts and backend servers of a deployment, submits the
configuration and sends a mix of requests. During the run it kills an entry
host and drains a backend server. Afterwards it checks the outcomes that the
callers received against the records of the backend servers.
"""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

from absl import app
from absl import flags
from rich import console
from rich import table

from ebonypick import caller
from ebonypick import version
from standins import history
from standins import launch
from standins import load

DEPLOYMENT = flags.DEFINE_enum(
    'deployment',
    'skogvottun',
    ['skogvottun', 'trailhands'],
    'Which deployment to run.',
)
SECONDS = flags.DEFINE_float('seconds', 12.0, 'Length of the run, in seconds.')
SEED = flags.DEFINE_integer('seed', 7, 'Seed of the requests sent.')

MEAN_INTERVAL_S = 0.012
UPLOAD_BYTES = 2 << 20
CLIENT_NETWORKS = {'skogvottun': 110, 'trailhands': 120}


def _make_callers(deployment, stack_octet, rng):
    """Return one caller per region."""
    return [
        caller.make_caller(
            deployment.bootstrap(),
            client=f'127.{stack_octet}.{number}.9',
            rng=random.Random(rng.random()),
        )
        for number in (1, 2, 3)
    ]


def _request_mix(run, services):
    light, heavy = services
    return [
        (0.62, lambda c: run.read(c, light)),
        (0.20, lambda c: run.post_once(c, light)),
        (0.15, lambda c: run.read(c, heavy)),
        (0.03, lambda c: run.upload(c, heavy, UPLOAD_BYTES)),
    ]


async def _inject_faults(deployment, notes):
    """Kill an entry host and drain a backend server during the run."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(SECONDS.value * 0.3)
    killed = list(deployment.cfg.entry_hosts())[2]
    await loop.run_in_executor(None, deployment.kill, killed)
    notes['killed'] = killed
    await asyncio.sleep(SECONDS.value * 0.25)
    drained = list(deployment.backend_rows())[0]
    url = f'{deployment.backend_url(drained)}/_control/drain'
    await loop.run_in_executor(None, launch.fetch, url, {})
    notes['drained'] = drained


async def _run(deployment, rng):
    octet = CLIENT_NETWORKS[DEPLOYMENT.value]
    services = list(deployment.cfg.base.services)
    run = load.LoadRun(rng)
    notes = {}
    async with contextlib.AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(item)
            for item in _make_callers(deployment, octet, rng)
        ]
        await asyncio.gather(
            run.send_mix(
                callers,
                _request_mix(run, services),
                SECONDS.value,
                MEAN_INTERVAL_S,
            ),
            _inject_faults(deployment, notes),
        )
        notes['lookups'] = sum(item.lookups_made for item in callers)
    return run, notes


def _calls_by_kind(calls):
    return {
        'reads': [c for c in calls if c.method == 'GET'],
        'actions, at most once': [
            c for c in calls if c.method == 'POST' and c.sent_bytes < 65_536
        ],
        'uploads, at most once': [c for c in calls if c.sent_bytes >= 65_536],
    }


def _print_report(run, notes, violations, records):
    out = console.Console()
    found = table.Table(title=f'{DEPLOYMENT.value}: requests')
    for name in ('kind', 'requests', 'done', 'not-run', 'unknown'):
        found.add_column(name)
    found.add_column('p50 ms')
    found.add_column('p99 ms')
    for kind, calls in _calls_by_kind(run.calls).items():
        outcomes = [call.outcome for call in calls]
        times = load.seconds(calls)
        found.add_row(
            kind,
            str(len(calls)),
            *(str(outcomes.count(o)) for o in ('done', 'not-run', 'unknown')),
            f'{load.quantile(times, 0.5) * 1000:.1f}',
            f'{load.quantile(times, 0.99) * 1000:.1f}',
        )
    out.print(found)
    shed = sum(record['shed'] for record in records.values())
    out.print(
        f'look-ups {notes["lookups"]}, sends {run.sends}, '
        f'killed {notes["killed"]}, drained {notes["drained"]}, '
        f'shed by backend servers {shed}'
    )
    rules = table.Table(title='Invariants')
    rules.add_column('rule')
    rules.add_column('violations')
    names = (
        'at most once',
        'not-run',
        'done',
        'whole answer',
        'leaving',
    )
    for name in names:
        count = sum(violation.rule == name for violation in violations)
        rules.add_row(name, str(count))
    out.print(rules)
    for violation in violations[:10]:
        out.print(f'{violation.rule}: {violation.text}')


def main(argv):
    """Run the demo; return 1 if an invariant was violated."""
    del argv
    folder = pathlib.Path(__file__).parent / DEPLOYMENT.value
    bundle = version.read_bundle(folder)
    rng = random.Random(SEED.value)
    started_at = time.monotonic()
    with launch.Deployment(bundle) as deployment:
        deployment.start_all()
        print(
            f'{len(deployment.processes)} processes serve after '
            f'{time.monotonic() - started_at:.1f} s'
        )
        run, notes = asyncio.run(_run(deployment, rng))
        records = deployment.all_records()
        runs = deployment.runs()
    left_at = {
        name: record['leaving_since']
        for name, record in records.items()
        if record['leaving_since'] is not None
    }
    violations = history.check_calls(run.calls, runs)
    violations += history.check_leaving(left_at, runs)
    _print_report(run, notes, violations, records)
    print(f'ended after {time.monotonic() - started_at:.1f} s')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(app.run(main))

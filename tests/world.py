"""A deployment with proxies on every hop, under load from two regions."""

import asyncio
import contextlib
import dataclasses
import json
import random
import signal

from ebonypick import caller
from ebonypick import version
from standins import history
from standins import launch
from standins import load
from standins import sample
from standins import wire

OCTET = 90
PLATFORM = '127.90.250.1'
PLATFORM_FRONT = ('127.90.250.9', 8300)
SHAPE = sample.Shape(
    regions=2,
    centres=2,
    hosts=1,
    services={'registry': (3, 3, 5), 'evidence': (1, 3, 10)},
    octet=OCTET,
)
# Callers of a region connect from its client block.
CLIENTS = ('127.190.1.9', '127.190.2.9')
GAP_S = 0.02
UPLOAD_BYTES = 1 << 20


def front_address(address):
    """Return the address of the proxy in front of an address."""
    parts = address.split('.')
    return '.'.join([*parts[:3], str(int(parts[3]) + 50)])


def _front(value):
    """Return plain values with addresses replaced by those of the proxies."""
    if isinstance(value, dict):
        return {
            key: front_address(item) if key == 'address' else _front(item)
            for key, item in value.items()
        }
    return value


class WiredDeployment(launch.Deployment):
    """A deployment whose processes connect through proxies only.

    Parameters
    ==========
    shape : Shape
        Shape of the deployment.
    backend_flags : dict of str to list of str, optional
        Further flags of the backend servers, by service.
    changes : dict
        Changes to the base configuration.
    """

    def __init__(self, shape=SHAPE, backend_flags=None, **changes):
        self.shape = shape
        self.plain = sample.make_bundle(shape, **changes)
        self.first_bundle = self.plain
        self.wires = wire.LinkProxies()
        # The processes listen at the plain addresses; the submitted
        # configuration contains those of the proxies.
        super().__init__(self.plain, PLATFORM, backend_flags)

    def wired(self, bundle):
        """Return a bundle that contains the addresses of the proxies."""
        base = json.loads(bundle.base)
        base['regions'] = _front(base['regions'])
        overlays = {
            name: json.dumps(_front(json.loads(text)))
            for name, text in bundle.overlays.items()
        }
        return version.Bundle(json.dumps(base, indent=1), overlays)

    def __enter__(self):
        self.wires.__enter__()
        rows = [
            (name, host.address, host.port)
            for name, (_, host) in self.cfg.entry_hosts().items()
        ]
        rows += [
            (name, row[3].address, row[3].port)
            for name, (_, row) in self.backend_rows().items()
        ]
        for name, address, port in rows:
            self.wires.add(
                name, (front_address(address), port), (address, port)
            )
        self.wires.add('platform', PLATFORM_FRONT, (PLATFORM, 8300))
        return self

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self.wires.__exit__(*exc_info)

    def start_entry(self, name, **changes):
        """Start an entry host that reaches the platform through its proxy."""
        address, port = PLATFORM_FRONT
        super().start_entry(
            name, platform={'address': address, 'port': port}, **changes
        )

    def submit(self, bundle, base_number, by='operator'):
        """Submit a bundle with the addresses of the proxies."""
        return super().submit(self.wired(bundle), base_number, by)

    def bootstrap(self):
        """Return the bootstrap list: the proxies of all entry hosts."""
        return [(front_address(a), port) for a, port in super().bootstrap()]

    def address(self, name):
        """Return the address that an entry host connects from."""
        return self.cfg.entry_hosts()[name][1].address

    def change_base(self, change):
        """Return the plain bundle with its base changed by a function."""
        base = json.loads(self.plain.base)
        change(base)
        self.plain = version.Bundle(json.dumps(base), self.plain.overlays)
        return self.plain

    def change(self, change):
        """Submit a change of the base and wait until it is in force."""
        bundle = self.change_base(change)
        number = self.submit(bundle, self.newest())
        self.wait_version(number)
        return number

    def newest(self):
        """Return the number of the newest accepted version."""
        rows = launch.fetch(f'{self.platform_url}/_control/state')['rows']
        return rows['config/current']['number']

    def number_in_force(self, name):
        """Return the version in force on an entry host."""
        return self.status(name)['config_version']

    def wait_version(self, number, names=None, wait_timeout_s=18.0):
        """Wait until a version is in force on entry hosts."""
        for name in names or self.cfg.entry_hosts():
            launch.wait_until(
                lambda: self.number_in_force(name) >= number,
                f'version {number} on {name}',
                wait_timeout_s,
            )

    def restore(self):
        """Clear all faults and restart stopped processes after a scenario."""
        self.wires.heal()
        if self.processes['platform'].poll() is not None:
            self.start_platform()
        self.platform_faults(down=False, delay_ms=0, lose_replies=0)
        for name, process in list(self.processes.items()):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            elif name in self.cfg.entry_hosts():
                self.start_entry(name)
            elif name != 'platform':
                self.start_backend(name)
        if self.plain != self.first_bundle:
            self.plain = self.first_bundle
            number = self.submit(self.plain, self.newest())
            self.wait_version(number)
        self.wait_ready()
        for name in self.backend_rows():
            self.backend_faults(
                name,
                hang=0,
                reset_before_run=0,
                reset_after_run=0,
                truncate=0,
                foreign=0,
                lie_free=False,
                service_ms=None,
            )


@dataclasses.dataclass
class Result:
    """Calls, recorded runs and violations of a run under load."""

    run: load.LoadRun
    runs: list
    violations: list

    def of(self, method=None, uploads=None):
        """Return the calls of a method, with or without uploads."""
        return [
            call
            for call in self.run.calls
            if method in (None, call.method)
            and uploads in (None, call.sent_bytes >= 65_536)
        ]


def make_plan(run, actions=True, uploads=True):
    """Return weighted functions that send reads, actions and uploads."""
    plan = [(0.6, lambda c: run.read(c, 'registry'))]
    if actions:
        plan.append((0.3, lambda c: run.post_once(c, 'registry')))
    if uploads:
        plan.append((0.05, lambda c: run.upload(c, 'evidence', UPLOAD_BYTES)))
    return plan


def run_under_load(
    deployment,
    disturb,
    seconds,
    seed,
    gap_s=GAP_S,
    plan=make_plan,
    clients=CLIENTS,
):
    """Send mixed requests while a coroutine function injects faults.

    Returns
    =======
    Result
    """
    rng = random.Random(seed)
    run = load.LoadRun(rng)

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(
                    caller.make_caller(
                        deployment.bootstrap(),
                        client=client,
                        local_address=client,
                        rng=random.Random(rng.random()),
                    )
                )
                for client in clients
            ]
            await asyncio.gather(
                run.send_mix(callers, plan(run), seconds, gap_s), disturb()
            )

    asyncio.run(main())
    runs = deployment.runs()
    violations = history.check_calls(run.calls, runs)
    return Result(run, runs, violations)


# Events on starts and planned stops of hosts, look-ups, membership and claims
# of idempotency keys.
_HISTORY_CODES = frozenset(
    {'EP1001', 'EP1002', 'EP1003', 'EP1101', 'EP1303', 'EP1417'}
)


def history_of(deployment, result, calls):
    """Return the runs and host log lines around some calls as text."""
    rows = []
    for call in calls:
        rows.append((call.started_at, f'CALL {call}'))
        runs = [r for r in result.runs if r.target.endswith(call.mark)]
        rows += [(run.at, f'RUN {run}') for run in runs]
    start = min(call.started_at for call in calls) - 2.0
    end = max(call.ended_at for call in calls) + 1.0
    for name in deployment.cfg.entry_hosts():
        log = (deployment.folder / f'{name}.log').read_text()
        for line in log.splitlines():
            if not line.startswith('{'):
                continue
            found = json.loads(line)
            relevant = found.get('message_type') in _HISTORY_CODES
            if relevant and start <= found['timestamp'] <= end:
                rows.append((found['timestamp'], f'{name} {line}'))
    rows.sort(key=lambda row: row[0])
    return '\n'.join(f'{at:.3f} {text}' for at, text in rows)


async def in_thread(function, *args):
    """Run a blocking function in a thread while the load continues."""
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, function, *args)

"""Starts the processes of a deployment on loopback for tests and the demo."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from ebonypick.cli import _submission
from ebonypick import connection
from ebonypick import version
from standins import history

START_TIMEOUT_S = 20.0
STOP_LONGEST_S = 10.0
PLATFORM_PORT = 8300


def fetch(url, data=None, timeout_s=5.0):
    """GET a URL, or POST ``data`` as JSON to it; return the decoded answer."""
    body = None if data is None else json.dumps(data).encode()
    with urllib.request.urlopen(url, body, timeout_s) as resp:
        return json.loads(resp.read() or b'null')


def wait_until(condition, what, wait_timeout_s=START_TIMEOUT_S):
    """Wait until a condition returns a true value; return that value.

    Raises
    ======
    TimeoutError
        If the condition does not hold in time.
    """
    until = time.monotonic() + wait_timeout_s
    while True:
        with contextlib.suppress(OSError, urllib.error.URLError):
            found = condition()
            if found:
                return found
        if time.monotonic() > until:
            raise TimeoutError(
                f'{what}: condition not met within {wait_timeout_s} s'
            )
        time.sleep(0.02)


class Deployment:
    """The processes of a deployment; a context manager that kills them.

    Parameters
    ==========
    bundle : Bundle
        Configuration of the deployment, with loopback addresses.
    platform_address : str
        IP address on which the stand-in of the platform listens.
    backend_flags : dict of str to list of str
        Additional flags of the stand-in backend servers, by service.
    """

    def __init__(
        self, bundle, platform_address='127.0.0.1', backend_flags=None
    ):
        self.bundle = bundle
        self.cfg = version.build_configuration(bundle)
        self.processes = {}
        self.platform_url = f'http://{platform_address}:{PLATFORM_PORT}'
        self._platform_address = platform_address
        self._backend_flags = backend_flags or {}
        self._folder = tempfile.TemporaryDirectory(prefix='deployment-')
        self.folder = pathlib.Path(self._folder.name)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._folder.cleanup()

    def _start(self, name, module, *flags):
        log = open(self.folder / f'{name}.log', 'ab')
        with log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *flags],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_platform(self, lag_s=1.0):
        """Start the stand-in of the platform."""
        self._start(
            'platform',
            'standins.platform',
            f'--address={self._platform_address}',
            f'--port={PLATFORM_PORT}',
            f'--lag_s={lag_s}',
        )

    def start_backend(self, name):
        """Start the stand-in of a backend server."""
        service, row = self.backend_rows()[name]
        _, _, settings, server = row
        self._start(
            name,
            'standins.backend',
            f'--name={name}',
            f'--address={server.address}',
            f'--port={server.port}',
            f'--slots={server.slots or settings.slots}',
            f'--service_ms={settings.service_ms}',
            *self._backend_flags.get(service, ()),
        )

    def start_entry(self, name, **changes):
        """Start an entry host; ``changes`` override its settings."""
        centre, host = self.cfg.entry_hosts()[name]
        region = self.cfg.data_centre_region()[centre]
        seeds = [
            {'address': other.address, 'port': other.port}
            for other_name, (_, other) in self.cfg.entry_hosts().items()
            if other_name != name
        ]
        settings = {
            'host': name,
            'data_centre': centre,
            'region': region,
            'address': host.address,
            'port': host.port,
            'platform': {
                'address': self._platform_address,
                'port': PLATFORM_PORT,
            },
            'seeds': seeds,
            'control_networks': ['127.0.0.0/24'],
            **changes,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        self._start(name, 'ebonypick.entry', f'--settings={path}')

    def backend_rows(self):
        """Return (service, configuration row) by backend server."""
        return {
            row[0]: (service, row)
            for service in self.cfg.base.services
            for row in self.cfg.backends(service)
        }

    def start_all(self):
        """Start all processes, submit the configuration, wait until ready."""
        self.start_platform()
        for name in self.backend_rows():
            self.start_backend(name)
        for name in self.cfg.entry_hosts():
            self.start_entry(name)
        wait_until(
            lambda: fetch(f'{self.platform_url}/_control/state'), 'platform'
        )
        self.submit(self.bundle, 0)
        self.wait_ready()

    def submit(self, bundle, base_number, by='operator'):
        """Submit a configuration based on a version; return its number."""

        async def run():
            platform = connection.make_platform(
                'http', self._platform_address, PLATFORM_PORT
            )
            async with platform:
                return await _submission.submit(
                    platform, bundle, base_number, by
                )

        return asyncio.run(run())

    def wait_ready(self, names=None):
        """Wait until entry hosts see each other and own all slots."""
        names = set(names or self.cfg.entry_hosts())
        for name in names:
            wait_until(
                lambda: self._sees_live_hosts(name, names),
                f'readiness of {name}',
            )
        expected = {
            service: sum(
                server.slots or settings.slots
                for _, _, settings, server in self.cfg.backends(service)
            )
            for service in self.cfg.base.services
        }
        wait_until(lambda: self._owned_slots(names) == expected, 'owned slots')
        for name in self.backend_rows():
            if name in self.processes:
                wait_until(
                    lambda: fetch(f'{self.backend_url(name)}/_control/load'),
                    name,
                )

    def _sees_live_hosts(self, name, names):
        state = self.status(name)
        alive = {n for found in state['alive'].values() for n in found}
        return state['ready'] and names <= alive

    def _owned_slots(self, names):
        owned = dict.fromkeys(self.cfg.base.services, 0)
        for name in names:
            for service, found in self.status(name)['services'].items():
                owned[service] += found['load']['capacity']
        return owned

    def entry_url(self, name):
        """Return the URL of an entry host."""
        _, host = self.cfg.entry_hosts()[name]
        return f'http://{host.address}:{host.port}'

    def backend_url(self, name):
        """Return the URL of a backend server."""
        server = self.backend_rows()[name][1][3]
        return f'http://{server.address}:{server.port}'

    def status(self, name):
        """Return an entry host's status."""
        return fetch(f'{self.entry_url(name)}/v1/status')

    def records(self, name):
        """Return the records of a backend server."""
        return fetch(f'{self.backend_url(name)}/_control/records')

    def all_records(self):
        """Return the records of all running backend servers, by name."""
        found = {}
        for name in self.backend_rows():
            process = self.processes.get(name)
            if process is not None and process.poll() is None:
                found[name] = self.records(name)
        return found

    def runs(self):
        """Return the runs in the logs of all backend servers."""
        found = []
        for name in self.backend_rows():
            path = self.folder / f'{name}.log'
            if not path.exists():
                continue
            for line in path.read_text().splitlines():
                if line.startswith(history.RUN_MARK):
                    row = json.loads(line[len(history.RUN_MARK) :])
                    found.append(history.run_of(name, row))
        return found

    def backend_faults(self, name, **faults):
        """Set faults of a backend server."""
        fetch(f'{self.backend_url(name)}/_control/faults', faults)

    def platform_faults(self, **faults):
        """Set faults of the platform."""
        fetch(f'{self.platform_url}/_control/faults', faults)

    def signal(self, name, number):
        """Send a signal to one of the processes."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill one of the processes and wait until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def bootstrap(self):
        """Return the addresses of the entry hosts, to bootstrap callers."""
        hosts = self.cfg.entry_hosts().values()
        return [(host.address, host.port) for _, host in hosts]

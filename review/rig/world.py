"""A small deployment on loopback addresses, with entry hosts as processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from rig import http
from rig import store
from rig import upstream

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'callers.example'
LONGEST_S = 110.0
START_S = 30.0
# The zones and bounds of the small site that the claims name.
ZONES = {
    'tas-a': 'tas',
    'vic-a': 'vic',
    'sg-a': 'sg',
    'tas-b': 'tas',
    'vic-b': 'vic',
    'sg-b': 'sg',
}
TERMS = {
    'grace': '6s',
    'lookup_ttl': '5s',
    'contact': '4000ms',
    'repeat_ratio': 0.2,
    'repeat_window': '10s',
    'repeat_slack': 56,
}


class CannotRun(Exception):
    """The case could not be played."""


def trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


class World:
    """The deployment; an async context manager."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._record = open(folder / 'record.txt', 'w', buffering=1)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        draw = random.Random(os.urandom(8))
        self._net = f'127.{draw.randrange(20, 250)}.{draw.randrange(1, 250)}'
        self._next_address = 1
        self.store = store.Store(self.new_address())
        self.upstreams = []
        self.hosts = {}
        self.processes = {}
        self._logs = []

    def record(self, text):
        """Write a line, with the seconds since the start."""
        at = time.monotonic() - self._started_at
        self._record.write(f'{at:8.3f} {text}\n')

    def new_address(self):
        address = f'{self._net}.{self._next_address}'
        self._next_address += 1
        return address

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.upstreams:
            await server.stop()
        await self.store.stop()
        for log in self._logs:
            log.close()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Backend servers and the configuration.

    async def add_upstream(self, service, zone, kind=upstream.Upstream, **more):
        name = f'i-{service}-{len(self.upstreams) + 1}'
        server = kind(
            self.record, name, service, zone, self.new_address(), **more
        )
        await server.start()
        self.upstreams.append(server)
        self.store.put('servers', name, server.row())
        return server

    def put_config(self, version, routes, limits=None):
        """Write a configuration as the operator does."""
        services = sorted(
            {s.service for s in self.upstreams}
            | {route['service'] for route in routes}
        )
        cfg = {
            'version': version,
            'services': [
                {
                    'name': name,
                    'healthPath': '/health',
                    'maxConns': 330,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup': '3s',
                    'warmupPerS': 4.8,
                }
                for name in services
            ],
            'limits': limits
            or {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'hosts': [{'host': HOST, 'paths': routes}],
        }
        self.store.put('op', 'config', cfg)
        self.record(f'operator: configuration {version} is confirmed')

    # Entry hosts.

    def add_host(self, name, zone):
        """Choose the endpoints of an entry host and write its settings."""
        address = self.new_address()
        front, ready, look, metrics, peers = free_ports(address)
        settings = {
            'host': name,
            'data_centre': zone,
            'region': ZONES[zone],
            'address': address,
            'callers': f'{address}:{front}',
            'readiness': f'{address}:{ready}',
            'lookups': f'{address}:{look}',
            'peer_ports': [peers, peers + 1],
            'data_centres': ZONES,
            'store': f'{self.store.address}:{self.store.port}',
            'core_share': 0.86,
            'core_speed': 1,
            'link_mbps': 1000.0,
            'terms': TERMS,
            'metrics_port': metrics,
        }
        path = self.folder / f'{name}.toml'
        path.write_text(json.dumps(settings))
        self.hosts[name] = settings

    def start_host(self, name):
        """Start an entry host with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        path = self.folder / f'{name}.toml'
        words = deploy['roles']['entry']['run'].split(' ')
        words = [
            word.replace('/etc/ebonypick/node.toml', str(path))
            for word in words
        ]
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['EBONYPICK_SETTINGS'] = str(path)
        log = open(self.folder / f'{name}.log', 'ab')
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            words,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env=env,
        )
        self.record(f'platform: starts {name}')

    def log_tail(self, name, size=2000):
        return (self.folder / f'{name}.log').read_text()[-size:]

    async def wait_ready(self, name):
        end = time.monotonic() + START_S
        while (await self.readiness(name)) != 200:
            if self.processes[name].poll() is not None:
                raise CannotRun(f'{name} ended: {self.log_tail(name)}')
            if time.monotonic() > end:
                raise CannotRun(f'{name} is not ready')
            await asyncio.sleep(0.1)
        self.record(f'platform: {name} is ready')

    async def readiness(self, name):
        """Return the status of a readiness check, 0 without an answer."""
        address, port = self.endpoint(name, 'readiness')
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(address, port)
                try:
                    writer.write(
                        http.head('GET /readiness HTTP/1.1', [('Host', 'x')])
                    )
                    return (await http.read_answer(reader))[0]
                finally:
                    writer.close()
        except (OSError, http.Closed, TimeoutError):
            return 0

    def endpoint(self, name, field='callers'):
        address, _, port = self.hosts[name][field].rpartition(':')
        return address, int(port)


def free_ports(address):
    """Return five different free ports; the one after the last is free, too."""
    with contextlib.ExitStack() as held:

        def hold(port):
            sock = held.enter_context(socket.socket())
            sock.bind((address, port))
            return sock.getsockname()[1]

        # All stay bound until the last is chosen, so that no two are equal.
        found = [hold(0) for _ in range(4)]
        for _ in range(100):
            port = hold(0)
            with contextlib.suppress(OSError, OverflowError):
                hold(port + 1)
                return [*found, port]
    raise CannotRun('no two free ports')


def route(name, prefix, kind, service, timeout='2500ms', **more):
    """Return a route of the configuration."""
    return {
        'name': name,
        'prefix': prefix,
        'kind': kind,
        'timeout': timeout,
        'targetLatency': '400ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': True,
        'allowedRegions': [],
        **more,
    }


def request(method, target, req, key, deadline_ms, length=None):
    """Return the head of a client's request."""
    rows = [
        ('Host', HOST),
        ('Attempt-Id', req),
        ('Cookie', f'Affinity-Key={key}'),
        ('Deadline-Ms', deadline_ms),
    ]
    if length is not None:
        rows.append(('Content-Length', length))
    return http.head(f'{method} {target} HTTP/1.1', rows)


def main(folder, play):
    """Play a case and return the exit status: 1 broken, 0 held, 2 not run.

    ``play`` gets the world and returns the breaches of the rule, as texts.
    """

    async def run():
        async with asyncio.timeout(LONGEST_S):
            async with World(folder) as world:
                try:
                    found = await play(world)
                except BaseException:
                    world.record(f'could not run: {traceback.format_exc()}')
                    raise
                for text in found:
                    world.record(f'BROKEN: {text}')
                world.record(f'{len(found)} breaches')
                return found

    try:
        found = asyncio.run(run())
    except Exception:
        # Exit status 1 is for a broken rule alone.
        traceback.print_exc()
        return 2
    for text in found:
        print(text)
    print('the rule was broken' if found else 'the rule held')
    return 1 if found else 0

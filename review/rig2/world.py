"""A small deployment on loopback: hosts, upstreams, the store, a record.

Hosts are started by the command of ``deploy/system.toml`` with settings that
have the fields of ``deploy/settings.json5``.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

from review.rig2 import http
from review.rig2 import upstream
from standins import store

ROOT = pathlib.Path(__file__).parents[2]
HEARTBEAT_S = 1.5
START_S = 30.0
CONTACT_S = 4.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def route(name, kind, service, timeout_ms, **more):
    """Return a route with the path prefix ``/NAME/``."""
    return {
        'name': name,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout': f'{timeout_ms}ms',
        'targetLatency': '400ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': True,
        'allowedRegions': [],
        **more,
    }


class World:
    """The deployment; an async context manager.

    ``zones`` maps each zone to its region, ``hosts`` each host to its zone.
    """

    def __init__(self, folder, zones, hosts, routes):
        self._folder = pathlib.Path(folder)
        self._record = open(self._folder / 'record.txt', 'w')
        self._began = time.monotonic()
        self._temp = tempfile.TemporaryDirectory()
        self._tasks = []
        rng = random.Random()
        self.net = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        self.zones, self.hosts, self.routes = zones, hosts, routes
        self.store = store.Store(f'{self.net}.250')
        self.upstreams = []
        self.processes = {}
        self._ports = {}
        self._count = 0
        # How often an upstream crashed.
        self.crash_count = 0
        self.crashed_at = []

    def note(self, text):
        """Write a line to the record."""
        if self._record.closed:
            return
        at = time.monotonic() - self._began
        self._record.write(f'{at:9.3f} {text}\n')

    def new_id(self):
        """Return the id of a new client attempt."""
        self._count += 1
        return f'{self._count:016x}'

    async def __aenter__(self):
        await self.store.__aenter__()
        self.put_config(3, self.routes)
        return self

    def put_config(self, version, routes):
        """Write a config as the operator does."""
        self.version, self.routes = version, routes
        services = sorted({r['service'] for r in routes})
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'services': [
                    {
                        'name': name,
                        'healthPath': '/health',
                        'maxConns': 330,
                        'warmup': '3s',
                        'warmupPerS': 4.8,
                    }
                    for name in services
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4 << 20,
                    'headerTimeout': '3s',
                    'idleTimeout': '15s',
                },
                'hosts': [{'host': 'c.example', 'paths': routes}],
            },
        )
        self.note(f'version {version} is confirmed')

    def turn_away(self, addresses):
        """Let the store turn some machines away, or none.

        Their open connections are reset and their calls are answered 503.
        """
        self.store.faults.turned_away = set(addresses)
        for conn in self.store._server.open_connections():
            if conn.client in addresses:
                conn.abort()
        self.note(f'the store turns away {sorted(addresses)}')

    def of(self, service):
        """Return the names of the upstreams of a service."""
        return {u.name for u in self.upstreams if u.service == service}

    def keep(self, task):
        """Keep a task until it ends; it is cancelled at the end."""
        self._tasks.append(task)

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self.upstreams:
            await server.stop()
        await self.store.__aexit__(None, None, None)
        self._record.close()
        self._temp.cleanup()

    async def add_upstream(self, service, zone, **more):
        """Start an upstream, which registers itself at each start."""
        address = f'{self.net}.{100 + len(self.upstreams)}'
        server = upstream.Upstream(service, zone, address, self.note, **more)
        server.on_start = self._register
        server.on_crash = self._note_crash
        self.upstreams.append(server)
        await server.start()
        self._tasks.append(asyncio.create_task(self._beat(server)))
        return server

    def _note_crash(self, server):
        self.crash_count += 1
        self.crashed_at.append(time.monotonic())

    def _register(self, server):
        self.store.put('servers', server.name, server.entry())

    async def _beat(self, server):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if server._server.is_serving():
                self._register(server)

    def address(self, name):
        """Return the IP address of a host."""
        return f'{self.net}.{1 + list(self.hosts).index(name)}'

    def _free_ports(self, address, count):
        socks = [socket.create_server((address, 0)) for _ in range(count)]
        found = [sock.getsockname()[1] for sock in socks]
        for sock in socks:
            sock.close()
        return found

    def _settings(self, name):
        address = self.address(name)
        if name not in self._ports:
            ports = self._free_ports(address, 6)
            while abs(ports[3] - ports[4]) != 1:
                # The first two of the ports between hosts are adjacent.
                first = self._free_ports(address, 1)[0]
                try:
                    socket.create_server((address, first + 1)).close()
                except OSError:
                    continue
                ports[3:5] = [first, first + 1]
            self._ports[name] = ports
        front, ready, lookups, first, _, metrics = self._ports[name]
        zone = self.hosts[name]
        return {
            'host': name,
            'data_centre': zone,
            'region': self.zones[zone],
            'address': address,
            'callers': f'{address}:{front}',
            'readiness': f'{address}:{ready}',
            'lookups': f'{address}:{lookups}',
            'peer_ports': [first, first + 15],
            'data_centres': self.zones,
            'store': f'{self.net}.250:{self.store.port}',
            'core_share': 0.86,
            'core_speed': 1,
            'link_mbps': 1000.0,
            'metrics_port': metrics,
            'terms': {
                'grace': '6s',
                'lookup_ttl': '5s',
                'contact': f'{CONTACT_S}s',
                'repeat_ratio': 0.2,
                'repeat_window': '10s',
                'repeat_slack': 56,
            },
        }

    async def start_host(self, name):
        """Start a host by the command of the deploy file."""
        path = pathlib.Path(self._temp.name) / f'{name}.json'
        path.write_text(json.dumps(self._settings(name)))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            run = tomllib.load(file)['roles']['entry']['run']
        words = run.replace('/etc/ebonypick/node.toml', str(path)).split(' ')
        if words[0] == 'python3':
            words[0] = sys.executable
        env = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with open(pathlib.Path(self._temp.name) / f'{name}.log', 'ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, cwd=ROOT, env=env
            )
        self.note(f'host {name} starts')

    async def start_hosts(self):
        """Start all hosts and wait until they are ready."""
        for name in self.hosts:
            await self.start_host(name)
        for name in self.hosts:
            await self.until_ready(name)

    async def until_ready(self, name):
        """Wait until the readiness check of a host answers 200."""
        end = time.monotonic() + START_S
        while not await self.ready(name):
            if time.monotonic() > end:
                raise RuntimeError(f'{name} is not ready:\n{self.log(name)}')
            await asyncio.sleep(0.05)
        self.note(f'host {name} is ready')

    async def ready(self, name):
        """Return whether the readiness check of a host answers 200."""
        address = self.address(name)
        try:
            reader, writer = await asyncio.open_connection(
                address, self._ports[name][1]
            )
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            status, _, _ = await http.read_answer(reader)
            writer.close()
        except (OSError, http.BrokenAnswerError):
            return False
        return status == 200

    def log(self, name):
        """Return the log of a host."""
        path = pathlib.Path(self._temp.name) / f'{name}.log'
        return path.read_text()

    def front(self, name):
        """Return address and port for callers of a host."""
        return self.address(name), self._ports[name][0]

    def signal(self, name, number):
        """Send a signal to a host."""
        self.note(f'host {name} gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    def runs(self):
        """Return the runs of each request by its id."""
        found = {}
        for server in self.upstreams:
            for run in server.runs:
                found.setdefault(run.req, []).append(run)
        return found


def main(play, folder, trouble):
    """Run a case; exit with 1 if it returns a reason, 0 if None."""
    try:
        reason = asyncio.run(asyncio.wait_for(play(folder, trouble), 115))
    except Exception as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    print(f'broken: {reason}' if reason else 'the rule held')
    sys.exit(EXIT_BROKEN if reason else EXIT_HELD)

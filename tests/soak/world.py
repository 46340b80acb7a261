"""A deployment in which every connection passes through a proxy."""

import asyncio
import contextlib
import dataclasses
import json
import signal
import time

import aiohttp

from standins import pipelining
from standins import store
from tests.soak import cut_off
from tests.soak import proxy
from tests import steering_calls
from tests import steering_world

CENTRES = steering_world.REGIONS
# Offset from a host's own ports to the ports of its proxies.
FRONT_OFFSET = 100
# Users' limits, in seconds: CONTACT_S is the time that a host has to recover
# its contacts after a disturbance; the others limit the time of its tasks.
CONTACT_S = 4.0
DRAIN_S = 2.5
CONFIG_S = 2.5
EVACUATION_S = 5.0
GRACE_S = 6.0
# Time for which a caller caches the answer to a look-up, in seconds.
LOOKUP_S = 2.0
PROBE_INTERVAL_S = 0.2
# Maximum number of requests that a caller pipelines.
MAX_PIPELINED = 6
WORK_S = 0.05
# Last octet of the first backend server's address, above those of the hosts.
FIRST_SERVER = 100
# Start-up time of the interpreter, before which no signal can be handled.
INTERPRETER_START_S = 0.25


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A period in which a part of the deployment was disturbed.

    Parameters
    ==========
    scope : str
        A host name, ``store``, ``servers``, or ``stop`` and a host name.
    start, end : float
        Monotonic times, in seconds; the end is infinite while it lasts.
    """

    scope: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True)
class StoreChange:
    """A change that the store acknowledged.

    Parameters
    ==========
    kind : str
        ``config``, ``drain``, ``evacuate`` or ``return``.
    name : str
        The version, instance or data centre.
    at : float
        Monotonic time of the acknowledgement, in seconds.
    """

    kind: str
    name: str
    at: float


@dataclasses.dataclass(frozen=True)
class Exit:
    """The end of a host process after a signal.

    Parameters
    ==========
    host : str
        Name of the host.
    number : signal.Signals
        The signal that was sent.
    code : int
        Exit code of the process.
    took_s : float
        Time from the signal to the exit, in seconds.
    served : bool
        Whether the process had been ready.
    """

    host: str
    number: signal.Signals
    code: int
    took_s: float
    served: bool


@dataclasses.dataclass(frozen=True)
class Cut:
    """A period in which hosts were cut off from all backend servers.

    Parameters
    ==========
    hosts : frozenset of str
        Names of the hosts.
    start, end : float
        Monotonic times, in seconds.
    """

    hosts: frozenset
    start: float
    end: float


class SoakWorld(steering_world.SteeringWorld):
    """Async context manager that runs a deployment with proxies.

    Parameters
    ==========
    folder : pathlib.Path
        Folder for the hosts' settings and logs.
    seed : int
        Seed of the random choices.
    hosts, servers : int
        Number of hosts, and of servers per service, in each data centre.
    """

    def __init__(self, folder, seed, hosts=2, servers=3):
        super().__init__(folder, seed, hosts, servers)
        self.store = store.Store(rewrite=self._through_proxies)
        self.callers_port = steering_world.CALLERS_PORT + FRONT_OFFSET
        self.troubles = []
        self.told = []
        self.exits = []
        self.cuts = []
        # Cuts do not overlap, so that each has hosts to compare with.
        self.one_cut = asyncio.Lock()
        self.proxies = {}
        self._started_at = {}
        self._ready = {}

    # Connections.

    async def _add_proxy(self, name, front, back):
        made = proxy.Proxy(front, back)
        self.proxies[name] = await self._stack.enter_async_context(made)
        return made

    async def add_upstream(self, service, centre, **more):
        """Start a backend server behind a proxy and register it."""
        # Each server has its own address, so that no other connection takes
        # its port while the server is down.
        address = f'{self.network}.{FIRST_SERVER + len(self.upstreams)}'
        server = await super().add_upstream(
            service, centre, address=address, work_s=WORK_S, **more
        )
        back = (address, server.port)
        await self._add_proxy(f'server {address}', ('127.0.0.1', 0), back)
        self.register(server)
        return server

    def entry_of(self, server):
        """Return a backend server's row with its proxy's address."""
        entry = server.entry()
        made = self.proxies.get(f'server {server.address}')
        if made is not None:
            entry['address'] = f'127.0.0.1:{made.front[1]}'
        return entry

    def register(self, server):
        """Write the row of a backend server to the store."""
        self.store.put('servers', server.instance, self.entry_of(server))

    def _through_proxies(self, table, key, value):
        row = json.loads(value)
        for field in ('callers', 'peers'):
            address, _, port = row[field].rpartition(':')
            row[field] = f'{address}:{int(port) + FRONT_OFFSET}'
        return json.dumps(row).encode()

    def _settings(self, name, centre):
        settings = super()._settings(name, centre)
        port = self.proxies[f'store {name}'].front[1]
        return {**settings, 'store': f'127.0.0.1:{port}'}

    async def start_host(self, name, centre):
        """Start a host and, the first time, its proxies."""
        address = self.address(name)
        if f'store {name}' not in self.proxies:
            back = ('127.0.0.1', self.store.port)
            await self._add_proxy(f'store {name}', ('127.0.0.1', 0), back)
            for kind, port in (
                ('callers', steering_world.CALLERS_PORT),
                ('peers', steering_world.PEER_PORT),
            ):
                front = (address, port + FRONT_OFFSET)
                await self._add_proxy(f'{kind} {name}', front, (address, port))
        await super().start_host(name, centre)
        self._started_at[name] = time.monotonic()

    async def ready(self, name):
        """Wait until a host is ready and record this for its lifetime."""
        lifetime = self.lifetimes[name]
        await super().ready(name)
        self._ready[name] = lifetime

    def _program(self, name):
        return (
            'tests.soak.clocked',
            str(self.folder / f'{name}.clock'),
            'tests.soak.cut_off',
            str(self.folder / f'{name}.cut'),
            'ebonypick.steering',
        )

    def step_clock(self, name, seconds):
        """Set the offset of a host's wall clock, in seconds."""
        path = self.folder / f'{name}.clock'
        whole = path.with_suffix('.new')
        whole.write_text(str(seconds))
        whole.replace(path)

    @contextlib.contextmanager
    def cut_off(self, names, how):
        """Cut hosts off from all backend servers while the context is open.

        Parameters
        ==========
        names : iterable of str
            The hosts; all else reaches them.
        how : str
            A way of ``tests.soak.cut_off``.
        """
        links = [
            link for n, link in self.proxies.items() if n.startswith('server ')
        ]
        ports = [link.front[1] for link in links]
        sources = {self.address(name) for name in names}
        cuts = {
            (source, direction)
            for source in sources
            for direction in (proxy.TO_BACK, proxy.TO_FRONT)
        }
        for name in names:
            cut_off.write_cut(self.folder / f'{name}.cut', how, ports)
        for link in links:
            if how == cut_off.HANG:
                link.cuts |= cuts
            elif how == cut_off.RESET:
                for source in sources:
                    link.reset(source)
        try:
            yield
        finally:
            for name in names:
                cut_off.write_cut(self.folder / f'{name}.cut', None, ())
            for link in links:
                link.cuts -= cuts

    def hang_up(self, name):
        """Send SIGHUP unless the interpreter is still starting."""
        age_s = time.monotonic() - self._started_at[name]
        if age_s > INTERPRETER_START_S:
            self.processes[name].send_signal(signal.SIGHUP)

    # Records of disturbances and changes.

    @contextlib.contextmanager
    def trouble(self, *scopes):
        """Record scopes as disturbed while the context is open."""
        start = time.monotonic()
        open_rows = [Trouble(s, start, float('inf')) for s in scopes]
        self.troubles += open_rows
        try:
            yield
        finally:
            end = time.monotonic()
            for row in open_rows:
                self.troubles.remove(row)
                self.troubles.append(dataclasses.replace(row, end=end))

    def calm(self, start, end, *scopes):
        """Return whether scopes were undisturbed in and before a period.

        The period is extended by ``CONTACT_S`` before its start.
        """
        return not any(
            row.scope in scopes
            and row.start <= end
            and row.end >= start - CONTACT_S
            for row in self.troubles
        )

    def in_touch(self, host, start, end):
        """Return whether a host and the store were undisturbed."""
        return self.calm(start, end, host, f'stop {host}', 'store')

    def tell(self, kind, name, value):
        """Write a change of the operator or a server and record its time."""
        if kind in ('config', 'drain'):
            table = 'op' if kind == 'config' else 'servers'
            key = 'config' if kind == 'config' else name
            self.store.put(table, key, value)
        elif kind == 'evacuate':
            self.store.put('op', f'evacuate/{name}', {})
        else:
            self.store.remove('op', f'evacuate/{name}')
        self.told.append(StoreChange(kind, name, time.monotonic()))

    def change_config(self):
        """Store a new version with a route that no other version has."""
        self.config_number += self.rng.randrange(1, 4)
        number = self.config_number
        cfg = steering_world.make_config(number)
        paths = cfg['hosts'][0]['paths']
        paths.append(
            {**paths[0], 'name': f'v{number}', 'prefix': f'/v{number}/'}
        )
        self.tell('config', str(number), cfg)

    # Hosts.

    async def stop_host(self, name, number):
        """End a host by a signal and record its exit."""
        process = self.processes.pop(name)
        started_at = time.monotonic()
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            process.kill()
            code = await process.wait()
        self.exits.append(
            Exit(
                name,
                number,
                code,
                time.monotonic() - started_at,
                self._ready.get(name) == self.lifetimes[name],
            )
        )

    async def restart_host(self, name, number, pause_s):
        """End a host by a signal and start it again."""
        await self.stop_host(name, number)
        await asyncio.sleep(pause_s)
        await self.start_host(name, name.rpartition('-')[0])
        await self.ready(name)

    def ended_by_themselves(self):
        """Return the hosts whose process ended without a signal."""
        return [
            name
            for name, process in self.processes.items()
            if process.returncode is not None
        ]

    async def heal(self):
        """Clear all faults of connections and of the store."""
        for made in self.proxies.values():
            made.delay_s = 0.0
            made.cuts.clear()
            made.reset()
        self.store.faults = store.StoreFaults()

    # Callers.

    async def client(self, region, until, per_s):
        """Send requests as a caller of a region until a given time."""
        tasks = set()
        hosts, known_until = [], 0.0
        connector = aiohttp.TCPConnector(limit=0)
        async with steering_calls.caller_session(
            connector=connector
        ) as session:
            while time.monotonic() < until:
                if time.monotonic() > known_until:
                    hosts = await self._look_up(region) or hosts
                    known_until = time.monotonic() + LOOKUP_S
                kind = self.rng.choices(('read', 'act', 'upload'), (5, 3, 1))
                size = 60_000 if kind == ['upload'] else 0
                name = self.rng.choice(hosts or self.names())
                call = self.call(session, name, kind[0], size)
                tasks.add(asyncio.create_task(call))
                await asyncio.sleep(self.rng.expovariate(per_s))
            await asyncio.gather(*tasks)

    async def pipelining_client(self, region, until):
        """Pipeline several reads at once on each connection until a time."""
        while time.monotonic() < until:
            hosts = await self._look_up(region) or self.names()
            name = self.rng.choice(hosts)
            try:
                async with pipelining.PipeliningConnection(
                    self.callers_end(name)
                ) as conn:
                    while conn.open and time.monotonic() < until:
                        count = self.rng.randint(1, MAX_PIPELINED)
                        await self.pipeline(conn, name, count)
                        await asyncio.sleep(self.rng.uniform(0, 0.2))
            except OSError:
                # The host is down, so the caller retries after a pause.
                await asyncio.sleep(0.1)

    async def _look_up(self, region):
        """Return the hosts that a look-up names, or an empty list."""
        names = self.names()
        for name in self.rng.sample(names, min(3, len(names))):
            path = f'/resolve?name=x&region={region}&zone={region}-1'
            try:
                async with asyncio.timeout(1.0):
                    status, body = await self.get(name, 8463, path)
            except TimeoutError:
                continue
            if status == 200:
                found = json.loads(body)['addresses']
                by_address = {self.address(n): n for n in names}
                return [by_address[row.partition(':')[0]] for row in found]
        return []

    async def probe(self, name, until):
        """Request the routes of the two newest versions from a host."""
        async with steering_calls.caller_session() as session:
            while time.monotonic() < until:
                versions = [t.name for t in self.told if t.kind == 'config']
                for number in versions[-2:]:
                    await self.call(session, name, f'v{number}')
                await asyncio.sleep(PROBE_INTERVAL_S)

"""A deployment whose every connection goes through a proxy."""

import asyncio
import contextlib
import dataclasses
import json
import signal
import time

import aiohttp

from standins import pipelining
from standins import store
from tests.soak import proxy
from tests import steering_calls
from tests import steering_world

CENTRES = steering_world.REGIONS
# Where others find a host's ends, beside its own ports.
FRONT_OFFSET = 100
# How long the users' rules give a host after trouble, and for its duties.
CONTACT_S = 4.0
DRAIN_S = 2.5
CONFIG_S = 2.5
EVACUATION_S = 5.0
GRACE_S = 6.0
# A caller keeps the answer to a look-up for that long.
LOOKUP_S = 2.0
PROBE_INTERVAL_S = 0.2
# Requests that a caller sends at once.
PIPELINED_MOST = 6
WORK_S = 0.05
# Last number of the first backend server's address, after the hosts'.
FIRST_SERVER = 100
# No program can handle a signal before that.
INTERPRETER_START_S = 0.25


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A time in which something was disturbed.

    Parameters
    ==========
    scope : str
        A host, ``store``, ``servers``, or ``stop`` and a host.
    start, end : float
        Monotonic times; the end is infinite while it lasts.
    """

    scope: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True)
class Told:
    """Something that the store acknowledged.

    Parameters
    ==========
    kind : str
        ``config``, ``drain``, ``evacuate`` or ``return``.
    name : str
        The version, instance or data centre.
    at : float
        Monotonic time.
    """

    kind: str
    name: str
    at: float


@dataclasses.dataclass(frozen=True)
class Exit:
    """How a host ended after a signal.

    Parameters
    ==========
    host : str
        Its name.
    number : signal.Signals
        The signal.
    code : int
        Its exit code.
    took_s : float
        Time from the signal to the end.
    served : bool
        Whether it had been ready.
    """

    host: str
    number: signal.Signals
    code: int
    took_s: float
    served: bool


class SoakWorld(steering_world.SteeringWorld):
    """A deployment with proxies; an async context manager.

    Parameters
    ==========
    folder : pathlib.Path
        For settings and logs.
    seed : int
        Of callers and troubles.
    hosts, servers : int
        In each data centre.
    """

    def __init__(self, folder, seed, hosts=2, servers=3):
        super().__init__(folder, seed, hosts, servers)
        self.store = store.Store(rewrite=self._through_proxies)
        self.callers_port = steering_world.CALLERS_PORT + FRONT_OFFSET
        self.troubles = []
        self.told = []
        self.exits = []
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
        # An address of its own: nobody connects from its port while the
        # server is down.
        address = f'{self.network}.{FIRST_SERVER + len(self.upstreams)}'
        server = await super().add_upstream(
            service, centre, address=address, work_s=WORK_S, **more
        )
        back = (address, server.port)
        await self._add_proxy(f'server {address}', ('127.0.0.1', 0), back)
        self.register(server)
        return server

    def entry_of(self, server):
        """Return a backend server's entry with its proxy's address."""
        entry = server.entry()
        made = self.proxies.get(f'server {server.address}')
        if made is not None:
            entry['address'] = f'127.0.0.1:{made.front[1]}'
        return entry

    def register(self, server):
        """Write a backend server's entry."""
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
        """Start a host and, the first time, the proxies of its ends."""
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
        """Wait until a host serves; note that this lifetime did."""
        lifetime = self.lifetimes[name]
        await super().ready(name)
        self._ready[name] = lifetime

    def _program(self, name):
        clock = self.folder / f'{name}.clock'
        return ('tests.soak.clocked', str(clock), 'ebonypick.steering')

    def step_clock(self, name, seconds):
        """Move a host's time of day, so many seconds from the true one."""
        path = self.folder / f'{name}.clock'
        whole = path.with_suffix('.new')
        whole.write_text(str(seconds))
        whole.replace(path)

    def hang_up(self, name):
        """Send SIGHUP, once the interpreter runs our code."""
        age_s = time.monotonic() - self._started_at[name]
        if age_s > INTERPRETER_START_S:
            self.processes[name].send_signal(signal.SIGHUP)

    # What happened.

    @contextlib.contextmanager
    def trouble(self, *scopes):
        """Note that scopes are disturbed while the context lasts."""
        start = time.monotonic()
        open_ones = [Trouble(s, start, float('inf')) for s in scopes]
        self.troubles += open_ones
        try:
            yield
        finally:
            end = time.monotonic()
            for row in open_ones:
                self.troubles.remove(row)
                self.troubles.append(dataclasses.replace(row, end=end))

    def calm(self, start, end, *scopes):
        """Return whether scopes were in touch during a time."""
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
        """Let the operator or a server write a row; note when."""
        if kind in ('config', 'drain'):
            table = 'op' if kind == 'config' else 'servers'
            key = 'config' if kind == 'config' else name
            self.store.put(table, key, value)
        elif kind == 'evacuate':
            self.store.put('op', f'evacuate/{name}', {})
        else:
            self.store.remove('op', f'evacuate/{name}')
        self.told.append(Told(kind, name, time.monotonic()))

    def change_config(self):
        """Accept a version that has a route of its own."""
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
        """End a host by a signal; note how it ended."""
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
        """Return the hosts whose process ended though nobody asked."""
        return [
            name
            for name, process in self.processes.items()
            if process.returncode is not None
        ]

    async def heal(self):
        """End all troubles of connections and of the store."""
        for made in self.proxies.values():
            made.delay_s = 0.0
            made.cuts.clear()
            made.reset()
        self.store.faults = store.StoreFaults()

    # Callers.

    async def client(self, region, until, per_s):
        """Send requests as a caller of a region does, until a time."""
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
        """Send several reads at once, on a connection while it is open."""
        while time.monotonic() < until:
            hosts = await self._look_up(region) or self.names()
            name = self.rng.choice(hosts)
            try:
                async with pipelining.PipeliningConnection(
                    self.callers_end(name)
                ) as conn:
                    while conn.open and time.monotonic() < until:
                        count = self.rng.randint(1, PIPELINED_MOST)
                        await self.pipeline(conn, name, count)
                        await asyncio.sleep(self.rng.uniform(0, 0.2))
            except OSError:
                # A host that is down, as callers meet it.
                await asyncio.sleep(0.1)

    async def _look_up(self, region):
        """Return the hosts that some host names, or none."""
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
        """Ask a host for the routes of the newest versions, by turns."""
        async with steering_calls.caller_session() as session:
            while time.monotonic() < until:
                versions = [t.name for t in self.told if t.kind == 'config']
                for number in versions[-2:]:
                    await self.call(session, name, f'v{number}')
                await asyncio.sleep(PROBE_INTERVAL_S)

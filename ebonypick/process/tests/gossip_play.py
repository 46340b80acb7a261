"""Plays the membership tasks of many hosts in virtual time.

Each host runs its task as it is, with its pace, its messages and what it names
in look-ups. Only the clock and the connections between hosts are simulated.
"""

import asyncio
import collections
import contextlib
import random
import selectors
import types

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _board
from ebonypick.process import _gossip
from ebonypick.process import _gossip_messages
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _roster
from ebonypick.process import _steering_host

NEAR_DELAY_S = 0.002
FAR_DELAY_S = 0.055
STEP_S = 0.1
# Three tables of the store.
REVISIONS = {
    name: platform.Revision(1, 12_345) for name in ('op', 'servers', 'hosts')
}


class _Selector(selectors.SelectSelector):
    """Advances the clock of its loop in place of waiting."""

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.loop.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is left to do."""

    def __init__(self):
        self.now = 1000.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.now


class _Peer:
    """The connections from one host to another."""

    def __init__(self, play, source, target):
        self._play = play
        self._source = source
        self._target = target

    async def call_json(self, method, path, data=None, timeout_s=1.0):
        """Deliver a message and return the reply, as ``connection.Pool``.

        Where there is none, it is sent once more.
        """
        for _ in range(2):
            try:
                async with asyncio.timeout(timeout_s / 2):
                    return 200, await self._exchange(data)
            except TimeoutError:
                continue
        raise connection.LostError('no answer')

    async def _exchange(self, data):
        play = self._play
        await play.pass_network(self._source, self._target)
        reply = play.hosts[self._target].gossip.receive(data)
        await play.pass_network(self._target, self._source)
        return reply


class Host:
    """One host: what its membership task and its look-ups need of it."""

    def __init__(self, play, name, incarnation):
        self.settings = types.SimpleNamespace(
            host=name,
            data_centre=play.centre_of[name],
            data_centres=dict.fromkeys(play.centres, 'r'),
            region='r',
            terms=types.SimpleNamespace(contact=f'{play.contact_s}s'),
        )
        self.board = _board.Board()
        self.board.publish(version=types.SimpleNamespace(number=1))
        self.metrics = _metrics.Metrics()
        self.crashes = self
        self.connections = types.SimpleNamespace(
            peers={
                other: _Peer(play, name, other)
                for other in play.centre_of
                if other != name
            },
            rows={},
            seeds=(),
            peer=lambda other: self.connections.peers.get(other),
            centres=lambda: play.centres,
        )
        self.tasks = types.SimpleNamespace(start=self._start)
        self._running = set()
        self._play = play
        membership = _membership.Membership(
            name,
            self.settings.data_centre,
            incarnation,
            random.Random(f'{name}{play.seed}'),
            _steering_host.life_s(play.contact_s),
        )
        self.gossip = _gossip.GossipTask(self, membership)
        self.gossip.configure(play.centres)
        self.roster = _roster.Roster(self)
        self.run = play.loop.create_task(self.gossip.run())

    def _start(self, coro):
        task = self._play.loop.create_task(coro)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def stop(self):
        """End all tasks of the host at once."""
        for task in (self.run, *self._running):
            task.cancel()

    def names(self):
        """Return the hosts that its look-ups may name."""
        return {n for names in self.roster.live().values() for n in names}

    # What the membership task asks of its host.

    def own_loads(self):
        """Return no loads."""
        return {}

    def centre_of(self, host):
        """Return the data centre of a host."""
        return self._play.centre_of.get(host, '')

    def table_revisions(self):
        """Return the positions in the tables of the store."""
        return REVISIONS

    def limits_to_send(self, count):
        """Return as many limits of servers as the play has."""
        return tuple(
            _gossip_messages.LimitRecord(
                f'i-{n:010x}', 1_781_173_562_000 + n, 2, 4.5
            )
            for n in range(min(self._play.limits, count))
        )

    def to_send(self, count):
        """Return as many crash records as the play has."""
        return tuple(
            _gossip_messages.CrashMessage(
                f'{n:032x}', 0, (f'i-{n:010x}/1781173562000',)
            )
            for n in range(min(self._play.crashes, count))
        )

    def receive(self, messages, source):
        """Ignore crash records."""

    def receive_version(self, number, source):
        """Ignore the version of a peer."""

    receive_revisions = receive_version
    receive_limits = receive_version

    def receive_platform_time(self, platform_s):
        """Ignore the time of a peer."""

    def receive_cut_off(self, host):
        """Ignore what a host reaches."""


class Play:
    """A deployment in virtual time, as a context manager.

    Parameters
    ==========
    sizes : sequence of int
        Number of hosts in each data centre.
    contact_s : float
        The users' time for a host to recover its contacts, in seconds.
    seed : int
        Seed of the network.
    """

    def __init__(self, sizes, contact_s=3.0, seed=1):
        self.contact_s = contact_s
        self.seed = seed
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.centres = {
            f'c{n}': tuple(f'front-c{n}-{k}' for k in range(1, size + 1))
            for n, size in enumerate(sizes)
        }
        self.centre_of = {
            name: centre
            for centre, names in self.centres.items()
            for name in names
        }
        self.hosts = {}
        # Hosts that do not run for a while, and when they go on.
        self.frozen = {}
        self.delay_s = collections.defaultdict(float)
        self.loss = 0.0
        # Numbers of limits and of crash records that hosts have to send.
        self.limits = 0
        self.crashes = 0
        # Last time at which a host was named by each other one.
        self.named_at = {}
        # Live hosts that others left out, with the times.
        self.left_out = []
        self.lost_at = {}
        self._starts = 0
        self._patches = contextlib.ExitStack()

    def __enter__(self):
        clock = types.SimpleNamespace(monotonic=self.loop.time)
        for module in (_gossip, _roster):
            self._patches.callback(setattr, module, 'time', module.time)
            module.time = clock
        self._patches.callback(
            setattr, _gossip.random, 'sample', _gossip.random.sample
        )
        _gossip.random.sample = self.rng.sample
        for name in self.centre_of:
            self.start(name)
        return self

    def __exit__(self, *exc_info):
        for host in self.hosts.values():
            host.stop()
        self.loop.run_until_complete(asyncio.sleep(0))
        self._patches.close()
        self.loop.close()

    async def pass_network(self, source, target):
        """Wait until a message has passed, for ever where it is lost."""
        near = self.centre_of[source] == self.centre_of[target]
        await asyncio.sleep(NEAR_DELAY_S if near else FAR_DELAY_S)
        await asyncio.sleep(self.delay_s[source] + self.delay_s[target])
        if target not in self.hosts or self.rng.random() < self.loss:
            await asyncio.Event().wait()
        while self.loop.time() < self.frozen.get(target, 0.0):
            await asyncio.sleep(STEP_S)

    def start(self, name):
        """Start a host."""
        self._starts += 1
        self.lost_at.pop(name, None)
        incarnation = 1_781_173_562_000 + self._starts
        self.hosts[name] = Host(self, name, incarnation)

    def lose(self, name):
        """Let a host lose power."""
        self.hosts.pop(name).stop()
        self.lost_at[name] = self.loop.time()

    def freeze(self, name, seconds):
        """Stop a host's process for a while; its clock goes on."""
        self.frozen[name] = self.loop.time() + seconds
        host = self.hosts[name]
        tick = host.gossip.tick

        async def wait_and_tick():
            while self.loop.time() < self.frozen[name]:
                await asyncio.sleep(STEP_S)
            await tick()

        host.gossip.tick = wait_and_tick

    def run(self, seconds):
        """Let time pass, and note which hosts are named."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            self.loop.run_until_complete(asyncio.sleep(STEP_S))
            self._note_names()

    def _note_names(self):
        now = self.loop.time()
        running = {n for n in self.hosts if now >= self.frozen.get(n, 0.0)}
        for observer in running:
            names = self.hosts[observer].names()
            for name in names:
                self.named_at[observer, name] = now
            self.left_out += [
                (round(now, 1), observer, name) for name in running - names
            ]

    def named_for_s(self, name):
        """Return for how long a lost host was named by a running one."""
        lost_at = self.lost_at[name]
        return max(
            at - lost_at
            for (observer, found), at in self.named_at.items()
            if found == name and observer in self.hosts
        )

    def bytes_per_s(self, seconds):
        """Return the bytes of messages of each host in a time, per second."""

        def count():
            return {
                name: host.metrics.gossip_bytes._value.get()
                for name, host in self.hosts.items()
            }

        before = count()
        self.run(seconds)
        return {
            name: (size - before.get(name, 0.0)) / seconds
            for name, size in count().items()
        }

"""The task that exchanges membership messages with other entry hosts."""

import asyncio
import random
import time

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import json_text
from ebonypick.process import _gossip_messages
from ebonypick.process import _gossip_pace

EXCHANGE_TIMEOUT_S = 0.8
# The HTTP head of a message and the headers of its TCP segment.
HEAD_BYTES = 130
# The view is evaluated at least as often, also between two rounds.
VIEW_INTERVAL_S = 0.5
# Number of hosts to which urgent news are sent at once; the next rounds carry
# them to the others.
SPREAD_FANOUT = 16
# Urgent news of this time are sent together.
SPREAD_INTERVAL_S = 0.25
# Rounds after the start in which a host exchanges messages with as many, since
# it has to hear of all others before it stops trusting the list of them.
START_SPREADS = 3


class GossipTask:
    """Owns the membership; publishes its view on the board.

    Parameters
    ==========
    node : EntryHost
        The process.
    membership : Membership
        The state machine.
    """

    def __init__(self, node, membership):
        self._node = node
        self._membership = membership
        self.exchanges = 0
        self.bytes_sent = 0
        self._pace = _gossip_pace.Pace(time.monotonic())
        self._round_s = _gossip_pace.MIN_ROUND_S
        self._spreads_at = float('-inf')
        self._start_spreads = START_SPREADS

    @property
    def speaks(self):
        """Whether this host is a speaker of its data centre."""
        return self._membership.is_speaker(time.monotonic())

    def configure(self, centres):
        """Set the configured entry hosts by data centre."""
        self._membership.configure(centres)
        self._publish()

    def leave(self):
        """Begin to announce a planned stop to the other hosts."""
        self._membership.leave()
        self._publish()

    def set_cut_off(self, cut_off):
        """Tell the other hosts whether this one reaches no server."""
        self._membership.set_cut_off(cut_off, time.monotonic())
        self._publish()
        self.spread()

    def note_unreachable(self, host):
        """Note that a host could not be reached."""
        self._membership.note_unreachable(host, time.monotonic())
        self._publish()

    def loads_of(self, service):
        """Return the loads of a service that other hosts reported."""
        return self._membership.loads_of(service, time.monotonic())

    def receive(self, data):
        """Apply a peer's encoded message; return the encoded reply."""
        message = json_text.decode(data, _gossip_messages.Message)
        self._apply(message, message.sender)
        self._count(data, message)
        return self._encode(
            message.sender, message.data_centre, answered=message
        )

    def _count(self, data, message):
        size = len(data) + HEAD_BYTES
        record_bytes = (
            len(message.limits) * _gossip_pace.LIMIT_BYTES
            + len(message.crashes) * _gossip_pace.CRASH_BYTES
            + sum(bool(r.loads) for r in (*message.hosts, *message.centres))
            * _gossip_pace.LOAD_BYTES
        )
        self._pace.count(size, record_bytes, time.monotonic())
        self._node.metrics.gossip_bytes.inc(size)

    def _encode(self, partner, to_centre, answered=None, urgent=False):
        now = time.monotonic()
        if urgent:
            limits, crashes, loads = _gossip_pace.MAX_RECORDS
        else:
            spare = not self._membership.is_burdened(partner, now)
            limits, crashes, loads = self._pace.records(now, spare)
        message = self._membership.message(
            to_centre,
            self._node.board.number,
            self._node.board.platform_now(),
            now,
            self._node.table_revisions(),
            self._node.limits_to_send(limits),
            self._node.crashes.to_send(crashes),
            partner,
            answered,
            loads,
        )
        data = msgspec.json.encode(message)
        self._count(data, message)
        return data

    def _apply(self, message, source, asked_at=None):
        self._membership.receive(message, time.monotonic(), asked_at)
        # Before this host has a configuration, it has no address of the
        # message's sender, only that of the seed from which the message came.
        self._node.receive_version(message.version, source)
        self._node.receive_revisions(message.revisions, source)
        self._node.receive_platform_time(message.platform_s)
        self._node.receive_limits(message.limits, source)
        self._node.crashes.receive(message.crashes, source)
        self._publish()

    def _publish(self):
        board = self._node.board
        view = self._membership.view(time.monotonic())
        old = board.view
        if view == old:
            return
        board.publish(view=view)
        self._log_changes(old, view)
        for name in view.cut_off - (old.cut_off if old else frozenset()):
            self._node.receive_cut_off(name)

    def _log_changes(self, old, view):
        before = _members(old) if old else set()
        after = _members(view)
        for name in sorted(before - after):
            self._log_change(
                name, 'leaving' if name in view.leaving else 'absent'
            )
        for name in sorted(after - before):
            self._log_change(name, 'live')
        cut_off = old.cut_off if old else frozenset()
        for name in sorted(view.cut_off - cut_off):
            self._log_change(name, 'without servers')
        for name in sorted(cut_off - view.cut_off):
            self._log_change(name, 'with servers')

    def _log_change(self, name, state):
        events.MEMBER_CHANGED.log(
            member=name,
            state=state,
            why='gossip',
            age_s=self._membership.sign_age_s(name, time.monotonic()),
            round_s=round(self._round_s, 3),
        )

    async def run(self):
        """Exchange messages until cancelled."""
        while True:
            await self.tick()
            if self._start_spreads and self._node.connections.peers:
                self._start_spreads -= 1
                self.spread()
            self._round_s = self._pace.next_pause_s()
            self._node.metrics.gossip_round.set(self._round_s)
            rest_s = self._round_s
            while rest_s > 0:
                await asyncio.sleep(min(rest_s, VIEW_INTERVAL_S))
                rest_s -= VIEW_INTERVAL_S
                self._publish()

    async def tick(self):
        """Start one round of exchanges."""
        membership = self._membership
        membership.loads = self._node.own_loads()
        targets = membership.tick(time.monotonic(), self._pace.strained)
        if self._node.board.version is None:
            targets = tuple(self._node.connections.seeds)
        for name in targets:
            self._node.tasks.start(self._exchange(name))
        self._publish()

    async def announce(self):
        """Exchange messages with every reachable host once."""
        await asyncio.gather(
            *(
                self._exchange(name)
                for name in list(self._node.connections.peers)
            )
        )

    def spread(self):
        """Exchange messages with some hosts soon, ahead of the next round."""
        now = time.monotonic()
        if self._spreads_at > now:
            return
        wait_s = max(0.0, self._spreads_at + SPREAD_INTERVAL_S - now)
        self._spreads_at = now + wait_s
        self._node.tasks.start(self._spread_after(wait_s))

    async def _spread_after(self, wait_s):
        await asyncio.sleep(wait_s)
        names = list(self._node.connections.peers)
        for name in random.sample(names, min(SPREAD_FANOUT, len(names))):
            self._node.tasks.start(self._exchange(name, urgent=True))

    async def _exchange(self, name, urgent=False):
        peer = self._node.connections.peer(name)
        if peer is None:
            return
        started_at = time.monotonic()
        data = self._encode(name, self._node.centre_of(name), urgent=urgent)
        self.exchanges += 1
        self.bytes_sent += len(data)
        try:
            status, body = await peer.call_json(
                'POST',
                '/peer/v1/gossip',
                data,
                timeout_s=EXCHANGE_TIMEOUT_S,
            )
            if status == 200:
                found = json_text.decode(body, _gossip_messages.Message)
                self._count(body, found)
                self._apply(found, name, started_at)
        except (connection.ConnectFailedError, connection.LostError) as exc:
            # One failed exchange does not make a host suspect, only a second
            # one together with the age of its last sign.
            self._membership.note_unanswered(name, started_at)
            events.GOSSIP_FAILED.log(member=name, why=repr(exc))
        except msgspec.MsgspecError as exc:
            events.GOSSIP_FAILED.log(member=name, why=repr(exc))


def _members(view):
    return {name for names in view.alive.values() for name in names}

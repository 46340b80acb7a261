"""The task that exchanges membership messages with other entry hosts."""

import asyncio
import random
import time

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import json_text
from ebonypick.process import _gossip_messages
from ebonypick.process import _membership

EXCHANGE_TIMEOUT_S = 0.8
# Budget of the exchanges for bytes sent and received, including HTTP headers.
BYTES_PER_S = 4_500
HEAD_BYTES = 220
SMOOTHING = 0.2
# Number of hosts to which urgent news are sent at once; the next rounds carry
# them to the others.
SPREAD_FANOUT = 16


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
        self._round_bytes = 0
        self._round_s = _membership.TICK_S

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
        reply = self._encode(message.data_centre)
        self._count(data, reply)
        return reply

    def _count(self, *parts):
        size = sum(len(part) + HEAD_BYTES for part in parts)
        self._round_bytes += size
        self._node.metrics.gossip_bytes.inc(size)

    def _encode(self, to_centre):
        message = self._membership.message(
            to_centre,
            self._node.board.number,
            self._node.board.platform_now(),
            time.monotonic(),
            self._node.table_revisions(),
            self._node.limits_to_send(),
            self._node.crashes.to_send(),
        )
        return msgspec.json.encode(message)

    def _apply(self, message, source):
        self._membership.receive(message, time.monotonic())
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
        age_s, limit_s = self._membership.record_age(name, time.monotonic())
        events.MEMBER_CHANGED.log(
            member=name,
            state=state,
            why='gossip',
            age_s=age_s,
            limit_s=limit_s,
            round_s=round(self._round_s, 3),
        )

    async def run(self):
        """Exchange messages until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self):
        """Return the pause after a round that keeps the byte budget."""
        wanted_s = max(_membership.TICK_S, self._round_bytes / BYTES_PER_S)
        self._round_bytes = 0
        factor = wanted_s / _membership.TICK_S
        slowness = self._membership.slowness
        slowness += SMOOTHING * (factor - slowness)
        self._membership.slowness = max(1.0, slowness)
        self._round_s = _membership.TICK_S * self._membership.slowness
        self._node.metrics.gossip_round.set(self._round_s)
        return self._round_s

    async def tick(self):
        """Start one round of exchanges."""
        membership = self._membership
        membership.loads = self._node.own_loads()
        targets = membership.tick(time.monotonic())
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
        """Exchange messages with some hosts now, ahead of the next round."""
        names = list(self._node.connections.peers)
        for name in random.sample(names, min(SPREAD_FANOUT, len(names))):
            self._node.tasks.start(self._exchange(name))

    async def _exchange(self, name):
        peer = self._node.connections.peer(name)
        if peer is None:
            return
        data = self._encode(self._node.centre_of(name))
        self.exchanges += 1
        self.bytes_sent += len(data)
        try:
            status, body = await peer.call_json(
                'POST',
                '/peer/v1/gossip',
                data,
                timeout_s=EXCHANGE_TIMEOUT_S,
            )
            self._count(data, body)
            if status == 200:
                found = json_text.decode(body, _gossip_messages.Message)
                self._apply(found, name)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
        ) as exc:
            # One failed exchange does not make a host suspect. Only the age
            # of its records does.
            events.GOSSIP_FAILED.log(member=name, why=repr(exc))


def _members(view):
    return {name for names in view.alive.values() for name in names}

"""Broadcasts changed rows to the steering hosts of a region over trees.

Load: a reader of the store has hundreds of hosts in its region. Sending the
changes to each of them directly would take most of its processor time, and
polling by the hosts would be slower.

Each reader is the root of a tree over the hosts that it considers alive. It
sends a change to a few of them, and each message names the hosts to which its
receiver forwards it, so only the root's view of the membership matters. Two
readers form two trees. Where a host cannot be reached, the next host of its
subtree takes its place. A host that still misses a change sees the newer
revision in a gossip message and fetches the change.
"""

import asyncio
import functools

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import json_text
from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick import request

# The time-out is short, since a host that misses a broadcast fetches the
# change once gossip carries the newer revision.
BROADCAST_TIMEOUT_S = 1.0
# Each of the two tries may take longer by the time of the message on a narrow
# link that requests of callers share.
BYTES_PER_S = 400_000
# Number of hosts to which one host sends a message: the tree has three levels
# for the 267 hosts of a region at the size of docs/CAPACITY.md, and one level
# for up to nine hosts.
FANOUT = 8


class Told(msgspec.Struct, frozen=True, array_like=True):
    """A broadcast of changed rows.

    Parameters
    ==========
    root : str
        The reader that started the broadcast.
    rows : PeerRows
        The changes.
    names : tuple of str
        The hosts to which the receiver forwards the message.
    """

    root: str
    rows: _row_messages.PeerRows
    names: tuple[str, ...] = ()

    @property
    def subject(self):
        """The table, for the log."""
        return self.rows.table


class ToldLeaving(msgspec.Struct, frozen=True, array_like=True):
    """A broadcast of a backend server's announced shutdown.

    Parameters
    ==========
    root : str
        The host that received the announcement from the server.
    instance : str
        The server.
    started_ms : int
        Time of the server's latest start that may have announced it, in
        milliseconds since the epoch.
    names : tuple of str
        The hosts to which the receiver forwards the message.
    """

    root: str
    instance: str
    started_ms: json_text.Whole
    names: tuple[str, ...] = ()

    @property
    def subject(self):
        """The path of the server, for the log."""
        return f'leaving/{self.instance}'


_PATHS = {Told: '/peer/v1/rows', ToldLeaving: '/peer/v1/leaving'}


def subtrees(names):
    """Split hosts into the subtrees to which one host sends a message.

    Examples
    ========
    >>> subtrees(('a', 'b'))
    (('a',), ('b',))
    >>> found = subtrees(tuple(range(20)))
    >>> len(found), found[0], found[7]
    (8, (0, 8, 16), (7, 15))

    Parameters
    ==========
    names : tuple of str
        The descendants, nearest to the root first.

    Returns
    =======
    tuple of tuple of str
        The hosts of each subtree. Its first host receives the message and
        forwards it to the others.
    """
    return tuple(names[n::FANOUT] for n in range(min(FANOUT, len(names))))


def _encode(message, names, deflates):
    """Return the headers and the body of a message.

    Parameters
    ==========
    message : Told or ToldLeaving
        The message.
    names : tuple of str
        The hosts to which the receiver forwards it.
    deflates : bool
        Whether the receiver accepts compressed messages.
    """
    data = msgspec.json.encode(msgspec.structs.replace(message, names=names))
    if not deflates or len(data) < connection.coding.MIN_BYTES:
        return (), data
    headers = (('content-encoding', connection.coding.CODING),)
    return headers, connection.coding.compress(data)


class Broadcaster:
    """Broadcasts changes to other hosts and forwards received broadcasts.

    Parameters
    ==========
    node : SteeringHost
        The process.
    followers : dict of str to TableFollower
        The followers by table.
    """

    def __init__(self, node, followers):
        self._node = node
        self._followers = followers
        # The revision up to which rows were broadcast, by table.
        self._broadcast_revisions = {}
        # The newest revision that was forwarded, by root and table.
        self._forwarded = {}

    async def broadcast(self, table):
        """Broadcast a table's changes since the last broadcast."""
        follower = self._followers[table]
        host = self._node.settings.host
        after = self._broadcast_revisions.get(table, platform.NO_REVISION)
        if follower.revision <= after:
            return
        self._broadcast_revisions[table] = follower.revision
        await self._forward(
            Told(host, follower.rows_since(after), self._descendants())
        )

    def skip_to(self, table, revision):
        """Leave out changes up to a revision, which others have broadcast."""
        known = self._broadcast_revisions.get(table, platform.NO_REVISION)
        self._broadcast_revisions[table] = max(known, revision)

    async def broadcast_leaving(self, instance, started_ms):
        """Broadcast that a server announced its shutdown."""
        host = self._node.settings.host
        await self._forward(
            ToldLeaving(host, instance, started_ms, self._descendants())
        )

    def _descendants(self):
        """Return the other hosts of the region in this root's order.

        Each root has its own order, so a failed host cuts off different
        hosts in each tree.
        """
        host = self._node.settings.host
        others = [n for n in self._node.roster.of_region() if n != host]
        return request.rendezvous(host, others, len(others))

    async def _forward(self, message):
        # Most subtrees have the same hosts below their first one: none.
        @functools.cache
        def encode(names, deflates):
            return _encode(message, names, deflates)

        await asyncio.gather(
            *(
                self._send_to_subtree(message, part, encode)
                for part in subtrees(message.names)
            )
        )

    async def _send_to_subtree(self, message, names, encode):
        """Send a message to the first reachable host of a subtree."""
        while names:
            first, names = names[0], names[1:]
            row = self._node.connections.rows.get(first)
            deflates = row is not None and row.deflates
            if await self._send_to(first, message, *encode(names, deflates)):
                return

    async def _send_to(self, name, message, headers, data):
        pool = self._node.connections.peer(name)
        if pool is None:
            return False
        self._node.metrics.row_bytes.inc(len(data))
        try:
            status, _ = await pool.call_json(
                'POST',
                _PATHS[type(message)],
                data,
                timeout_s=BROADCAST_TIMEOUT_S + 2 * len(data) / BYTES_PER_S,
                headers=headers,
            )
        except (connection.ConnectFailedError, connection.LostError) as exc:
            events.PEER_FAILED.log(
                table=message.subject,
                peer=name,
                why=repr(exc),
                bytes=len(data),
            )
            return False
        return status == 204

    def receive(self, data, address):
        """Apply a broadcast of rows and forward it once.

        Parameters
        ==========
        data : bytes
            The encoded message.
        address : str
            IP address of the sender.

        Raises
        ======
        msgspec.MsgspecError
            If the message cannot be decoded.
        """
        message = json_text.decode(data, Told)
        follower = self._followers.get(message.rows.table)
        if follower is None:
            return
        place = (message.root, message.rows.table)
        forwarded = self._forwarded.get(place, platform.NO_REVISION)
        if message.rows.revision >= forwarded:
            self._forwarded[place] = message.rows.revision
            self._node.tasks.start(self._forward(message))
        if not follower.apply_peer_rows(message.rows):
            self._fetch_from_sender(follower, address)

    def receive_leaving(self, data):
        """Apply a broadcast of a server's announced shutdown and forward it.

        Parameters
        ==========
        data : bytes
            The encoded message.

        Raises
        ======
        msgspec.MsgspecError
            If the message cannot be decoded.
        """
        message = json_text.decode(data, ToldLeaving)
        self._node.store_view.receive_leaving(
            message.instance, message.started_ms, message.root
        )
        self._node.tasks.start(self._forward(message))

    def _fetch_from_sender(self, follower, address):
        """Fetch the changes before a received one from its sender."""
        for name, row in self._node.connections.rows.items():
            pool = self._node.connections.peer(name)
            if pool is not None and row.peers.partition(':')[0] == address:
                self._node.tasks.start(follower.fetch_from_peer(pool))

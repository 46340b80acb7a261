"""Spreads changed rows among the steering hosts of a region.

Load: a reader of the store that has hundreds of hosts in its region. Telling
each by itself would take most of its processor; asking it would be later.

Each reader is the root of a tree over the hosts that it sees living. It tells
a few, and each message names the hosts to which that one passes it on, so
views that differ matter only at the root. Two readers give two trees. Where a
host cannot be told, the next of its part takes its place; what still misses a
change hears of its revision with the next messages and asks.
"""

import asyncio

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick import request

# A change is told again with the next messages; no need to wait for long.
TELL_TIMEOUT_S = 1.0
# Hosts that one host tells: three levels for the 267 hosts of a region at the
# size of docs/CAPACITY.md, and one level up to nine hosts.
FANOUT = 8


class Told(msgspec.Struct, frozen=True, array_like=True):
    """Changed rows on their way through a tree.

    Parameters
    ==========
    root : str
        The reader that began to tell them.
    rows : PeerRows
        What changed.
    names : tuple of str
        The hosts to which whoever gets this passes it on.
    """

    root: str
    rows: _row_messages.PeerRows
    names: tuple[str, ...] = ()

    @property
    def subject(self):
        """What it is about, for the log."""
        return self.rows.table


class ToldLeaving(msgspec.Struct, frozen=True, array_like=True):
    """A server's word that it leaves, on its way through a tree.

    Parameters
    ==========
    root : str
        The host that the server told.
    instance : str
        The server.
    started_ms : int
        Its start, in milliseconds since the epoch.
    names : tuple of str
        The hosts to which whoever gets this passes it on.
    """

    root: str
    instance: str
    started_ms: int
    names: tuple[str, ...] = ()

    @property
    def subject(self):
        """What it is about, for the log."""
        return f'leaving/{self.instance}'


_PATHS = {Told: '/peer/v1/rows', ToldLeaving: '/peer/v1/leaving'}


def parts(names):
    """Return the parts of a tree that one host tells, first hosts first.

    Examples
    ========
    >>> parts(('a', 'b'))
    (('a',), ('b',))
    >>> found = parts(tuple(range(20)))
    >>> len(found), found[0], found[7]
    (8, (0, 8, 16), (7, 15))

    Parameters
    ==========
    names : tuple of str
        The hosts below, nearest to the root first.

    Returns
    =======
    tuple of tuple of str
        Each part's first host is told, and tells the rest.
    """
    return tuple(names[n::FANOUT] for n in range(min(FANOUT, len(names))))


class Teller:
    """Tells other hosts of changed rows, and passes on what it hears.

    Parameters
    ==========
    node : SteeringHost
        The process.
    followers : dict of str to TableFollower
        The tables.
    """

    def __init__(self, node, followers):
        self._node = node
        self._followers = followers
        # Revision up to which rows were told, by table.
        self._told = {}
        # The newest revision that was passed on, by root and table.
        self._passed_on = {}

    async def tell(self, table):
        """Begin to tell what changed in a table; for readers."""
        follower = self._followers[table]
        host = self._node.settings.host
        after = self._told.get(table, platform.NOTHING_KNOWN)
        if follower.revision <= after:
            return
        self._told[table] = follower.revision
        await self._spread(Told(host, follower.told(after), self._below()))

    async def tell_leaving(self, instance, started_ms):
        """Begin to tell that a server says that it leaves."""
        host = self._node.settings.host
        await self._spread(
            ToldLeaving(host, instance, started_ms, self._below())
        )

    def _below(self):
        """Return the other hosts of the region, in this root's order.

        Roots have different orders: who is lost in one tree cuts off others
        than in the other.
        """
        host = self._node.settings.host
        others = [n for n in self._node.roster.of_region() if n != host]
        return request.rendezvous(host, others, len(others))

    async def _spread(self, told):
        await asyncio.gather(
            *(self._tell_part(told, part) for part in parts(told.names))
        )

    async def _tell_part(self, told, names):
        """Tell the first host of a part that can be told."""
        while names:
            first, names = names[0], names[1:]
            rest = msgspec.structs.replace(told, names=names)
            if await self._tell_one(first, rest):
                return

    async def _tell_one(self, name, told):
        pool = self._node.ends.peer(name)
        if pool is None:
            return False
        try:
            status, _ = await pool.call_json(
                'POST',
                _PATHS[type(told)],
                msgspec.json.encode(told),
                timeout_s=TELL_TIMEOUT_S,
            )
        except (connection.ConnectFailedError, connection.LostError) as exc:
            events.PEER_FAILED.log(
                table=told.subject,
                peer=name,
                why=repr(exc),
            )
            return False
        return status == 204

    def hear(self, data, address):
        """Take in what another host tells, and pass it on once.

        Parameters
        ==========
        data : bytes
            Its message.
        address : str
            IP number of the sender.

        Raises
        ======
        msgspec.MsgspecError
            If the message cannot be read.
        """
        told = msgspec.json.decode(data, type=Told)
        follower = self._followers.get(told.rows.table)
        if follower is None:
            return
        place = (told.root, told.rows.table)
        passed_on = self._passed_on.get(place, platform.NOTHING_KNOWN)
        if told.rows.revision >= passed_on:
            self._passed_on[place] = told.rows.revision
            self._node.tasks.start(self._spread(told))
        if not follower.take_told(told.rows):
            self._ask_sender(follower, address)

    def hear_leaving(self, data):
        """Take in that a server leaves, and pass it on.

        Parameters
        ==========
        data : bytes
            Another host's message.

        Raises
        ======
        msgspec.MsgspecError
            If the message cannot be read.
        """
        told = msgspec.json.decode(data, type=ToldLeaving)
        self._node.store_view.hear_leaving(
            told.instance, told.started_ms, told.root
        )
        self._node.tasks.start(self._spread(told))

    def _ask_sender(self, follower, address):
        """Ask who told: changes before those are missing here."""
        for name, row in self._node.ends.rows.items():
            pool = self._node.ends.peer(name)
            if pool is not None and row.peers.partition(':')[0] == address:
                self._node.tasks.start(follower.ask_peer(pool))

"""Has other hosts read the store where it turns away a region's readers.

The readers follow from the membership, which does not tell whom the store
serves. A reader that gets no answers asks other hosts of its region, one after
the other, to read a table in its place. The host that is asked calls the store
once. If it is served, it reads the table for a while, and broadcasts changes
like a reader; the reader repeats its request as long as it gets no answers.
"""

import asyncio
import collections
import time
import typing

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import json_text
from ebonypick.process import _substitute_search

PATH = '/peer/v1/store-reads'
# A request lets a host read a table for so long. The reader that asks repeats
# it each second, and may first wait for hosts that have ceased to be served.
LEASE_S = 4.0
# Interval of the checks whether this host needs a substitute.
CHECK_S = 0.25
# The host that is asked waits at most FEED_MARGIN_S for the store, or reads
# the whole table. The time-out covers two tries.
ASK_TIMEOUT_S = 2.4
# A host that is asked retains lapsed rows as after an outage of this length at
# most.
MAX_UNANSWERED_S = 3_600.0


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to read a table in place of the sender.

    Parameters
    ==========
    table : str
        The name of the table.
    unanswered_s : float
        Seconds for which the store has not answered the sender.
    """

    table: str
    unanswered_s: typing.Annotated[
        float, msgspec.Meta(ge=0.0, le=MAX_UNANSWERED_S)
    ]


class Substitutes:
    """Asks other hosts to read tables, and reads them for others.

    Parameters
    ==========
    node : SteeringHost
        The process.
    followers : dict of str to TableFollower
        The followers by table.
    broadcaster : Broadcaster
        Broadcasts changes to the hosts of the region.
    """

    def __init__(self, node, followers, broadcaster):
        self._node = node
        self._followers = followers
        self._broadcaster = broadcaster
        # Until when this host reads a table for others, by table.
        self._until = {}
        self._locks = collections.defaultdict(asyncio.Lock)

    def reads(self, table):
        """Return whether this host reads a table in place of another."""
        return time.monotonic() < self._until.get(table, 0.0)

    # For a reader that gets no answers.

    async def run(self, table):
        """Have another host read a table while needed, until cancelled."""
        search = None
        while True:
            await asyncio.sleep(CHECK_S)
            if not self._needs_substitute(table):
                search = None
                continue
            search = search or _substitute_search.SubstituteSearch()
            candidates = self._node.roster.reader_candidates()
            for name in search.begin_round(candidates, time.monotonic()):
                served = await self._ask(name, table)
                search.record(name, served)
                if served:
                    break

    def _needs_substitute(self, table):
        host = self._node.settings.host
        return (
            self._followers[table].needs_substitute
            and host in self._node.roster.readers()
        )

    async def _ask(self, name, table):
        """Ask a host to read a table; return whether it does."""
        pool = self._node.connections.peer(name)
        if pool is None:
            return False
        unanswered_s = self._followers[table].unanswered_s
        req = ReadRequest(table, min(unanswered_s, MAX_UNANSWERED_S))
        try:
            status, _ = await pool.call_json(
                'POST',
                PATH,
                msgspec.json.encode(req),
                timeout_s=ASK_TIMEOUT_S,
            )
        except (connection.ConnectFailedError, connection.LostError) as exc:
            events.PEER_FAILED.log(
                table=table, peer=name, why=repr(exc), bytes=None
            )
            return False
        # A host of an earlier release answers 404.
        events.SUBSTITUTE_ASKED.log(
            table=table, peer=name, status=status, unanswered_s=unanswered_s
        )
        return status == 204

    # For the host that is asked.

    async def read_for(self, data, client):
        """Read a table in place of another host, if the store answers.

        Parameters
        ==========
        data : bytes
            The encoded request.
        client : str
            IP address of the host that asks.

        Returns
        =======
        bool
            Whether this host reads the table.

        Raises
        ======
        msgspec.MsgspecError
            If the request cannot be decoded.
        """
        req = json_text.decode(data, ReadRequest)
        follower = self._followers.get(req.table)
        if follower is None:
            return False
        if self._node.roster.reads_store():
            return not follower.unavailable
        # Two readers may ask at the same time.
        async with self._locks[req.table]:
            if self.reads(req.table):
                served = not follower.unavailable
            else:
                served = await self._begin(follower, req, client)
            self._until[req.table] = (
                time.monotonic() + LEASE_S if served else 0.0
            )
        return served

    async def _begin(self, follower, req, client):
        """Call the store for a table; return whether it answered."""
        self._broadcaster.skip_to(req.table, follower.revision)
        served = await follower.probe(req.unanswered_s)
        events.SUBSTITUTE_READS.log(
            table=req.table,
            peer=client,
            served=served,
            revision=follower.revision,
        )
        if served:
            self._node.tasks.start(self._broadcaster.broadcast(req.table))
        return served

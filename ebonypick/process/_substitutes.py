"""Has other hosts read the store where it turns away a region's readers.

The readers follow from the membership, which does not tell whom the store
serves. A reader that gets no answers asks other hosts of its region, one after
the other, to read the store in its place. The host that is asked calls the
store once. If it is served, it reads the store for a while, and broadcasts
changes like a reader; the reader repeats its request while it gets no answers.
"""

import asyncio
import time
import typing

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick import json_text
from ebonypick import platform
from ebonypick.process import _substitute_search

PATH = '/peer/v1/store-reads'
# The table that shows whether the store serves a host.
PROBED_TABLE = platform.OPERATOR_TABLE
# A request lets a host read the store for so long. The reader that asks
# repeats it each second.
LEASE_S = 4.0
# Interval of the checks whether this host still needs a substitute.
CHECK_S = 0.25
# The host that is asked waits at most FEED_MARGIN_S for the store, or reads
# the whole table. The time-out covers two tries.
ASK_TIMEOUT_S = 2.4
# A host that is asked retains lapsed rows as after an outage of this length at
# most.
MAX_UNANSWERED_S = 3_600.0


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to read the store in place of the sender.

    Parameters
    ==========
    unanswered_s : float
        Seconds for which the store has not answered the sender.
    """

    unanswered_s: typing.Annotated[
        float, msgspec.Meta(ge=0.0, le=MAX_UNANSWERED_S)
    ]


class Substitutes:
    """Asks other hosts to read the store, and reads it for others.

    Parameters
    ==========
    node : SteeringHost
        The process.
    contact : StoreContact
        The failures of this host's own calls.
    followers : dict of str to TableFollower
        The followers by table.
    broadcaster : Broadcaster
        Broadcasts changes to the hosts of the region.
    """

    def __init__(self, node, contact, followers, broadcaster):
        self._node = node
        self._contact = contact
        self._followers = followers
        self._broadcaster = broadcaster
        self._until = 0.0
        self._lock = asyncio.Lock()

    @property
    def active(self):
        """Whether this host reads the store in place of another."""
        return time.monotonic() < self._until

    # For a reader that gets no answers.

    async def run(self):
        """Have another host read the store while needed, until cancelled."""
        search = None
        while True:
            if not self._needs_substitute():
                search = None
                await self._contact.failed.wait()
                self._contact.failed.clear()
                continue
            search = search or _substitute_search.SubstituteSearch()
            candidates = self._node.roster.reader_candidates()
            for name in search.begin_round(candidates, time.monotonic()):
                served = await self._ask(name)
                search.record(name, served)
                if served:
                    break
            await asyncio.sleep(CHECK_S)

    def _needs_substitute(self):
        host = self._node.settings.host
        return (
            self._contact.needs_substitute
            and host in self._node.roster.readers()
        )

    async def _ask(self, name):
        """Ask a host to read the store; return whether it does."""
        pool = self._node.connections.peer(name)
        if pool is None:
            return False
        unanswered_s = self._contact.unanswered_s
        req = ReadRequest(min(unanswered_s, MAX_UNANSWERED_S))
        try:
            status, _ = await pool.call_json(
                'POST',
                PATH,
                msgspec.json.encode(req),
                timeout_s=ASK_TIMEOUT_S,
            )
        except (connection.ConnectFailedError, connection.LostError) as exc:
            events.PEER_FAILED.log(
                table=None, peer=name, why=repr(exc), bytes=None
            )
            return False
        # A host of an earlier release answers 404.
        events.SUBSTITUTE_ASKED.log(
            peer=name, status=status, unanswered_s=round(unanswered_s, 2)
        )
        return status == 204

    # For the host that is asked.

    async def read_for(self, data, client):
        """Read the store in place of another host, if it answers.

        Parameters
        ==========
        data : bytes
            The encoded request.
        client : str
            IP address of the host that asks.

        Returns
        =======
        bool
            Whether this host reads the store.

        Raises
        ======
        msgspec.MsgspecError
            If the request cannot be decoded.
        """
        req = json_text.decode(data, ReadRequest)
        probed = self._followers[PROBED_TABLE]
        if self._node.roster.reads_store():
            return not probed.unavailable
        # Two readers may ask at the same time.
        async with self._lock:
            if self.active:
                served = not probed.unavailable
            else:
                served = await self._begin(probed, req, client)
            self._until = time.monotonic() + LEASE_S if served else 0.0
        return served

    async def _begin(self, probed, req, client):
        """Call the store once; return whether it answered."""
        for table, follower in self._followers.items():
            self._broadcaster.skip_to(table, follower.revision)
        served = await probed.probe()
        events.SUBSTITUTE_READS.log(
            peer=client, served=served, revision=probed.revision
        )
        if served:
            # The store may have been away for all hosts.
            for follower in self._followers.values():
                if follower is not probed:
                    follower.assume_unavailable(req.unanswered_s)
            self._node.tasks.start(self._broadcaster.broadcast(PROBED_TABLE))
        return served

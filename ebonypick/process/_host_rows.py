"""Keeps the store's list of steering hosts: its own row, and gone ones."""

import asyncio
import random
import time

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _gone_hosts
from ebonypick import request

REGISTER_RETRY_S = 1.0
REGISTER_RETRY_MOST_S = 8.0
# How often a host looks for rows to remove, and whether its own is there: a
# small part of the time after which a row is removed.
CHECK_INTERVAL_S = 60.0
# Hosts that register again after the store came back from an older copy do so
# at this rate together, a quarter of the writes that the smallest of today's
# stores takes, and within a second where they are few.
REWRITES_PER_S = 100.0
REWRITE_SPREAD_LEAST_S = 1.0
# How long other hosts' rows are kept that such a copy lacks: each of them is
# written again by its owner, two looks at its row and the spread of 6,400
# hosts after it can reach the store.
KEPT_S = 2 * CHECK_INTERVAL_S + 6_400 / REWRITES_PER_S


class HostRows:
    """Writes this host's row, and removes those of hosts that are gone.

    Parameters
    ==========
    node : SteeringHost
        The process.
    follower : TableFollower
        Of the table of hosts.
    """

    def __init__(self, node, follower):
        self._node = node
        self._follower = follower
        self._absences = _gone_hosts.Absences()
        # The era of the store in which this host registered.
        self._era = None
        self._rewriting = False

    async def run(self):
        """Register, then look after the rows until cancelled."""
        await self._register()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check(time.monotonic())

    async def check(self, now):
        """Register again if the row is gone; remove rows of gone hosts.

        Parameters
        ==========
        now : float
            Monotonic time in seconds.
        """
        listed = set(self._follower.rows)
        live = {
            n for names in self._node.roster.live().values() for n in names
        }
        self._absences = self._absences.after(listed, live, now)
        if self._follower.lost:
            return
        if self._node.settings.host not in listed:
            await self._register()
        else:
            self.look_after_own()
        # One host removes them; which one follows from who lives.
        remover = request.rendezvous(platform.HOST_TABLE, live)
        if remover == (self._node.settings.host,):
            for name in self._absences.gone(now):
                await self._remove(name)

    def look_after_own(self):
        """Register again where the store has lost this host's row."""
        if self._own_lost() and not self._rewriting:
            self._rewriting = True
            self._node.tasks.start(self._rewrite())

    def _own_lost(self):
        if self._era is None:
            return False
        host = self._node.settings.host
        found = self._follower.found_revision(host) is not None
        restored = self._follower.revision.era > self._era
        return self._follower.keeps(host) or (restored and not found)

    async def _rewrite(self):
        """Register again, not together with all other hosts."""
        hosts = len(self._follower.rows)
        spread_s = max(REWRITE_SPREAD_LEAST_S, hosts / REWRITES_PER_S)
        await asyncio.sleep(random.uniform(0.0, spread_s))
        if self._own_lost():
            await self._register()
            # The new row is on its way here.
            await asyncio.sleep(REWRITE_SPREAD_LEAST_S)
        self._rewriting = False

    async def _remove(self, name):
        key = f'{platform.HOST_TABLE}/{name}'
        revision = self._follower.found_revision(name)
        if revision is None or revision.era != self._node.store.era:
            # Another change may have got this number since.
            return
        # A host that has registered meanwhile keeps its row.
        transaction = connection.Transaction(
            (connection.Condition(key, revision.number),),
            (connection.Put(key, None),),
        )
        try:
            removed = await self._node.store.write(transaction)
        except errors.PlatformError as exc:
            events.PLATFORM_FAILED.log(why=str(exc))
            return
        events.HOST_REMOVED.log(
            member=name, revision=revision, removed=removed
        )

    async def _register(self):
        settings = self._node.settings
        row = {
            'callers': settings.callers,
            'peers': f'{settings.address}:{settings.peer_ports[0]}',
            'data_centre': settings.data_centre,
            'started_ms': self._node.started_ms,
            'capacity': settings.capacity,
        }
        key = f'{platform.HOST_TABLE}/{settings.host}'
        transaction = connection.Transaction((), (connection.Put(key, row),))
        pause_s = REGISTER_RETRY_S
        while True:
            try:
                era = self._node.store.era
                await self._node.store.write(transaction)
                self._era = era
                return
            except errors.PlatformError as exc:
                events.PLATFORM_FAILED.log(why=str(exc))
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(REGISTER_RETRY_MOST_S, 2 * pause_s)

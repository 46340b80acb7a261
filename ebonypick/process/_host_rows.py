"""Maintains the store's list of steering hosts.

A host registers its own row and removes the rows of departed hosts.
"""

import asyncio
import random
import time

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _host_absences
from ebonypick import request

REGISTER_RETRY_S = 1.0
MAX_REGISTER_RETRY_S = 8.0
# Interval of the checks for rows to remove and for the host's own row: a
# small part of the time after which a row is removed.
CHECK_INTERVAL_S = 60.0
# After a restore of the store from an older copy, the hosts register again at
# this rate together: a quarter of the write rate of the smallest store in use.
# Where the hosts are few, they spread their writes over one second.
REWRITES_PER_S = 100.0
MIN_REWRITE_SPREAD_S = 1.0
# Retention of other hosts' rows that a restored older copy lacks. Each owner
# writes its row again within two check intervals and the spread of the writes
# of 6,400 hosts after it can reach the store.
RETENTION_S = 2 * CHECK_INTERVAL_S + 6_400 / REWRITES_PER_S


class HostRows:
    """Writes this host's row and removes the rows of departed hosts.

    Parameters
    ==========
    node : SteeringHost
        The process.
    follower : TableFollower
        The follower of the table of hosts.
    """

    def __init__(self, node, follower):
        self._node = node
        self._follower = follower
        self._absences = _host_absences.Absences()
        # The era of the store in which this host registered.
        self._era = None
        self._rewriting = False

    async def run(self):
        """Register this host, then check the rows until cancelled."""
        await self._register()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check(time.monotonic())

    async def check(self, now):
        """Register again without an own row; remove rows of departed hosts.

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
        if self._follower.unavailable:
            return
        if self._node.settings.host not in listed:
            await self._register()
        else:
            self.ensure_own_row()
        # One host removes the rows. All hosts with the same view of the
        # membership choose the same one.
        remover = request.rendezvous(platform.HOST_TABLE, live)
        if remover == (self._node.settings.host,):
            for name in self._absences.expired(now):
                await self._remove(name)

    def ensure_own_row(self):
        """Start to register again if the store has lost this host's row."""
        if self._own_row_lost() and not self._rewriting:
            self._rewriting = True
            self._node.tasks.start(self._rewrite())

    def _own_row_lost(self):
        if self._era is None:
            return False
        host = self._node.settings.host
        found = self._follower.stored_revision(host) is not None
        restored = self._follower.revision.era > self._era
        return self._follower.is_retained(host) or (restored and not found)

    async def _rewrite(self):
        """Register again after a random delay that spreads the writes."""
        hosts = len(self._follower.rows)
        spread_s = max(MIN_REWRITE_SPREAD_S, hosts / REWRITES_PER_S)
        await asyncio.sleep(random.uniform(0.0, spread_s))
        if self._own_row_lost():
            await self._register()
            # Allow for the propagation of the new row to this host.
            await asyncio.sleep(MIN_REWRITE_SPREAD_S)
        self._rewriting = False

    async def _remove(self, name):
        key = f'{platform.HOST_TABLE}/{name}'
        revision = self._follower.stored_revision(name)
        if revision is None or revision.era != self._node.store.era:
            # The row belongs to an earlier era, so its number may have been
            # assigned to another change since.
            return
        # The condition fails if the host has registered again meanwhile.
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
            'relays': settings.relays,
            'started_ms': self._node.started_ms,
            'capacity': settings.capacity,
            'deflates': True,
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
            pause_s = min(MAX_REGISTER_RETRY_S, 2 * pause_s)

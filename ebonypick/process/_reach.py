"""The task that finds out whether this host reaches any backend server."""

import asyncio
import time

from ebonypick import connection
from ebonypick import events
from ebonypick import request

# Time for a connection to a server in another region, with a margin.
PROBE_TIMEOUT_S = 0.5
# Servers in one probe; one that answers is enough.
PROBED_SERVERS = 3
# Interval at which waiting requests are checked.
CHECK_INTERVAL_S = 0.25


class ReachTask:
    """Owns the state of the links to backend servers and probes them.

    Parameters
    ==========
    node : SteeringHost
        The process.
    """

    def __init__(self, node):
        self._node = node
        self._reach = request.Reach()
        self._cut_since = None
        # Whether a server answered a request that another host passed on.
        self._others_reach = False
        self._probe = None
        metrics = node.metrics
        metrics.unreached_backends.set_function(
            lambda: self._reach.unreached_count
        )
        metrics.cut_off.set_function(lambda: int(self._reach.cut_off))

    @property
    def cut_off(self):
        """Whether this host reaches no backend server."""
        return self._reach.cut_off

    @property
    def unreached_count(self):
        """The servers not reached since a connection was last opened."""
        return self._reach.unreached_count

    # Methods that attempts call.

    def note_opened(self):
        """Record that a connection to a server was opened."""
        since = self._reach.failing_since
        if self._reach.note_opened(time.monotonic()):
            self._end(since)

    def note_failed(self, instance):
        """Record that no connection to a server could be opened."""
        self._reach.note_failed(instance, time.monotonic())
        self._probe_if_due()

    def suspect(self):
        """Probe servers, as another host of the data centre is cut off.

        A host without requests would not find out by itself, and others would
        pass their requests on to it.
        """
        self._reach.suspect()
        self._probe_if_due()

    def note_relayed_answer(self):
        """Record that a server answered a request by way of another host."""
        self._others_reach = True

    async def reaches_servers(self):
        """Return whether a connection to any server can be opened now."""
        await asyncio.shield(self._start_probe())
        return not self._reach.cut_off

    # The task.

    async def run(self):
        """Probe servers whenever it is due, until cancelled."""
        while True:
            self._probe_if_due()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _probe_if_due(self):
        now = time.monotonic()
        if self._reach.should_probe(self._node.fleet.waiting_since(), now):
            self._start_probe()

    def _start_probe(self):
        """Return the task of the current probe, or of a new one."""
        if self._probe is None or self._probe.done():
            self._reach.note_probe(time.monotonic())
            self._probe = self._node.tasks.start(self._probe_servers())
        return self._probe

    async def _probe_servers(self):
        entries = self._node.fleet.to_probe(PROBED_SERVERS)
        if not entries:
            return
        started_at = time.monotonic()
        tasks = [asyncio.create_task(self._open(entry)) for entry in entries]
        try:
            for finished in asyncio.as_completed(tasks):
                if await finished:
                    return
        finally:
            for task in tasks:
                task.cancel()
        # A host that was suspended or lacked processor time cannot tell.
        if time.monotonic() < started_at + 2 * PROBE_TIMEOUT_S:
            if self._reach.note_unreachable(time.monotonic()):
                self._begin()

    async def _open(self, entry):
        """Return whether a connection to a server could be opened."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                async with self._node.pool(entry).new_connection() as conn:
                    conn.close_after()
        except (connection.ConnectFailedError, TimeoutError):
            # The events at the start and the end of the cut are logged.
            return False
        return True

    def _begin(self):
        self._cut_since = time.monotonic()
        self._others_reach = False
        events.HOST_CUT_OFF.log(unreached=self._reach.unreached_count)
        # Open connections may be silent, and those that work end unused.
        # Requests that wait for a connection go to other hosts at once.
        self._node.close_pools()
        self._node.gossip.set_cut_off(True)

    def _end(self, since):
        """Apply the end of the cut, whose first failure was at ``since``."""
        events.HOST_RECONNECTED.log(
            cut_s=round(time.monotonic() - self._cut_since, 2),
            others_reach=self._others_reach,
        )
        if self._others_reach:
            # The failures were those of this host's links.
            self._node.fleet.forget_failures(since)
        self._node.gossip.set_cut_off(False)

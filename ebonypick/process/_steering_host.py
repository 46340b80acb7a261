"""A steering host: owns the connections, tasks and state of a process."""

import asyncio
import contextlib
import random
import time
import uuid

from ebonypick import connection
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _board
from ebonypick.process import _forward
from ebonypick.process import _gossip
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _peer_directory
from ebonypick.process import _roster
from ebonypick.process import _steering_control
from ebonypick.process import _steering_settings
from ebonypick.process import _store_view
from ebonypick.process import _tasks
from ebonypick import request
from ebonypick import spans

# In a planned stop, kept connections are closed after this time: callers
# have had time to read the last answers on them.
IDLE_CLOSE_DELAY_S = 0.5
# After the end of listening: how long a caller that has connected may take
# to send, as long as the platform's callers wait for a connection at most.
FIRST_REQUEST_GRACE_S = 1.0
# What remains of the grace time when the last requests are cut.
GRACE_MARGIN_S = 0.4
STOP_POLL_S = 0.02


class SteeringHost:
    """The process of a steering host; an async context manager.

    Parameters
    ==========
    settings : SteeringSettings
        Who and where it is.
    """

    def __init__(self, settings):
        self.settings = settings
        self.board = _board.Board()
        self.metrics = _metrics.Metrics()
        self.tasks = _tasks.TaskGroup()
        self.ends = _peer_directory.make_peer_directory(settings, self.tasks)
        self.leaving = False
        self.in_flight = 0
        self._rng = random.Random(uuid.uuid4().int)
        self.fleet = request.Fleet(
            settings.host,
            settings.data_centre,
            settings.data_centres,
            self._rng,
        )
        self.started_ms = time.time_ns() // 1_000_000
        self.gossip = _gossip.GossipTask(
            self,
            _membership.Membership(
                settings.host,
                settings.data_centre,
                self.started_ms,
                self._rng,
            ),
        )
        self.store = connection.make_platform(
            'table',
            *_steering_settings.endpoint(settings.store),
            settings.address,
        )
        self.roster = _roster.Roster(self)
        self.store_view = _store_view.StoreView(self)
        self._control = _steering_control.Control(self)
        self._service_turns = {}
        self._repeat_limits = {}
        self._pools = {}
        self._callers = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.store)
            await stack.enter_async_context(self.ends)
            await stack.enter_async_context(self.tasks)
            stack.callback(self.close_pools)
            await self._listen(stack)
            self._start_tasks()
            self._stack = stack.pop_all()
        events.PROCESS_STARTED.log(
            host=self.settings.host,
            address=self.settings.address,
            port=self.settings.callers,
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def close_pools(self, names=None):
        """Close the idle connections to servers; to all by default."""
        for name in list(self._pools) if names is None else names:
            if name in self._pools:
                self._pools.pop(name).close()

    def apply_limits(self, limits):
        """Put the limits of callers in force."""
        self._callers.set_limits(
            limits.header_bytes, limits.header_s, limits.idle_s
        )

    async def _listen(self, stack):
        address = self.settings.address
        ends = (
            (self._control.serve_lookup, self.settings.lookups),
            (self._control.serve_readiness, self.settings.readiness),
            (
                self._control.serve_peer,
                f'{address}:{self.settings.peer_ports[0]}',
            ),
            (
                self._control.serve_metrics,
                f'{address}:{self.settings.metrics_port}',
            ),
            (self._handle, self.settings.callers),
        )
        for handler, end in ends:
            server = connection.make_caller_server(
                'http', *_steering_settings.endpoint(end), handler
            )
            self._callers = await stack.enter_async_context(server)

    def _start_tasks(self):
        keep = _tasks.keep_running
        for table, follower in self.store_view.followers.items():
            self.tasks.start(keep(table, follower.run))
        self.tasks.start(keep('gossip', self.gossip.run))
        self.tasks.start(keep('hosts', self._follow_hosts))
        self.tasks.start(keep('host rows', self.store_view.host_rows.run))

    async def _follow_hosts(self):
        """Apply the list of hosts and the view of who lives."""
        while True:
            changed = asyncio.ensure_future(self.board.changed())
            if self.board.hosts is not self.ends.rows:
                await self.ends.update(self.board.hosts)
                self.gossip.configure(self.ends.centres())
            self.fleet.set_hosts(self.roster.serving())
            await changed

    # What gossip asks of the process.

    def table_revisions(self):
        """Return as of when this host knows each table."""
        return self.store_view.revisions()

    def hear_revisions(self, revisions, source):
        """Ask a host that knows a table better."""
        self.store_view.hear(revisions, source)

    def own_loads(self):
        """Return nothing: hosts of the platform own no slots."""
        return {}

    def centre_of(self, host):
        """Return the data centre of a host, or an empty name."""
        row = self.ends.rows.get(host)
        return row.data_centre if row else ''

    def hear_version(self, number, source):
        """Fetch a newer configuration from the host that has it."""
        if number > self.board.number:
            self.store_view.ask(platform.OPERATOR_TABLE, source, whole=True)

    def hear_platform_time(self, platform_s):
        """Ignore the time that other hosts know; nothing here needs it."""

    # What requests ask of the process.

    def choose_service(self, route):
        """Return the service that takes the next request of a route."""
        turns = self._service_turns.get(route.name)
        if turns is None:
            turns = self._service_turns[route.name] = request.WeightedTurns()
        return turns.take(route.shares)

    def repeat_limit(self, service):
        """Return the limit of repeats of a service."""
        limit = self._repeat_limits.get(service)
        if limit is None:
            terms = self.settings.terms
            limit = self._repeat_limits[service] = request.RepeatLimit(
                request.RepeatTerms(
                    terms.repeat_ratio,
                    spans.parse_span_s(terms.repeat_window),
                    terms.repeat_slack,
                )
            )
        return limit

    def pool(self, entry):
        """Return the connections to a backend server."""
        pool = self._pools.get(entry.instance)
        if pool is None or pool.address != entry.address:
            if pool is not None:
                pool.close()
            pool = connection.ServerPool(entry.address, self.settings.address)
            self._pools[entry.instance] = pool
        return pool

    async def _handle(self, req):
        self.in_flight += 1
        try:
            await _forward.Forward(self, req).run()
        finally:
            self.in_flight -= 1

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self.board.version is not None and not self.leaving

    # The planned stop.

    async def stop(self):
        """Serve what is under way, then return."""
        events.PROCESS_LEAVING.log(
            host=self.settings.host, in_flight=self.in_flight
        )
        grace_s = spans.parse_span_s(self.settings.terms.grace)
        end = time.monotonic() + grace_s - GRACE_MARGIN_S
        self.leaving = True
        self.gossip.leave()
        self.tasks.start(self.gossip.announce())
        await asyncio.sleep(IDLE_CLOSE_DELAY_S)
        await self._callers.stop_listening(spare_new=True)
        spare_until = time.monotonic() + FIRST_REQUEST_GRACE_S
        while self._has_callers(spare_until) and time.monotonic() < end:
            await asyncio.sleep(STOP_POLL_S)
            self._callers.close_idle(time.monotonic() < spare_until)
        events.PROCESS_STOPPED.log(
            host=self.settings.host, in_flight=self.in_flight
        )

    def _has_callers(self, spare_until):
        """Return whether the stop has to wait for callers.

        Answers that slow callers still read count, and, for a while, callers
        that have connected and are about to send.
        """
        if self.in_flight or self._callers.busy:
            return True
        spares = time.monotonic() < spare_until
        return spares and self._callers.expects_first

    def reload(self, settings, why):
        """Take in settings that were read again."""
        changed = settings != self.settings
        events.SETTINGS_RELOADED.log(
            host=self.settings.host, changed=changed, why=why
        )
        if changed:
            self.settings = settings
            self._repeat_limits = {}
            self.fleet.set_regions(settings.data_centres)


def make_steering_host(settings):
    """Return the steering host of some settings, not yet started."""
    return SteeringHost(settings)

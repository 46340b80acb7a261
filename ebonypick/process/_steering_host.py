"""The process of a steering host: its connections, tasks and state."""

import asyncio
import contextlib
import functools
import random
import time
import uuid

from ebonypick import connection
from ebonypick import endpoints
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _board
from ebonypick.process import _crash_reports
from ebonypick.process import _forward
from ebonypick.process import _gossip
from ebonypick.process import _gossip_messages
from ebonypick.process import _host_capacity
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _peer_directory
from ebonypick.process import _reach
from ebonypick.process import _relays
from ebonypick.process import _repeats
from ebonypick.process import _roster
from ebonypick.process import _steering_control
from ebonypick.process import _store_view
from ebonypick.process import _tasks
from ebonypick.process import _wall_clock
from ebonypick import request
from ebonypick import spans

# Delay in a planned stop before idle keep-alive connections are closed, so
# that callers have time to read the last answers on them.
IDLE_CLOSE_DELAY_S = 0.5
# Time that a caller which has already connected has to send its first request
# after the host stops listening. It equals the longest time that callers of
# the platform wait for a connection.
FIRST_REQUEST_GRACE_S = 1.0
# Time before the end of the grace period at which the remaining requests are
# cut off.
GRACE_MARGIN_S = 0.4
STOP_POLL_S = 0.02
# What a host adds to the head of a request that it passes on.
RELAY_HEADER_BYTES = 256
# Longer than hosts keep idle connections to each other, so that no request is
# sent while its connection is being closed.
RELAY_IDLE_S = 30.0
# What the clients of each listener may occupy. The allocator takes up to twice
# as much for buffers of changing sizes. The rest of the memory is for the
# process itself and for answers of servers, that of the descriptors for
# connections to servers, hosts and the store.
CALLERS = _host_capacity.Share(memory=0.18, connections=0.4)
RELAYED = _host_capacity.Share(memory=0.04, connections=0.125)
LOOKUPS = _host_capacity.Share(memory=0.03, connections=0.125)
PEERS = _host_capacity.Share(memory=0.04, connections=0.0625)
PROBES = _host_capacity.Share(memory=0.02, connections=0.03)
# Look-ups name no host for longer than this and ``contact`` after it is lost.
LOST_HOST_S = 3.0
# Time for the way of its last sign and until a look-up is answered.
LOST_HOST_MARGIN_S = 1.0


class SteeringHost:
    """The process of a steering host; an async context manager.

    Parameters
    ==========
    settings : SteeringSettings
        The identity, location and endpoints of the host.
    """

    def __init__(self, settings):
        self.settings = settings
        self.board = _board.Board()
        self.metrics = _metrics.Metrics()
        self.tasks = _tasks.TaskGroup()
        self.connections = _peer_directory.make_peer_directory(
            settings, self.tasks
        )
        self.leaving = False
        self.in_flight = 0
        # The planned stop, once it has begun.
        self._stop = None
        self._rng = random.Random(uuid.uuid4().int)
        self.fleet = request.Fleet(
            settings.host,
            settings.data_centre,
            settings.data_centres,
            self._rng,
        )
        self.reach = _reach.ReachTask(self)
        self.relays = _relays.Relays(self, self._rng)
        self.crashes = _crash_reports.CrashReports(self, self._rng)
        self.metrics.limited_backends.set_function(
            lambda: self.fleet.limited_count
        )
        self.wall_clock = _wall_clock.WallClock()
        self.started_ms = self.wall_clock.now_ms()
        self.gossip = _gossip.GossipTask(
            self,
            _membership.Membership(
                settings.host,
                settings.data_centre,
                self.started_ms,
                self._rng,
                life_s(spans.parse_span_s(settings.terms.contact)),
            ),
        )
        self.store = connection.make_platform(
            'table',
            *endpoints.parse_endpoint(settings.store),
            settings.address,
        )
        self.roster = _roster.Roster(self)
        self.store_view = _store_view.StoreView(self)
        self._control = _steering_control.Control(self)
        self._service_turns = {}
        self.repeats = _repeats.Repeats(self)
        self._pools = connection.ServerPools(self.reach.note_opened)
        self._callers = None
        self._relayed = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.store)
            await stack.enter_async_context(self.connections)
            await stack.enter_async_context(self.tasks)
            stack.callback(self.close_pools)
            stack.callback(self.relays.close)
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
        """Close idle connections to the named servers, or to all of them."""
        self._pools.close(names)

    def apply_limits(self, limits):
        """Apply the configured limits to the connections of callers."""
        self._callers.set_limits(
            limits.header_bytes, limits.header_s, limits.idle_s
        )
        self._relayed.set_limits(
            limits.header_bytes + RELAY_HEADER_BYTES,
            limits.header_s,
            RELAY_IDLE_S,
        )

    async def _listen(self, stack):
        address = self.settings.address
        listeners = (
            (self._control.serve_lookup, self.settings.lookups, LOOKUPS),
            (self._control.serve_readiness, self.settings.readiness, PROBES),
            (
                self._control.serve_peer,
                f'{address}:{self.settings.peer_ports[0]}',
                PEERS,
            ),
            (
                self._control.serve_metrics,
                f'{address}:{self.settings.metrics_port}',
                PROBES,
            ),
            (self._handle_relayed, self.settings.relays, RELAYED),
            (self._handle, self.settings.callers, CALLERS),
        )
        servers = [
            await stack.enter_async_context(
                connection.make_caller_server(
                    'http',
                    *endpoints.parse_endpoint(endpoint),
                    handler,
                    functools.partial(self._capacity, share),
                )
            )
            for handler, endpoint, share in listeners
        ]
        self._relayed, self._callers = servers[-2:]

    def _capacity(self, share):
        return _host_capacity.capacity(self.settings, share)

    def _start_tasks(self):
        keep = _tasks.keep_running
        for table, follower in self.store_view.followers.items():
            self.tasks.start(keep(table, follower.run))
        self.tasks.start(keep('substitutes', self.store_view.substitutes.run))
        self.tasks.start(keep('gossip', self.gossip.run))
        self.tasks.start(keep('hosts', self._follow_hosts))
        self.tasks.start(keep('reach', self.reach.run))
        self.tasks.start(keep('host rows', self.store_view.host_rows.run))

    async def _follow_hosts(self):
        """Apply the host list and the membership view whenever they change."""
        while True:
            changed = asyncio.ensure_future(self.board.changed())
            if self.board.hosts is not self.connections.rows:
                await self.connections.update(self.board.hosts)
                self.gossip.configure(self.connections.centres())
            self.fleet.set_hosts(
                self.roster.serving(), self.connections.centres()
            )
            live = self.roster.live().values()
            self.crashes.set_hosts(name for names in live for name in names)
            await changed

    # Methods that gossip calls.

    def table_revisions(self):
        """Return the revision at which this host has each table."""
        return self.store_view.revisions()

    def receive_revisions(self, revisions, source):
        """Request table rows from a host that has newer revisions."""
        self.store_view.fetch_newer_tables(revisions, source)

    def own_loads(self):
        """Return no loads, because steering hosts own no slots."""
        return {}

    def centre_of(self, host):
        """Return the data centre of a host, or an empty string."""
        row = self.connections.rows.get(host)
        return row.data_centre if row else ''

    def receive_version(self, number, source):
        """Fetch a newer configuration from the host that has it."""
        if number > self.board.number:
            self.store_view.fetch_table(
                platform.OPERATOR_TABLE, source, whole=True
            )

    def receive_cut_off(self, host):
        """Find out whether a fault of another host is one of this one, too."""
        own = self.settings
        if host != own.host and self.centre_of(host) == own.data_centre:
            self.reach.suspect()

    def receive_platform_time(self, platform_s):
        """Ignore the platform time of peers, which is not used here."""

    def limits_to_send(self, count):
        """Return at most so many limits of servers for another host."""
        return tuple(
            _gossip_messages.LimitRecord(
                name, limit.started_ms, limit.turn, limit.per_s
            )
            for name, limit in self.fleet.limits_to_send(count)
        )

    def receive_limits(self, limits, source):
        """Apply what another host knows of the limits of servers."""
        for record in limits:
            change = self.fleet.receive_limit(
                record.instance,
                request.ServerLimit(
                    record.started_ms, record.turn, record.per_s
                ),
            )
            if change is not None:
                self.note_limit(record.instance, change, source)

    # Methods that requests call.

    def note_limit(self, instance, change, source, req=None):
        """Log a changed limit of a server.

        Parameters
        ==========
        instance : str
            The server.
        change : request.LimitChange
            The limit before and now.
        source : str
            The host that reported it, or ``an answer``.
        req : str, optional
            The request whose answer showed it.
        """
        events.BACKEND_LIMITS.log(
            backend=instance,
            limit_per_s=change.per_s,
            before_per_s=change.before_per_s,
            sends=self.fleet.sends_to(instance),
            source=source,
            req=req,
        )

    def choose_service(self, route):
        """Choose the service of the next request by the route's weights."""
        turns = self._service_turns.get(route.name)
        if turns is None:
            turns = self._service_turns[route.name] = (
                request.WeightedRoundRobin()
            )
        return turns.take(route.shares)

    def in_home(self, job, centre):
        """Return whether the version in force allows a data centre.

        Parameters
        ==========
        job : Job
            The request.
        centre : str
            The data centre of the server or host.
        """
        regions = job.regions(self.board.version)
        return not regions or self.settings.data_centres.get(centre) in regions

    def pool(self, entry):
        """Return the connection pool of a backend server."""
        return self._pools.get(
            entry.instance, entry.address, self.settings.address
        )

    async def _handle(self, req, relayed=False):
        self.in_flight += 1
        try:
            await _forward.Forward(self, req, relayed).run()
        finally:
            self.in_flight -= 1

    async def _handle_relayed(self, req):
        await self._handle(req, relayed=True)

    @property
    def ready(self):
        """Whether callers may send requests to this host."""
        return self.board.version is not None and not self.leaving

    # Planned stop and reload of the settings.

    def has_time_for(self, job, received_at):
        """Return whether a request may be passed on in spite of a stop.

        Parameters
        ==========
        job : Job
            The request.
        received_at : float
            Monotonic time at which it could first be passed on.
        """
        if self._stop is None:
            return True
        return self._stop.admits(
            received_at,
            job.end_at,
            self.fleet.work_s(job.service),
            time.monotonic(),
        )

    async def stop(self):
        """Finish the requests in flight within the grace period."""
        events.PROCESS_LEAVING.log(
            host=self.settings.host, in_flight=self.in_flight
        )
        grace_s = spans.parse_span_s(self.settings.terms.grace)
        now = time.monotonic()
        end = now + grace_s - GRACE_MARGIN_S
        self._stop = request.PlannedStop(now, end)
        self.leaving = True
        self.gossip.leave()
        self.tasks.start(self.gossip.announce())
        await asyncio.sleep(IDLE_CLOSE_DELAY_S)
        await self._callers.stop_listening(keep_new=True)
        spare_until = time.monotonic() + FIRST_REQUEST_GRACE_S
        while self._has_callers(spare_until) and time.monotonic() < end:
            await asyncio.sleep(STOP_POLL_S)
            self._callers.close_idle(time.monotonic() < spare_until)
        events.PROCESS_STOPPED.log(
            host=self.settings.host, in_flight=self.in_flight
        )

    def _has_callers(self, spare_until):
        """Return whether a planned stop has to wait for callers.

        The stop waits for requests in flight and for answers that slow
        callers are still reading. Until ``spare_until`` it also waits for
        callers that have connected and have not yet sent a request.
        """
        if self.in_flight or self._callers.busy or self._relayed.busy:
            return True
        spares = time.monotonic() < spare_until
        return spares and self._callers.awaits_first_request

    def reload(self, settings, why):
        """Apply settings that were read again from the file."""
        changed = settings != self.settings
        events.SETTINGS_RELOADED.log(
            host=self.settings.host, changed=changed, why=why
        )
        if changed:
            self.settings = settings
            self.repeats.apply_settings()
            self.fleet.set_regions(settings.data_centres)


def life_s(contact_s):
    """Return the age of its last sign at which a host counts as lost.

    Examples
    ========
    >>> life_s(contact_s=4.0)
    6.0
    """
    return contact_s + LOST_HOST_S - LOST_HOST_MARGIN_S


def make_steering_host(settings):
    """Return a steering host with the given settings, not yet started."""
    return SteeringHost(settings)

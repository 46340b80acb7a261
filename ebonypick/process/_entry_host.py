"""The process of an entry host: its connections, tasks and state."""

import asyncio
import contextlib
import functools
import ipaddress
import random
import time
import uuid

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick.process import _board
from ebonypick.process import _config_reader
from ebonypick.process import _control
from ebonypick.process import _crash_reports
from ebonypick.process import _gossip
from ebonypick.process import _gossip_pace
from ebonypick.process import _host_capacity
from ebonypick.process import _host_connections
from ebonypick.process import _layouts
from ebonypick.process import _links
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _relay
from ebonypick.process import _tasks
from ebonypick import request
from ebonypick import version

HOST_LIST_INTERVAL_S = 1.0
HOST_LIST_READS_PER_S = 500
MAX_STOP_S = 120.0
# Time in a planned stop that a caller which has already connected has to send
# its first request: twice the connect timeout of the caller library.
FIRST_REQUEST_GRACE_S = 2.0
STOP_POLL_S = 0.05
# What clients may occupy. The rest of the memory is for the process itself
# and for answers of servers, that of the descriptors for its own connections.
CLIENTS = _host_capacity.Share(memory=0.2, connections=0.6)
# Share of the memory for idempotency keys and the answers kept with them.
LEDGER_SHARE = 0.1


class EntryHost:
    """The process of an entry host; an async context manager.

    Parameters
    ==========
    settings : Settings
        The identity, location and endpoints of the host.
    """

    def __init__(self, settings):
        self.settings = settings
        self.host = settings.host
        self.board = _board.Board()
        self.metrics = _metrics.Metrics()
        self.crashes = _crash_reports.NoCrashReports()
        self.ledger = request.ClaimLedger(
            settings.host,
            uuid.uuid4().hex[:10],
            time.monotonic(),
            _host_capacity.memory_bytes(settings, LEDGER_SHARE),
        )
        self.platform = connection.make_platform(
            settings.adapter('platform'),
            settings.platform.address,
            settings.platform.port,
            settings.address,
        )
        self._host_list = connection.make_host_list(
            settings.adapter('host list'),
            settings.platform.address,
            settings.platform.port,
            settings.address,
        )
        self.rng = random.Random(uuid.uuid4().int)
        self.gossip = _gossip.GossipTask(
            self,
            _membership.Membership(
                settings.host,
                settings.data_centre,
                time.time_ns() // 1_000_000,
                self.rng,
            ),
        )
        self.reader = _config_reader.ConfigReader(self)
        self.tasks = _tasks.TaskGroup()
        self.connections = _host_connections.HostConnections(
            settings, self.tasks
        )
        self.links = _links.Links(settings.region, self.metrics)
        self.layouts = _layouts.Layouts(self)
        # Requests in flight, and those of them whose body has been read.
        self.in_flight = 0
        self._served = 0
        # Monotonic time at which a planned stop cuts off what still runs.
        self._stop_at = float('inf')
        self._networks = [
            ipaddress.ip_network(text) for text in settings.control_networks
        ]
        self._peer_addresses = {seed.address for seed in settings.seeds}
        self._stack = contextlib.AsyncExitStack()
        self._server = None

    async def __aenter__(self):
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.platform)
            await stack.enter_async_context(self._host_list)
            await stack.enter_async_context(self.connections)
            await stack.enter_async_context(self.tasks)
            self.gossip.configure(
                {self.settings.data_centre: (self.settings.host,)}
            )
            self._server = await stack.enter_async_context(
                connection.make_caller_server(
                    self.settings.adapter('caller'),
                    self.settings.address,
                    self.settings.port,
                    self._handle,
                    functools.partial(
                        _host_capacity.capacity, self.settings, CLIENTS
                    ),
                )
            )
            self._start_tasks()
            self._stack = stack.pop_all()
        events.PROCESS_STARTED.log(
            host=self.host,
            address=self.settings.address,
            port=self.settings.port,
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def _start_tasks(self):
        keep = _tasks.keep_running
        self.tasks.start(keep('gossip', self.gossip.run))
        self.tasks.start(keep('config', self.reader.run))
        self.tasks.start(keep('layout', self.layouts.run))
        self.tasks.start(keep('host list', self._follow_host_list))

    # Methods that requests call.

    async def _handle(self, req):
        """Serve a request for a service or a control interface."""
        forwarded = connection.headers.HOP in req.headers
        if connection.headers.SERVICE not in req.headers:
            try:
                await _control.serve_control(self, req)
            except errors.EbonypickError as exc:
                await self._respond_error(req, exc)
            except msgspec.MsgspecError as exc:
                error = errors.RequestError(reason=str(exc))
                await self._respond_error(req, error)
            return
        error = self._rejection_error(req, forwarded)
        if error is not None:
            await self._respond_error(req, error)
            return
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)
        try:
            await _relay.Relay(self, req, forwarded).run()
        finally:
            self.in_flight -= 1

    def _rejection_error(self, req, forwarded):
        """Return the error that rejects a service request, or None."""
        if forwarded and req.client not in self._peer_addresses:
            return errors.NotAllowedError(address=req.client, path='a hop')
        quoted = req.headers.get(connection.headers.CONFIG_VERSION, '')
        if quoted.isdigit():
            self.receive_version(
                int(quoted[:15]), req.headers.get(connection.headers.HOP)
            )
        if self.board.version is None:
            return errors.NotReadyError(reason='it has no configuration yet')
        return self._busy_error()

    def _busy_error(self):
        """Return an error if as many as allowed are served, or None."""
        limit = self.settings.in_flight_most
        if self._served >= limit:
            return errors.BusyError(limit=limit)
        return None

    @contextlib.contextmanager
    def place(self):
        """Count a request that is being served, its body having been read.

        Callers that send slowly thereby take no place from others.

        Raises
        ======
        errors.BusyError
            If as many as the settings allow are being served.
        """
        error = self._busy_error()
        if error is not None:
            raise error
        self._served += 1
        try:
            yield
        finally:
            self._served -= 1

    async def _respond_error(self, req, exc):
        body, headers = connection.problem(exc)
        headers.append((connection.headers.OUTCOME, exc.outcome))
        await req.respond(exc.status, headers, body)

    def trusts(self, address):
        """Return whether an address may use the control interfaces."""
        if address in self._peer_addresses:
            return True
        ip = ipaddress.ip_address(address)
        return any(ip in network for network in self._networks)

    def key_prefix(self):
        """Return the prefix of idempotency keys issued now."""
        return self.ledger.prefix(time.monotonic())

    def region_of(self, address):
        """Return the region of a client; this host's region if unknown."""
        ip = ipaddress.ip_address(address)
        found = self.board.blocks.find_int(int(ip), ip.version)
        return found or self.settings.region

    def has_time_for(self, deadline):
        """Return whether a request surely ends before a planned stop does.

        Parameters
        ==========
        deadline : float
            The deadline of the request, in seconds of the monotonic clock.
        """
        return deadline <= self._stop_at

    def note_failed_peer(self, host):
        """Report to the membership that an entry host is unreachable."""
        self.gossip.note_unreachable(host)

    def cancel_attempt(self, task):
        """Cancel an attempt that is not needed and close its answer."""
        if not task.done():
            task.cancel()
            task.add_done_callback(self.close_answer)

    def close_answer(self, task):
        """Close the answer of a task whose result is not used."""
        if task.cancelled() or task.exception() is not None:
            return
        self.tasks.start(task.result().close())

    # Methods that background tasks call.

    def polls_platform(self):
        """Return whether this host reads the platform's table now."""
        return self.board.version is None or self.gossip.speaks

    def receive_version(self, number, sender):
        """Note a configuration version that another host reported."""
        self.reader.record_number(number, sender)

    def note_platform_time(self, found):
        """Publish a better lower bound of the platform's time."""
        known = self.board.platform_now()
        if found is not None and (known is None or found.now() > known):
            self.board.publish(platform_time=found)

    def receive_platform_time(self, platform_s):
        """Apply a peer's lower bound of the platform's time."""
        if platform_s is not None:
            self.note_platform_time(
                connection.PlatformTime(platform_s, time.monotonic())
            )

    def table_revisions(self):
        """Return no revisions, because an entry host follows no tables."""
        return {}

    def receive_revisions(self, revisions, source):
        """Ignore the table revisions of peers, which are not used here."""

    def limits_to_send(self, count):
        """Return no limits: backend servers of this interface name none."""
        return ()

    def receive_limits(self, limits, source):
        """Ignore the limits of peers, which are not used here."""

    def receive_cut_off(self, host):
        """Ignore that a host reaches no server: owners report their slots."""

    def own_loads(self):
        """Return the loads of this host's slots, by service."""
        return self.layouts.own_loads()

    def centre_of(self, host):
        """Return the data centre of an entry host, or an empty string."""
        if self.board.version is None:
            return ''
        found = self.board.version.cfg.entry_hosts().get(host)
        return found[0] if found else ''

    def apply_configuration(self, found):
        """Apply a configuration and publish it on the board."""
        blocks = version.make_block_table(found.cfg.base.client_blocks)
        hosts = found.cfg.entry_hosts()
        self._peer_addresses = {host.address for _, host in hosts.values()} | {
            seed.address for seed in self.settings.seeds
        }
        centres = {}
        for name, (centre, _) in hosts.items():
            centres.setdefault(centre, []).append(name)
        self.gossip.configure(
            {centre: tuple(names) for centre, names in centres.items()}
        )
        self.links.configure(found.cfg)
        self.metrics.config.set(found.number)
        self.board.publish(version=found, blocks=blocks)

    async def _follow_host_list(self):
        while True:
            await self._read_host_list()
            hosts = 1
            if self.board.version is not None:
                hosts = len(self.board.version.cfg.entry_hosts())
            # The interval grows with the number of hosts, so that all hosts
            # together do not exceed HOST_LIST_READS_PER_S.
            await asyncio.sleep(
                max(HOST_LIST_INTERVAL_S, hosts / HOST_LIST_READS_PER_S)
            )

    async def _read_host_list(self):
        try:
            found = await self._host_list.leaving()
        except errors.PlatformError as exc:
            events.PLATFORM_FAILED.log(why=str(exc))
            return
        if found != self.board.leaving_hosts:
            self.board.publish(leaving_hosts=found)

    # Readiness and the planned stop.

    def not_ready_reason(self):
        """Return why callers should not use this host, or None if ready."""
        if self.board.leaving:
            return 'it is stopping'
        if self.board.version is None:
            return 'it has no configuration yet'
        if not self.layouts.layouts:
            return 'it is starting'
        return None

    async def stop(self):
        """Stop as planned, without cutting off requests.

        The host is removed from look-up answers and hands over its slots
        immediately. It continues to serve until all cached look-up answers
        have expired, and stops after its last request is answered.
        """
        events.PROCESS_LEAVING.log(host=self.host, in_flight=self.in_flight)
        self.board.publish(leaving=True)
        self.gossip.leave()
        await self.gossip.announce()
        if self.board.version is not None:
            ttl_ms = self.board.version.cfg.base.lookup_ttl_ms
            await asyncio.sleep(ttl_ms / 1000 + _gossip_pace.MIN_ROUND_S)
        await self._server.stop_listening(keep_new=True)
        stopped_at = time.monotonic()
        self._stop_at = stopped_at + MAX_STOP_S
        while self._has_callers(time.monotonic() - stopped_at):
            await asyncio.sleep(STOP_POLL_S)
        await self._server.stop_listening()
        events.PROCESS_STOPPED.log(host=self.host, in_flight=self.in_flight)

    def _has_callers(self, stopped_s):
        """Return whether a planned stop has to wait for callers."""
        if self.in_flight or self._server.busy:
            return stopped_s < MAX_STOP_S
        return (
            stopped_s < FIRST_REQUEST_GRACE_S
            and self._server.awaits_first_request
        )


def make_entry_host(settings):
    """Return an entry host with the given settings, not yet started."""
    return EntryHost(settings)

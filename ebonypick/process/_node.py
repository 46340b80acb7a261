"""An entry host: owns the connections, tasks and snapshots of a process."""

import asyncio
import contextlib
import ipaddress
import math
import random
import time
import uuid

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick.process import _board
from ebonypick.process import _control
from ebonypick.process import _gossip
from ebonypick.process import _membership
from ebonypick.process import _metrics
from ebonypick.process import _ownership
from ebonypick.process import _probes
from ebonypick.process import _reader
from ebonypick.process import _relay
from ebonypick.process import _service
from ebonypick.process import _tasks
from ebonypick import request
from ebonypick import version

HOST_LIST_INTERVAL_S = 1.0
HOST_LIST_READS_PER_S = 500
RELAYOUT_S = 0.5
STOP_LONGEST_S = 120.0
# Part of a link's limit that the entry hosts share among them; the rest is
# for heads, handshakes and what else crosses the link.
LINK_SHARE = 0.85
LINK_BURST_S = 0.05


class EntryHost:
    """The process of an entry host; an async context manager.

    Parameters
    ==========
    settings : Settings
        Who and where it is.
    """

    def __init__(self, settings):
        self.settings = settings
        self.host = settings.host
        self.board = _board.Board()
        self.metrics = _metrics.Metrics()
        self.services = {}
        self.layouts = {}
        self._told = {}
        self.backends = {}
        self.peers = {}
        self.seeds = {}
        self.budgets = {}
        self.hedge_delays = {}
        self.ledger = request.OnceLedger(
            settings.host, uuid.uuid4().hex[:10], time.monotonic()
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
        self._rng = random.Random(uuid.uuid4().int)
        self.gossip = _gossip.GossipTask(
            self,
            _membership.Membership(
                settings.host,
                settings.data_centre,
                time.time_ns() // 1_000_000,
                self._rng,
            ),
        )
        self.reader = _reader.ConfigReader(self)
        self.tasks = _tasks.TaskGroup()
        self._prober = _probes.Prober(self)
        self._links = {}
        self._look_ups = {}
        self._in_flight = 0
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
            for seed in self.settings.seeds:
                name = f'{seed.address}:{seed.port}'
                self.seeds[name] = await stack.enter_async_context(
                    self._peer_pool(seed.address, seed.port)
                )
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
        for owner in [*self.peers.values(), *self.backends.values()]:
            await owner.__aexit__(None, None, None)

    def _start_tasks(self):
        keep = _tasks.keep_running
        self.tasks.start(keep('gossip', self.gossip.run))
        self.tasks.start(keep('config', self.reader.run))
        self.tasks.start(keep('layout', self._follow_board))
        self.tasks.start(keep('host list', self._follow_host_list))

    def _peer_pool(self, address, port):
        return connection.Pool(address, port, self.settings.address)

    # What requests ask of the process.

    async def _handle(self, req):
        """Answer a request for a service or a control interface."""
        passed = connection.headers.HOP in req.headers
        if connection.headers.SERVICE not in req.headers:
            try:
                await _control.serve_control(self, req)
            except errors.EbonypickError as exc:
                await self._respond_error(req, exc)
            except msgspec.MsgspecError as exc:
                error = errors.RequestError(reason=str(exc))
                await self._respond_error(req, error)
            return
        error = self._refusal(req, passed)
        if error is not None:
            await self._respond_error(req, error)
            return
        self._in_flight += 1
        self.metrics.in_flight.set(self._in_flight)
        try:
            await _relay.Relay(self, req, passed).run()
        finally:
            self._in_flight -= 1

    def _refusal(self, req, passed):
        """Return why a request for a service is not taken, or None."""
        if passed and req.client not in self._peer_addresses:
            return errors.NotAllowedError(address=req.client, path='a hop')
        quoted = req.headers.get(connection.headers.CONFIG_VERSION, '')
        if quoted.isdigit():
            self.hear_version(
                int(quoted[:15]), req.headers.get(connection.headers.HOP)
            )
        if self.board.version is None:
            return errors.NotReadyError(reason='it has no configuration yet')
        if self._in_flight >= self.settings.in_flight_most:
            return errors.BusyError(limit=self.settings.in_flight_most)
        return None

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
        """Return the region of a client, this host's own if unknown."""
        ip = ipaddress.ip_address(address)
        found = self.board.blocks.find_int(int(ip), ip.version)
        return found or self.settings.region

    def look_up(self, service, region):
        """Return the entry hosts for callers of a region, best first.

        Answers are kept until the configuration, the members or the owners
        change.
        """
        basis = (self.board.version, self.board.view, self.layouts[service])
        kept = self._look_ups.get((service, region))
        if kept is None or any(a is not b for a, b in zip(kept[0], basis)):
            found, view, layout = basis
            choices = request.look_up(found.cfg, view, region, layout.places)
            kept = self._look_ups[service, region] = (basis, choices)
        return kept[1]

    async def pace(self, region, size):
        """Wait until bytes may go over the link to a region."""
        link = self._links.get(region)
        if link is None:
            return
        self.metrics.link_bytes.labels(region).inc(size)
        wait_s = link.take(size, time.monotonic())
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def peer(self, name):
        """Return the connections to an entry host or seed, or None."""
        return self.peers.get(name) or self.seeds.get(name)

    def note_failed_peer(self, host):
        """Note that another entry host could not be reached."""
        self.gossip.fail(host)

    def retire_silent(self, source):
        """Retire the connections to a backend server or entry host."""
        link = self.backends.get(source)
        pool = link.pool if link is not None else self.peers.get(source)
        if pool is not None:
            events.SILENT.log(peer=source, generation=pool.retire())

    def drop_loser(self, task):
        """Cancel a try that is not needed; close what it may have got."""
        if not task.done():
            task.cancel()
            task.add_done_callback(self.close_answer)

    def close_answer(self, task):
        """Close the answer of a task that nobody waits for."""
        if task.cancelled() or task.exception() is not None:
            return
        self.tasks.start(task.result().close())

    # What the tasks tell the process.

    def polls_platform(self):
        """Return whether this host reads the platform's table."""
        return self.board.version is None or self.gossip.speaks

    def hear_version(self, number, sender):
        """Note a configuration version that someone quoted."""
        self.reader.quote(number, sender)

    def note_platform_time(self, found):
        """Publish a better lower bound of the platform's time."""
        known = self.board.platform_now()
        if found is not None and (known is None or found.now() > known):
            self.board.publish(platform_time=found)

    def hear_platform_time(self, platform_s):
        """Take in a peer's lower bound of the platform's time."""
        if platform_s is not None:
            self.note_platform_time(
                connection.PlatformTime(platform_s, time.monotonic())
            )

    def own_loads(self):
        """Return the loads of this host's slots by service."""
        return {
            name: (task.load.free, task.load.queued, task.load.capacity)
            for name, task in self.services.items()
            if task.load.capacity
        }

    def centre_of(self, host):
        """Return the data centre of an entry host, or an empty name."""
        if self.board.version is None:
            return ''
        found = self.board.version.cfg.entry_hosts().get(host)
        return found[0] if found else ''

    def put_in_force(self, found, now):
        """Put a configuration in force."""
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
        self._make_links(found.cfg)
        self.metrics.config.set(found.number)
        self.board.publish(version=found, blocks=blocks)

    def _make_links(self, cfg):
        """Give this host its part of each link from its region."""
        region = self.settings.region
        if region not in cfg.base.regions:
            return
        centres = cfg.base.regions[region].data_centres.values()
        hosts = sum(len(centre.entry_hosts) for centre in centres)
        links = {}
        for link in cfg.base.links:
            if region not in link.between:
                continue
            other = next(name for name in link.between if name != region)
            bytes_per_s = link.limit_mbit_s * 1e6 / 8
            part = bytes_per_s * LINK_SHARE / max(1, hosts)
            links[other] = request.LinkBudget(part, part * LINK_BURST_S)
        self._links = links

    async def _follow_host_list(self):
        while True:
            await self._read_host_list()
            hosts = 1
            if self.board.version is not None:
                hosts = len(self.board.version.cfg.entry_hosts())
            # All hosts together must not ask more often than it bears.
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

    # The layout: what follows from the configuration and the members.

    async def _follow_board(self):
        laid_out = None
        while True:
            try:
                async with asyncio.timeout(RELAYOUT_S):
                    await self.board.changed()
            except TimeoutError:
                pass
            board = self.board
            if board.version is None:
                continue
            basis = (board.version, board.view, board.leaving_hosts)
            if laid_out is None or any(
                old is not new for old, new in zip(laid_out, basis)
            ):
                await self._lay_out(board.version.cfg)
                laid_out = basis
            for service, layout in self.layouts.items():
                self._tell_loads(service, layout, self.services[service])

    async def _lay_out(self, cfg):
        await self._open_peers(cfg)
        await self._open_backends(cfg)
        owned = {}
        for service in cfg.base.services:
            layout = _ownership.make_layout(
                cfg,
                self.board.view,
                self.host,
                service,
                self.board.leaving_hosts,
            )
            self._tell_service(cfg, service, layout)
            owned.update(dict.fromkeys(layout.backends, service))
        for service in set(self.services) - set(cfg.base.services):
            del self.services[service]
            del self.layouts[service]
            del self._told[service]
        self._prober.update(owned)

    def _tell_service(self, cfg, service, layout):
        """Tell a service's task what changed for it, if anything did."""
        settings = self._owner_settings(cfg, service)
        objective = cfg.base.services[service].objective
        task = self.services.get(service) or self._start_service(
            cfg, service, settings
        )
        told = (layout, settings, objective)
        if self._told.get(service) == told:
            return
        old = self.layouts.get(service)
        if old is None or old.backends != layout.backends:
            events.OWNERSHIP_CHANGED.log(
                service=service, backends=sorted(layout.backends)
            )
        self._told[service] = told
        self.layouts[service] = layout
        policy = request.make_policy(objective, self._rng)
        task.tell(_service.Update(layout, settings, policy))

    def _tell_loads(self, service, layout, task):
        hosts, centres = self.gossip.loads_of(service)
        summed = {}
        for place in layout.places:
            total = summed.get(place.data_centre, 0)
            summed[place.data_centre] = total + place.capacity
        for place in layout.places:
            if place.name in hosts:
                load = request.Load(*hosts[place.name])
            elif place.data_centre in centres:
                part = place.capacity / max(1, summed[place.data_centre])
                found = centres[place.data_centre]
                load = request.Load(*(math.floor(n * part) for n in found))
            else:
                continue
            task.tell(_service.HearLoad(place.name, load))

    def _owner_settings(self, cfg, service):
        item = cfg.base.services[service]
        region = cfg.base.regions[self.settings.region]
        return request.OwnerSettings(
            queue_wait_s=item.queue_wait_ms / 1000,
            service_s=item.service_ms / 1000,
            warm_s=item.warm_s,
            reserve_share=region.reserve_share,
        )

    def _start_service(self, cfg, service, settings):
        dispatcher = request.Dispatcher(
            self.host,
            self.settings.region,
            settings,
            request.make_policy(
                cfg.base.services[service].objective, self._rng
            ),
            self._link_wait_s,
            self._allowed_share,
        )
        task = _service.ServiceTask(service, dispatcher)
        self.services[service] = task
        self.budgets[service] = request.RetryBudget()
        self.hedge_delays[service] = request.HedgeDelay()
        self.tasks.start(_tasks.keep_running(service, task.run))
        return task

    def _link_wait_s(self, region, now):
        link = self._links.get(region)
        return link.wait_s(now) if link is not None else 0.0

    def _allowed_share(self, shift):
        return version.allowed_share(shift, self.board.platform_now())

    async def _open_peers(self, cfg):
        wanted = {
            name: (host.address, host.port)
            for name, (_, host) in cfg.entry_hosts().items()
            if name != self.host
        }
        await self._reopen(
            self.peers, wanted, lambda name, end: self._peer_pool(*end)
        )

    async def _open_backends(self, cfg):
        wanted = {
            name: (server.address, server.port)
            for service in cfg.base.services
            for name, _, _, server in cfg.backends(service)
        }
        kind = self.settings.adapter('backend')
        await self._reopen(
            self.backends,
            wanted,
            lambda name, end: connection.make_backend_link(
                kind, name, *end, self.settings.address
            ),
        )

    async def _reopen(self, owners, wanted, make):
        """Open what is new in ``wanted``, close what is gone from it."""
        ends = getattr(self, '_ends', None)
        if ends is None:
            ends = self._ends = {}
        for name in set(owners) - set(wanted):
            old = owners.pop(name)
            ends.pop(name, None)
            self.tasks.start(_close_later(old))
        for name, end in wanted.items():
            if name in owners and ends.get(name) == end:
                continue
            if name in owners:
                self.tasks.start(_close_later(owners[name]))
            owners[name] = await make(name, end).__aenter__()
            ends[name] = end

    # Status and the planned stop.

    def not_ready_reason(self):
        """Return why callers should not come here, or None."""
        if self.board.leaving:
            return 'it is stopping'
        if self.board.version is None:
            return 'it has no configuration yet'
        if not self.layouts:
            return 'it is starting'
        return None

    def status(self):
        """Return what operators want to see, as plain values."""
        view = self.board.view
        return {
            'host': self.host,
            'data_centre': self.settings.data_centre,
            'region': self.settings.region,
            'config_version': self.board.number,
            'ready': self.not_ready_reason() is None,
            'leaving': self.board.leaving,
            'in_flight': self._in_flight,
            'alive': view.alive,
            'leaving_hosts': sorted(view.leaving),
            'keys_kept': len(self.ledger),
            'gossip': {
                'exchanges': self.gossip.exchanges,
                'bytes_sent': self.gossip.bytes_sent,
            },
            'services': {
                name: {
                    'load': task.load,
                    'backend_servers': [
                        {
                            'name': backend,
                            'held': held,
                            'capacity': capacity,
                            'leaving': leaving,
                        }
                        for backend, held, capacity, leaving in task.states
                    ],
                    'shifts': {
                        shift: self._allowed_share(item)
                        for shift, item in self.layouts[name].shifts
                    }
                    if name in self.layouts
                    else {},
                }
                for name, task in self.services.items()
            },
        }

    async def stop(self):
        """Leave in a planned stop that cuts off nothing.

        The host leaves the look-up answers and hands its slots over at
        once, serves on until no caller can hold an old answer, and ends
        when its last request is answered.
        """
        events.PROCESS_LEAVING.log(host=self.host, in_flight=self._in_flight)
        self.board.publish(leaving=True)
        self.gossip.leave()
        await self.gossip.announce()
        if self.board.version is not None:
            ttl_ms = self.board.version.cfg.base.lookup_ttl_ms
            await asyncio.sleep(ttl_ms / 1000 + _membership.TICK_S)
        await self._server.stop_listening()
        give_up_at = time.monotonic() + STOP_LONGEST_S
        while self._in_flight and time.monotonic() < give_up_at:
            await asyncio.sleep(0.05)
        await self._server.stop_listening()
        events.PROCESS_STOPPED.log(host=self.host, in_flight=self._in_flight)


async def _close_later(owner):
    """Close connections once the requests on them have had their time."""
    await asyncio.sleep(STOP_LONGEST_S)
    await owner.__aexit__(None, None, None)


def make_entry_host(settings):
    """Return the entry host of some settings, not yet started."""
    return EntryHost(settings)

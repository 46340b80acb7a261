"""The task that keeps the layouts of the services up to date."""

import asyncio
import math

from ebonypick import events
from ebonypick.process import _ownership
from ebonypick.process import _probes
from ebonypick.process import _service
from ebonypick.process import _tasks
from ebonypick import request
from ebonypick import version

REFRESH_S = 0.5


class Layouts:
    """Owns the tasks of the services and sends them their updates.

    Parameters
    ==========
    node : EntryHost
        The entry host.
    """

    def __init__(self, node):
        self.services = {}
        self.layouts = {}
        self.budgets = {}
        self.hedge_delays = {}
        self._node = node
        self._applied = {}
        self._running = {}
        self._look_ups = {}
        self._prober = _probes.Prober(node)

    async def run(self):
        """Apply changes of configuration, membership view and host list."""
        applied = None
        board = self._node.board
        while True:
            try:
                async with asyncio.timeout(REFRESH_S):
                    await board.changed()
            except TimeoutError:
                pass
            if board.version is None:
                continue
            basis = (board.version, board.view, board.leaving_hosts)
            if applied is None or not _same_snapshots(applied, basis):
                await self._apply(*basis)
                applied = basis
            for service, layout in self.layouts.items():
                self._send_loads(service, layout)

    async def _apply(self, found, view, leaving):
        cfg = found.cfg
        await self._node.connections.configure(cfg)
        owned = {}
        for service in cfg.base.services:
            layout = _ownership.make_layout(
                cfg, view, self._node.host, service, leaving
            )
            self._update_service(cfg, service, layout)
            owned.update(dict.fromkeys(layout.backends, service))
        for service in set(self.services) - set(cfg.base.services):
            self._running.pop(service).cancel()
            for mapping in (self.services, self.layouts, self._applied):
                del mapping[service]
        self._prober.update(owned)

    def _update_service(self, cfg, service, layout):
        """Send a service's task its layout, settings and policy if changed."""
        settings = self._owner_settings(cfg, service)
        objective = cfg.base.services[service].objective
        if service not in self.services:
            self._start(service, settings, objective)
        current = (layout, settings, objective)
        if self._applied.get(service) == current:
            return
        old = self.layouts.get(service)
        if old is None or old.backends != layout.backends:
            events.OWNERSHIP_CHANGED.log(
                service=service, backends=sorted(layout.backends)
            )
        self._applied[service] = current
        self.layouts[service] = layout
        policy = request.make_policy(objective, self._node.rng)
        update = _service.Update(layout, settings, policy)
        self.services[service].post(update)

    def _owner_settings(self, cfg, service):
        item = cfg.base.services[service]
        region = cfg.base.regions[self._node.settings.region]
        return request.OwnerSettings(
            queue_wait_s=item.queue_wait_ms / 1000,
            service_s=item.service_ms / 1000,
            warm_s=item.warm_s,
            reserve_share=region.reserve_share,
        )

    def _start(self, service, settings, objective):
        dispatcher = request.Dispatcher(
            self._node.host,
            self._node.settings.region,
            settings,
            request.make_policy(objective, self._node.rng),
            self._node.links.wait_s,
            self.allowed_share,
        )
        task = _service.ServiceTask(service, dispatcher)
        self.services[service] = task
        self.budgets[service] = request.RetryBudget()
        self.hedge_delays[service] = request.HedgeDelay()
        self._running[service] = self._node.tasks.start(
            _tasks.keep_running(service, task.run)
        )

    def allowed_share(self, shift):
        """Return the share of requests that a shift allows to move now."""
        return version.allowed_share(shift, self._node.board.platform_now())

    def _send_loads(self, service, layout):
        """Send a service's task the loads that gossip received."""
        hosts, centres = self._node.gossip.loads_of(service)
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
            message = _service.ReceiveLoad(place.name, load)
            self.services[service].post(message)

    def own_loads(self):
        """Return the loads of this host's slots, by service."""
        return {
            name: (task.load.free, task.load.queued, task.load.capacity)
            for name, task in self.services.items()
            if task.load.capacity
        }

    def look_up(self, service, region):
        """Return the entry hosts for callers of a region, best first.

        Answers are cached until the configuration, the membership view or the
        layout of the service changes.
        """
        board = self._node.board
        basis = (board.version, board.view, self.layouts[service])
        cached = self._look_ups.get((service, region))
        if cached is None or not _same_snapshots(cached[0], basis):
            found, view, layout = basis
            choices = request.look_up(found.cfg, view, region, layout.places)
            cached = self._look_ups[service, region] = (basis, choices)
        return cached[1]


def _same_snapshots(one, other):
    """Return whether two tuples hold the identical snapshot objects."""
    return all(a is b for a, b in zip(one, other))

"""The task that owns the dispatcher of a service and handles messages."""

import asyncio
import dataclasses
import time

from ebonypick import events
from ebonypick import request

TICK_S = 0.1
# While no request waits, ticks are needed only to advance the warm-up of
# servers and to end suspensions.
IDLE_TICK_S = 0.3


@dataclasses.dataclass(frozen=True)
class Arrive:
    """Route a request; the future resolves to the decision.

    The decision is Placed, NoSlot or Forward.
    """

    arrival: request.Arrival
    fut: asyncio.Future


@dataclasses.dataclass(frozen=True)
class Finish:
    """A request ended and releases its slot."""

    req: str
    result: request.Result


@dataclasses.dataclass(frozen=True)
class ForwardEnded:
    """A forwarded request ended; ``load`` is the load its owner reported."""

    req: str
    owner: str
    load: request.Load | None


@dataclasses.dataclass(frozen=True)
class Cancel:
    """A request is cancelled before it is sent."""

    req: str


@dataclasses.dataclass(frozen=True)
class Update:
    """A new layout, new settings or a new policy apply."""

    layout: request.Layout
    settings: request.OwnerSettings
    policy: object


@dataclasses.dataclass(frozen=True)
class ReceiveLoad:
    """The load of another owner was received."""

    owner: str
    load: request.Load


@dataclasses.dataclass(frozen=True)
class Probed:
    """A probe of a backend server ended; no answer gives a None report."""

    backend: str
    report: request.Report | None


@dataclasses.dataclass(frozen=True)
class Explain:
    """Explain the current choice; the future resolves to the targets."""

    fut: asyncio.Future


@dataclasses.dataclass(frozen=True)
class Tick:
    """A timer tick."""


class ServiceTask:
    """Owns the dispatcher of one service.

    Parameters
    ==========
    service : str
        The service.
    dispatcher : Dispatcher
        The dispatcher, which makes the decisions.
    """

    def __init__(self, service, dispatcher):
        self.service = service
        self.inbox = asyncio.Queue()
        self.load = request.Load(0, 0, 0)
        self.states = ()
        self._dispatcher = dispatcher
        self._waiting = {}
        self._probe_failures = {}
        self._handlers = {
            Arrive: self._arrive,
            Finish: self._finish,
            ForwardEnded: self._forward_ended,
            Cancel: self._cancel,
            Update: self._update,
            ReceiveLoad: self._receive_load,
            Probed: self._probed,
            Explain: self._explain,
            Tick: self._tick,
        }

    async def route(self, arrival):
        """Return the final decision of the dispatcher.

        Returns
        =======
        Placed, NoSlot or Forward
        """
        fut = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(Arrive(arrival, fut))
        try:
            return await fut
        except asyncio.CancelledError:
            self.inbox.put_nowait(Cancel(arrival.offer.req))
            raise

    async def explain(self):
        """Return the targets of the dispatcher and its current choice."""
        fut = asyncio.get_running_loop().create_future()
        self.inbox.put_nowait(Explain(fut))
        return await fut

    def _explain(self, message, now):
        message.fut.set_result(self._dispatcher.explain(now))

    def post(self, message):
        """Enqueue a message that needs no answer."""
        self.inbox.put_nowait(message)

    async def run(self):
        """Handle messages until cancelled."""
        ticking = asyncio.ensure_future(self._send_ticks())
        try:
            while True:
                message = await self.inbox.get()
                now = time.monotonic()
                self._handlers[type(message)](message, now)
                self.load = self._dispatcher.owner.load(now)
        finally:
            ticking.cancel()

    async def _send_ticks(self):
        while True:
            await asyncio.sleep(TICK_S if self._waiting else IDLE_TICK_S)
            self.inbox.put_nowait(Tick())

    def _tick(self, message, now):
        self._resolve(self._dispatcher.tick(now))
        self.states = self._dispatcher.owner.states()

    def _arrive(self, message, now):
        arrival = message.arrival
        if message.fut.cancelled():
            return
        decision = self._dispatcher.arrive(arrival, now)
        if isinstance(decision, request.Queued):
            self._waiting[arrival.offer.req] = message.fut
            return
        self._log(decision)
        message.fut.set_result(decision)

    def _log(self, decision):
        if isinstance(decision, request.Placed):
            events.PLACED.log(
                req=decision.req,
                service=self.service,
                backend=decision.backend,
                waited_ms=round(decision.waited_s * 1000, 3),
            )
        elif isinstance(decision, request.Forward):
            events.ROUTED.log(
                req=decision.req,
                service=self.service,
                owner=decision.owner,
                reason=decision.reason,
            )
        else:
            events.REFUSED.log(
                req=decision.req,
                service=self.service,
                reason=decision.reason,
                retry_after_s=round(decision.retry_after_s, 3),
            )

    def _resolve(self, decisions):
        for decision in decisions:
            fut = self._waiting.pop(decision.req, None)
            if fut is None or fut.cancelled():
                if isinstance(decision, request.Placed):
                    self.post(Finish(decision.req, request.Result.CANCELLED))
                continue
            self._log(decision)
            fut.set_result(decision)

    def _finish(self, message, now):
        done = self._dispatcher.finish(message.req, message.result, now)
        self._resolve(done)

    def _forward_ended(self, message, now):
        self._dispatcher.forward_ended(message.req, message.owner, now)
        if message.load is not None:
            self._dispatcher.update_load(message.owner, message.load, now)

    def _cancel(self, message, now):
        self._waiting.pop(message.req, None)
        if not self._dispatcher.cancel(message.req):
            # The request may have been placed before it was cancelled.
            done = self._dispatcher.finish(
                message.req, request.Result.CANCELLED, now
            )
            self._resolve(done)

    def _update(self, message, now):
        done = self._dispatcher.update(
            message.layout, now, message.settings, message.policy
        )
        self._resolve(done)

    def _receive_load(self, message, now):
        self._dispatcher.update_load(message.owner, message.load, now)

    def _probed(self, message, now):
        owner = self._dispatcher.owner
        if message.report is None:
            # A single lost probe is not evidence of a failure. Two in a row
            # suspend the server.
            failures = self._probe_failures.get(message.backend, 0) + 1
            self._probe_failures[message.backend] = failures
            if failures >= 2:
                owner.suspend(message.backend, now)
            return
        self._probe_failures[message.backend] = 0
        self._resolve(owner.recovered(message.backend, now))
        self._resolve(owner.report(message.backend, message.report, now))

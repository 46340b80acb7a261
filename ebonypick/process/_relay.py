"""Serves one request of a caller at an entry host."""

import asyncio
import contextlib
import time

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick.process import _attempt
from ebonypick.process import _body
from ebonypick.process import _checked_request
from ebonypick.process import _claims
from ebonypick import request

MAX_ATTEMPTS = 4
ANSWER_STALL_S = 5.0
# The request's own header fields, and those of the client library's request.
FIELD_COPIES = 2
# If a hedge is answered while the first attempt has waited longer than this,
# the connections to the first attempt's server are assumed to be silent.
SILENT_CONNECTION_S = 0.2


class Relay:
    """Serves one request at an entry host.

    Parameters
    ==========
    node : EntryHost
        The entry host that owns the connections.
    req : CallerRequest
        The request.
    forwarded : bool
        Whether another entry host forwarded the request.
    """

    def __init__(self, node, req, forwarded):
        self._node = node
        self._req = req
        self._forwarded = forwarded
        self._started_at = req.received_at
        self._checked = None
        self._body = None
        self._attempts = 0
        self._service = None
        self._first_source = None
        self._sent_at = None

    async def run(self):
        """Serve the request; it ends in an answer or a closed connection."""
        with contextlib.ExitStack() as stack:
            try:
                self._accept()
                await self._body.read_start()
                stack.enter_context(self._node.place())
                if not self._checked.info.idempotent:
                    await self._req.turn()
                answer = await self._serve_to_end()
            except errors.EbonypickError as exc:
                await self._respond_error(exc)
                return
            try:
                await self._pass_on(answer)
            finally:
                await answer.close()

    def _accept(self):
        cfg = self._node.board.version.cfg
        self._checked = _checked_request.check_request(
            self._req,
            cfg.base.services,
            self._forwarded,
            self._node.settings.region,
            self._node.region_of(self._req.client),
            self._started_at,
        )
        name = self._checked.info.service
        self._service = cfg.base.services[name]
        if not self._node.has_time_for(self._checked.info.deadline):
            raise errors.NotReadyError(
                reason='it may stop before the request ends'
            )
        self._req.retain_fields(FIELD_COPIES)
        self._body = _body.RequestBody(
            self._req, self._service.body_limit_bytes, name
        )

    async def _serve_to_end(self):
        """Serve the request, even if its caller disconnects meanwhile.

        A request with an idempotency key continues after its caller has
        disconnected, so that a repeat with the same key finds the answer.
        Requests without a key are cancelled, and so are requests whose body
        is still being read from the closed connection.
        """
        info = self._checked.info
        if info.key is None or self._forwarded or not self._body.whole:
            return await self._serve_once()
        task = self._node.tasks.start(self._serve_once())
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._node.close_answer)
            raise

    async def _serve_once(self):
        """Serve the request; claim its idempotency key first, if any."""
        info = self._checked.info
        if info.key is None or info.forwarded:
            return await self._serve()
        claim = _claims.make_claim(
            self._service.once, self._node, info.service, info.key
        )
        record = await claim.take()
        if record is not None:
            return _replay(record)
        try:
            answer = await self._serve()
        except errors.EbonypickError as exc:
            if exc.outcome == request.Outcome.NOT_RUN:
                await claim.release()
            raise
        body = answer.start if answer.complete else None
        record = _claims.make_record(answer.status, answer.headers, body)
        await claim.finish(record)
        return answer

    async def _serve(self):
        """Return an answer with the outcome ``done``.

        Raises
        ======
        errors.EbonypickError
            If there is no such answer; the error carries the known outcome.
        """
        service = self._checked.info.service
        self._node.layouts.budgets[service].deposit()
        if self._checked.info.idempotent and not self._forwarded:
            answer = await self._serve_hedged()
        else:
            answer = await self._run_attempts(False)
        return answer

    async def _serve_hedged(self):
        """Serve a read; send a hedge if the first attempt is slow."""
        service = self._checked.info.service
        delay = self._node.layouts.hedge_delays[service]
        first = asyncio.ensure_future(self._run_attempts(False))
        running = {first}
        try:
            await self._wait_for_hedge(first, delay.seconds)
            if not first.done() and self._may_hedge():
                events.HEDGED.log(
                    req=self._checked.info.req,
                    service=service,
                    waited_ms=round(delay.seconds * 1000),
                )
                self._node.metrics.hedges.labels(service).inc()
                running.add(asyncio.ensure_future(self._run_attempts(True)))
            answer = await _first_success(running)
        finally:
            for task in running:
                self._node.cancel_attempt(task)
        now = time.monotonic()
        if not first.done() and now - self._sent_at > SILENT_CONNECTION_S:
            self._node.connections.retire(self._first_source)
        delay.observe(now - self._sent_at)
        return answer

    async def _wait_for_hedge(self, first, delay_s):
        """Wait until the first attempt ends or was sent ``delay_s`` ago.

        An attempt that still waits for a slot is not hedged, because a
        second one would only lengthen the queue.
        """
        while not first.done():
            since = self._sent_at or time.monotonic()
            left_s = since + delay_s - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.wait({first}, timeout=left_s)

    def _may_hedge(self):
        service = self._checked.info.service
        # Two attempts at a time cannot share a body that is streamed.
        return self._body.whole and self._node.layouts.budgets[service].take()

    async def _run_attempts(self, hedge):
        """Make attempts one after the other until one has an answer."""
        tried = set()
        avoid = set(self._checked.avoid)
        if hedge and self._first_source is not None:
            tried.add(self._first_source)
            avoid.add(self._first_source)
        fresh = hedge
        retry_after_s = None
        reason = 'no-backend'
        moved_to = None
        for turn in range(MAX_ATTEMPTS):
            self._attempts += 1
            attempt = _attempt.Attempt(
                self._node,
                self._checked,
                self._req.target,
                self._body,
                self._attempts,
            )
            first = turn == 0 and not hedge
            decision = await attempt.route(
                frozenset(tried), frozenset(avoid), first, moved_to
            )
            if isinstance(decision, request.NoSlot):
                if hedge and turn == 0 and tried:
                    # There is no other destination. The hedge goes to the
                    # same one over a fresh connection.
                    tried.clear()
                    continue
                if decision.reason != 'no-backend':
                    reason = decision.reason
                if retry_after_s is None:
                    retry_after_s = decision.retry_after_s
                break
            if not hedge:
                self._first_source = _source(decision)
                self._sent_at = time.monotonic()
            moved_to = _moved_to(decision)
            answer = await attempt.send(decision, fresh)
            if answer.outcome is request.Outcome.DONE:
                return answer
            await answer.close()
            tried.add(answer.source)
            avoid.add(answer.source)
            retry_after_s = answer.retry_after_s
            reason = 'full' if retry_after_s else answer.reason
            self._check_repeat(answer)
            fresh = fresh or answer.outcome is request.Outcome.UNKNOWN
        raise self._final_error(reason, retry_after_s)

    def _check_repeat(self, answer):
        """Raise the final error if no other attempt may follow.

        Raises
        ======
        errors.EbonypickError
            If the attempt was the last; the error carries its outcome.
        """
        info = self._checked.info
        if answer.outcome is request.Outcome.UNKNOWN:
            if info.idempotent:
                self._node.connections.retire(answer.source)
            late = info.deadline <= time.monotonic()
            again = request.may_send_again(info, answer.outcome)
            if late or not again or not self._body.repeatable:
                raise self._unknown_error(answer.reason, late)
            if not self._node.layouts.budgets[info.service].take():
                raise self._unknown_error(answer.reason, late)
        elif not self._body.repeatable:
            raise errors.NoCapacityError(service=info.service, retry_after_s=1)

    def _unknown_error(self, reason, late):
        if late:
            return errors.AnswerTimeoutError(waited_ms=self._waited_ms())
        return errors.UnknownOutcomeError(reason=reason)

    def _waited_ms(self):
        return round((time.monotonic() - self._started_at) * 1000)

    def _final_error(self, reason, retry_after_s):
        service = self._checked.info.service
        if reason == 'deadline':
            return errors.DeadlineError(waited_ms=self._waited_ms())
        if reason == 'no-backend':
            return errors.NoBackendError(service=service)
        return errors.NoCapacityError(
            service=service, retry_after_s=round(retry_after_s or 1, 1)
        )

    def _own_headers(self, outcome):
        names = connection.headers
        node = self._node
        req = self._checked.info.req if self._checked else '-'
        rows = [
            (names.OUTCOME, str(outcome)),
            (names.REQUEST_ID, req),
            (names.CONFIG_VERSION, str(node.board.number)),
        ]
        if self._forwarded and self._checked:
            load = node.layouts.services[self._checked.info.service].load
            rows.append((names.LOAD, _attempt.format_load(load)))
        else:
            rows.append((names.KEY_PREFIX, node.key_prefix()))
        if node.board.leaving:
            rows.append((names.LEAVING, '1'))
        return rows

    async def _respond_error(self, exc):
        self._note(exc.outcome, exc.status)
        body, headers = connection.problem(exc)
        rows = self._own_headers(exc.outcome)
        rows.append(
            (
                connection.headers.PROXY_STATUS,
                f'{self._node.settings.host}; error=proxy_internal_response; '
                f'details="{exc.code}"',
            )
        )
        await self._req.respond(exc.status, headers + rows, body)

    def _note(self, outcome, status):
        service = self._checked.info.service if self._checked else 'none'
        events.ANSWERED.log(
            req=self._checked.info.req if self._checked else None,
            service=service,
            outcome=str(outcome),
            status=status,
        )
        if not self._forwarded:
            metrics = self._node.metrics
            metrics.requests.labels(service, str(outcome)).inc()
            waited_s = time.monotonic() - self._started_at
            metrics.seconds.labels(service).observe(waited_s)

    async def _pass_on(self, answer):
        """Send the answer to the caller; abort if it cannot be completed."""
        self._note(answer.outcome, answer.status)
        rows = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in ('content-length', 'proxy-status')
        ]
        rows += self._own_headers(answer.outcome)
        rows.append(
            (
                connection.headers.PROXY_STATUS,
                f'{self._node.settings.host}; received-status={answer.status}',
            )
        )
        length = _content_length(answer)
        if answer.complete:
            if self._req.method != 'HEAD':
                await self._req.respond(answer.status, rows, answer.start)
            else:
                await self._req.start(answer.status, rows, length)
                await self._req.end()
            return
        await self._req.start(answer.status, rows, length)
        await self._stream(answer)

    async def _stream(self, answer):
        await self._write(answer.start)
        try:
            while True:
                async with asyncio.timeout(ANSWER_STALL_S):
                    part = await answer.resp.content.readany()
                if not part and answer.resp.content.at_eof():
                    break
                await self._write(part)
        except asyncio.CancelledError:
            raise
        except Exception:
            # The head is already sent, so closing the connection is the only
            # way to signal that the answer is incomplete.
            self._req.abort()
            return
        await self._req.end()

    async def _write(self, part):
        if not part:
            return
        if self._forwarded and self._checked.info.foreign:
            await self._node.links.pace(self._checked.home_region, len(part))
        await self._req.write(part)


def _source(decision):
    if isinstance(decision, request.Placed):
        return decision.backend
    return decision.owner


def _moved_to(decision):
    """Return the region that a shift moves the request to, or None."""
    if isinstance(decision, request.Forward) and decision.reason == 'shift':
        return decision.region
    return None


def _content_length(answer):
    for name, value in answer.headers:
        if name.lower() == 'content-length':
            return int(value)
    return None


def _replay(record):
    """Return the recorded answer of an earlier request with the key."""
    answer = _attempt.Answer(request.Outcome.DONE, 'record')
    answer.status = record.status
    answer.headers = [tuple(row) for row in record.headers]
    answer.start = _claims.record_body(record)
    return answer


async def _first_success(tasks):
    """Return the first result; raise the last error if all tasks fail."""
    pending = set(tasks)
    error = None
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None:
                return task.result()
            error = task.exception()
    raise error

"""Serves one request of a caller at a steering host."""

import asyncio
import time

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _attempt_series
from ebonypick.process import _body
from ebonypick.process import _job
from ebonypick.process import _transfer
from ebonypick import whole_numbers

# Bodies up to this length are buffered, so that another attempt can send them
# again.
BODY_BUFFER_BYTES = 1 << 20
MAX_ATTEMPTS_DIGITS = 4
# A host that answers a request of another host with one of these errors cannot
# take any request, or not with the configuration that the other host has.
UNABLE_ERRORS = (errors.NotReadyError, errors.NoRouteError)
# Retry-After of a host without a configuration; it usually receives one within
# this time.
NOT_READY_RETRY_S = 0.5


class Forward:
    """Serves one request of a caller.

    Parameters
    ==========
    node : SteeringHost
        The owner of the connections and of the routing state.
    req : connection.CallerRequest
        The request.
    relayed : bool
        Whether another entry host passed it on to this one.
    """

    def __init__(self, node, req, relayed=False):
        self._node = node
        self._req = req
        self._relayed = relayed
        self._started_at = req.received_at
        self._head = platform.caller_request(req)
        self._cfg = node.board.version
        self._route = None
        self._service = ''
        self._status = 0

    async def run(self):
        """Serve the request; it ends in an answer or a closed connection."""
        outcome, why = 'cancelled', 'the caller left'
        try:
            outcome, why = await self._serve()
        except errors.EbonypickError as exc:
            outcome, why = exc.outcome, str(exc)
            await self._respond_error(exc)
        finally:
            self._log_end(outcome, why)

    def _log_end(self, outcome, why):
        took_s = time.monotonic() - self._started_at
        events.REQUEST_ENDED.log(
            req=self._head.req,
            route=self._route.name if self._route else None,
            status=self._status,
            outcome=str(outcome),
            why=why,
            took_ms=round(took_s * 1000),
            config=self._cfg.number if self._cfg else None,
            relayed_by=self._req.client if self._relayed else None,
        )
        metrics = self._node.metrics
        metrics.requests.labels(self._service, str(outcome)).inc()
        metrics.seconds.labels(self._service).observe(took_s)

    async def _respond_error(self, exc):
        if self._req.started:
            self._req.abort()
            return
        self._status = exc.status
        body, headers = connection.problem(exc)
        rows = [row for row in headers if row[0] != 'retry-after']
        rows += platform.own_answer_headers(self._head.req, exc.retry_after_s)
        if self._relayed and isinstance(exc, UNABLE_ERRORS):
            rows.append((connection.headers.UNABLE, exc.code))
        await self._respond(exc.status, rows, body)

    async def _respond(self, status, headers, body):
        if self._node.leaving:
            self._req.close_after()
        await self._req.respond(status, headers, body)

    async def _serve(self):
        job = self._accept()
        series = _attempt_series.AttemptSeries(self._node, job)
        try:
            async with asyncio.timeout_at(job.end_at):
                await job.body.read_start()
                if not job.route.kind.idempotent:
                    await self._req.turn()
                result = await series.run()
        except TimeoutError:
            result = series.failure
            if result is None or self._req.started:
                raise self._timeout_error(series.sent) from None
        finally:
            self._status = series.status
        if result.answer is not None:
            await self._pass_on(job, result)
        return result.outcome, result.why

    def _timeout_error(self, sent):
        if sent:
            waited_ms = round((time.monotonic() - self._started_at) * 1000)
            return errors.AnswerTimeoutError(waited_ms=waited_ms)
        return errors.RequestRejectedError(
            service=self._service,
            reason='its time ended before it was sent',
            retry_after_s=NOT_READY_RETRY_S,
        )

    def _accept(self):
        """Check the request and return the job for its attempts.

        Raises
        ======
        errors.NotReadyError, errors.RequestError, errors.NoRouteError
            If the request cannot be served.
        """
        if self._relayed and self._node.leaving:
            raise errors.NotReadyError(
                reason='it is stopping', retry_after_s=NOT_READY_RETRY_S
            )
        if self._cfg is None:
            raise errors.NotReadyError(
                reason='it has no configuration yet',
                retry_after_s=NOT_READY_RETRY_S,
            )
        if not self._head.req:
            raise errors.RequestError(reason='it has no id')
        self._route = self._cfg.find(self._head.host, self._req.path)
        if self._route is None:
            raise errors.NoRouteError(
                host=self._head.host[:80], path=self._req.path[:80]
            )
        route = self._route
        self._service = self._node.choose_service(route)
        waits_s = min(route.timeout_s, self._head.deadline_s or 1e9)
        body = _body.RequestBody(
            self._req,
            self._cfg.limits.body_bytes,
            self._service,
            BODY_BUFFER_BYTES,
        )
        if not self._relayed:
            self._node.repeats.note_request(self._service)
        return _job.Job(
            self._req,
            self._head,
            self._cfg,
            route,
            self._service,
            body,
            self._started_at + waits_s,
            self._max_attempts(route),
            self._relayed,
        )

    def _max_attempts(self, route):
        """Return how many servers may still receive the request.

        Raises
        ======
        errors.RequestError
            If the host that passed it on sent no valid number.
        """
        if not self._relayed:
            return route.max_attempts
        text = self._req.headers.get(connection.headers.ATTEMPTS, '')
        attempts = whole_numbers.parse_whole(text, MAX_ATTEMPTS_DIGITS)
        if attempts is None:
            raise errors.RequestError(reason='its number of attempts is bad')
        return min(route.max_attempts, attempts)

    async def _pass_on(self, job, result):
        answer = result.answer
        self._status = answer.status
        rows = _transfer.answer_headers(job, answer, result.backend)
        await self._respond(answer.status, rows, result.body)

"""One attempt to send a steering host's request to a backend server."""

import asyncio
import dataclasses
import time

from ebonypick import connection
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _job
from ebonypick.process import _transfer
from ebonypick import request

# Time to find out whether a server whose connection broke has crashed: one
# round trip to another region, with a margin.
CRASH_CHECK_S = 0.3


class ServerAttempt:
    """One attempt; owns the exchange with the backend server.

    Parameters
    ==========
    node : SteeringHost
        The owner of the connections and of the routing state.
    job : Job
        The request.
    choice : request.Chosen
        The chosen server and the reason for the choice.
    number : int
        Ordinal number of the attempt, from 1; attempts that got no connection
        are not counted.
    """

    # The entry host that was asked to serve the request: none was.
    host = None

    def __init__(self, node, job, choice, number):
        self._node = node
        self._job = job
        self._choice = choice
        self._number = number
        self._sent_at = time.monotonic()
        self._ticket = node.fleet.sent(
            choice.entry.instance, job.object_key, self._sent_at
        )
        self.sent = False
        self._answered = False
        # HTTP status sent to the caller by this attempt; 0 if none was sent.
        self.status = 0

    @property
    def instance(self):
        """The name of the backend server instance."""
        return self._choice.entry.instance

    async def run(self):
        """Make the attempt and return its result."""
        fleet = self._node.fleet
        entry = self._choice.entry
        self._log_sent()
        try:
            result = await self._exchange(entry)
        except connection.ConnectFailedError as exc:
            fleet.unreachable(entry.instance, time.monotonic())
            self._node.reach.note_failed(entry.instance)
            result = _job.AttemptResult(
                request.Outcome.NOT_RUN,
                f'no connection: {exc}',
                may_have_arrived=False,
            )
        except connection.BadAnswerError as exc:
            fleet.record_malformed_answer(self._ticket, time.monotonic())
            result = _job.AttemptResult(request.Outcome.UNKNOWN, str(exc))
        except connection.LostError as exc:
            result = _job.AttemptResult(request.Outcome.UNKNOWN, str(exc))
            if self.sent and not self._answered:
                await self._note_if_crashed(entry)
        finally:
            fleet.ended(self._ticket, time.monotonic())
        if not result.final:
            self._log_ended(result)
        self._node.metrics.attempts.labels(
            self._job.service, str(result.outcome)
        ).inc()
        return result

    async def _note_if_crashed(self, entry):
        """Record a crash if the server also refuses new connections.

        A host that is cut off from all servers is refused by each of them.
        """
        try:
            async with asyncio.timeout(CRASH_CHECK_S):
                async with self._node.pool(entry).new_connection():
                    return
        except connection.ConnectFailedError as exc:
            if not isinstance(exc.__cause__, ConnectionRefusedError):
                return
            self._node.fleet.unreachable(entry.instance, time.monotonic())
            self._node.reach.note_failed(entry.instance)
            if await self._node.reach.reaches_servers():
                self._node.crashes.note_crash(self._job, entry)
        except TimeoutError:
            # A server that is cut off does not refuse connections.
            return

    def _log_sent(self):
        events.SENT.log(
            req=self._job.head.req,
            route=self._job.route.name,
            service=self._job.service,
            backend=self._choice.entry.instance,
            attempt=self._number,
            why=self._choice.why,
            on_hand=round(self._choice.on_hand, 2),
            report_age_s=self._choice.report_age_s,
            limit_per_s=self._choice.limit_per_s,
            passed_limited=self._choice.passed_limited,
            config=self._job.cfg.number,
            in_force=self._node.board.number,
            homes=sorted(self._job.regions(self._node.board.version)),
        )

    def _log_ended(self, result):
        events.ATTEMPT_ENDED.log(
            req=self._job.head.req,
            backend=self._choice.entry.instance,
            outcome=str(result.outcome),
            why=result.why,
            took_ms=round((time.monotonic() - self._sent_at) * 1000),
            unreached=self._node.reach.unreached_count,
        )

    async def _exchange(self, entry):
        pool = self._node.pool(entry)
        async with pool.connection(self._job.head.req) as conn:
            why = self._withheld_reason(entry)
            if why is not None:
                return _job.AttemptResult(
                    request.Outcome.NOT_RUN, why, may_have_arrived=False
                )
            self.sent = True
            await self._send(conn, entry)
            answer = await conn.head()
            self._answered = True
            head = platform.answer_head(answer.status, answer.by_name)
            body = await conn.read_whole()
            failed = answer.status >= 500 and not head.not_run
            self._apply_answer(entry, head, failed)
            result = self._judge(answer, head)
            if result.answer is None:
                return result
            if body is not None:
                return dataclasses.replace(result, body=body)
            if result.failed:
                # The answer is too long to be buffered as the fallback if
                # no other attempt succeeds.
                return dataclasses.replace(result, answer=None)
            return await self._stream(conn, answer)

    def _withheld_reason(self, entry):
        """Return why the server may not get the request any more, or None.

        Opening a connection to another region takes some time.
        """
        if self._node.fleet.withholds(self._ticket, time.monotonic()):
            return 'withheld: the server asked for a pause or named a limit'
        if not self._node.in_home(self._job, entry.data_centre):
            return _job.MOVED_HOME
        return None

    def _apply_answer(self, entry, head, failed):
        """Update the state of the server from the headers of its answer."""
        news = self._node.fleet.answered(
            self._ticket,
            head,
            failed,
            time.monotonic(),
            self._node.wall_clock.now_ms(),
        )
        if not head.not_run:
            self._node.crashes.note_answer(self._job)
        req = self._job.head.req
        if news.leaving_start_ms is not None:
            self._node.store_view.note_server_leaving(
                entry.instance, news.leaving_start_ms, req
            )
        if news.limit is not None:
            self._node.note_limit(entry.instance, news.limit, 'an answer', req)
        if news.unreadable_limit is not None:
            events.BACKEND_LIMIT_UNREADABLE.log(
                backend=entry.instance, header=news.unreadable_limit, req=req
            )
        if head.hold_off_s:
            events.BACKEND_HOLDS_OFF.log(
                backend=entry.instance, req=req, span_s=head.hold_off_s
            )

    async def _send(self, conn, entry):
        rows = platform.forward_head(
            self._job.req, entry.instance, self._job.remaining_s()
        )
        await _transfer.send_request(conn, self._job, rows)

    def _judge(self, answer, head):
        """Return the result that an answer gives the attempt."""
        verdict = request.judge(answer.status, head)
        if verdict.outcome is not request.Outcome.DONE:
            return _job.AttemptResult(verdict.outcome, verdict.why)
        failed = answer.status >= 500 and self._may_follow()
        return _job.AttemptResult(
            verdict.outcome,
            verdict.why,
            answer=answer,
            failed=failed,
            backend=self.instance,
        )

    def _may_follow(self):
        """Return whether another attempt may follow this one."""
        job = self._job
        return (
            job.route.kind.idempotent
            and self._number < job.max_attempts
            and job.body.repeatable
            and job.remaining_s() > self._node.fleet.work_s(job.service)
        )

    async def _stream(self, conn, answer):
        self.status = answer.status
        return await _transfer.stream_answer(
            self._node, self._job, conn, answer, self.instance
        )

"""One attempt to send a steering host's request to a backend server."""

import asyncio
import dataclasses
import functools
import time

from ebonypick import connection
from ebonypick import events
from ebonypick import platform
from ebonypick import request

# Time to find out whether a server whose connection broke has crashed: one
# round trip to another region, with a margin.
CRASH_CHECK_S = 0.3
BODYLESS_METHODS = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS'})


@dataclasses.dataclass(frozen=True)
class Job:
    """An accepted request; all of its attempts share it.

    Parameters
    ==========
    req : connection.CallerRequest
        The request as received.
    head : request.CallerHead
        The parsed headers of the request.
    cfg : version.TrafficConfig
        The configuration that applies to the request.
    route : version.Route
        The route of the request.
    service : str
        The service chosen by the weights of the route.
    body : RequestBody
        The body of the request.
    end_at : float
        The deadline of the request, in seconds of the monotonic clock.
    """

    req: object
    head: object
    cfg: object
    route: object
    service: str
    body: object
    end_at: float

    @functools.cached_property
    def digest(self):
        """What identifies the request when a caller sends it again."""
        return request.fingerprint(
            self.req.method.encode(),
            self.head.host.encode(errors='surrogateescape'),
            self.req.target.encode(errors='surrogateescape'),
            self.head.caller.encode(errors='surrogateescape'),
            self.body.start,
            str(self.req.content_length).encode(),
        )

    @property
    def object_key(self):
        """The object key of the request; None if its route is not sticky."""
        return self.head.object_key if self.route.sticky else None

    def remaining_s(self):
        """Return the seconds left until the deadline."""
        return self.end_at - time.monotonic()


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The result of one attempt.

    Parameters
    ==========
    outcome : Outcome
        Whether the request was run.
    why : str
        The reason, for logs and error messages.
    response_started : bool
        Whether the caller has received the answer or the start of it.
    may_have_arrived : bool
        Whether the request may have reached the backend server.
    answer : connection.Answer or None
        The answer, if all of it has been read.
    body : bytes
        The body of the answer.
    failed : bool
        Whether the answer is a server error and another attempt may succeed.
    """

    outcome: request.Outcome
    why: str
    response_started: bool = False
    may_have_arrived: bool = True
    answer: connection.Answer | None = None
    body: bytes = b''
    failed: bool = False

    @property
    def final(self):
        """Whether this result is the final answer to the caller."""
        if self.failed:
            return False
        return self.response_started or self.answer is not None


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
            result = AttemptResult(
                request.Outcome.NOT_RUN,
                f'no connection: {exc}',
                may_have_arrived=False,
            )
        except connection.BadAnswerError as exc:
            fleet.record_malformed_answer(self._ticket, time.monotonic())
            result = AttemptResult(request.Outcome.UNKNOWN, str(exc))
        except connection.LostError as exc:
            result = AttemptResult(request.Outcome.UNKNOWN, str(exc))
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
        """Record a crash if the server also refuses new connections."""
        try:
            async with asyncio.timeout(CRASH_CHECK_S):
                async with self._node.pool(entry).new_connection():
                    return
        except connection.ConnectFailedError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                self._node.fleet.unreachable(entry.instance, time.monotonic())
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

    def _matches_request(self, status, by_name):
        found = platform.answer_head(status, by_name).req
        if found == self._job.head.req:
            return True
        events.MISMATCHED_ANSWER.log(req=self._job.head.req, found=found)
        return False

    async def _exchange(self, entry):
        pool = self._node.pool(entry)
        async with pool.connection(self._job.head.req) as conn:
            if self._node.fleet.withholds(self._ticket, time.monotonic()):
                return AttemptResult(
                    request.Outcome.NOT_RUN,
                    'withheld: the server asked for a pause or named a limit',
                    may_have_arrived=False,
                )
            self.sent = True
            await self._send(conn, entry)
            answer = await conn.head()
            self._answered = True
            head = platform.answer_head(answer.status, answer.by_name)
            start, whole = await conn.read_start()
            failed = answer.status >= 500 and not head.not_run
            self._apply_answer(entry, head, failed)
            result = self._judge(answer, head)
            if result.answer is None:
                return result
            if whole:
                return dataclasses.replace(result, body=start)
            if result.failed:
                # The answer is too long to be buffered as the fallback if
                # no other attempt succeeds.
                return dataclasses.replace(result, answer=None)
            return await self._stream(conn, answer, start)

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
        req = self._job.req
        rows = platform.forward_head(
            req, entry.instance, self._job.remaining_s()
        )
        method = req.method
        data = self._job.body.data(_no_pacing)
        whole = data is None or isinstance(data, bytes)
        if whole:
            length = len(data or b'')
            if method in BODYLESS_METHODS and not length:
                length = None
        else:
            length = req.content_length
            if length is None:
                rows.append(('transfer-encoding', 'chunked'))
        first = connection.request_bytes(method, req.target, rows, length)
        if whole:
            conn.start(
                first + (data or b''), self._matches_request, method == 'HEAD'
            )
            return
        conn.start(first, self._matches_request, method == 'HEAD')
        await self._send_streamed(conn, data, length is None)

    async def _send_streamed(self, conn, data, chunked):
        """Stream a body that is longer than the buffer."""
        async for part in data:
            if conn.answer_started:
                # The server answered early. It does not need the rest of the
                # body, and the connection cannot be reused.
                conn.close_after()
                return
            if chunked:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            conn.write(part)
            await conn.wait_until_writable()
        if chunked:
            conn.write(b'0\r\n\r\n')

    def _judge(self, answer, head):
        """Return the result that an answer gives the attempt."""
        verdict = request.judge(answer.status, head)
        if verdict.outcome is not request.Outcome.DONE:
            return AttemptResult(verdict.outcome, verdict.why)
        failed = answer.status >= 500 and self._may_follow()
        return AttemptResult(
            verdict.outcome, verdict.why, answer=answer, failed=failed
        )

    def _may_follow(self):
        """Return whether another attempt may follow this one."""
        job = self._job
        return (
            job.route.kind.idempotent
            and self._number < job.route.max_attempts
            and job.body.repeatable
            and job.remaining_s() > self._node.fleet.work_s(job.service)
        )

    async def _stream(self, conn, answer, start):
        """Stream a long answer to the caller as it arrives."""
        self.status = answer.status
        req = self._job.req
        if self._node.leaving:
            req.close_after()
        length = answer.by_name.get('content-length')
        await req.start(
            answer.status,
            forwarded_headers(answer.headers),
            int(length) if length is not None else None,
        )
        try:
            part = start
            while part:
                await req.write(part)
                part = await conn.read()
            await req.end()
        except connection.LostError as exc:
            req.abort()
            return AttemptResult(
                request.Outcome.UNKNOWN, f'cut: {exc}', response_started=True
            )
        return AttemptResult(
            request.Outcome.DONE,
            f'status {answer.status}',
            response_started=True,
        )


def forwarded_headers(headers):
    """Return the headers of an answer that are forwarded to the caller."""
    return [
        (name, value)
        for name, value in connection.headers.end_to_end(headers)
        if name.lower() != 'content-length'
    ]


async def _no_pacing(size):
    return None

"""One attempt to have another entry host serve a request."""

import time

from ebonypick import connection
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _job
from ebonypick.process import _transfer
from ebonypick import request


class HostAttempt:
    """One attempt; owns the exchange with the other entry host.

    Parameters
    ==========
    node : SteeringHost
        The owner of the connections and of the routing state.
    job : Job
        The request.
    host : str
        The entry host.
    attempts : int
        Maximum number of backend servers to which it may send the request.
    """

    def __init__(self, node, job, host, attempts):
        self._node = node
        self._job = job
        self.host = host
        self._attempts = attempts
        self._started_at = time.monotonic()
        # Number of backend servers that may have received the request.
        self.sent = 0
        # HTTP status streamed to the caller; 0 if none was.
        self.status = 0

    @property
    def instance(self):
        """The name of the entry host."""
        return self.host

    async def run(self):
        """Make the attempt and return its result."""
        relays = self._node.relays
        relays.begin(self.host)
        try:
            result = await self._exchange()
        except connection.ConnectFailedError as exc:
            self._node.gossip.note_unreachable(self.host)
            result = _job.AttemptResult(
                request.Outcome.NOT_RUN,
                f'no connection: {exc}',
                may_have_arrived=False,
            )
        except (connection.BadAnswerError, connection.LostError) as exc:
            result = _job.AttemptResult(request.Outcome.UNKNOWN, str(exc))
        finally:
            relays.end(self.host)
        if result.outcome is request.Outcome.NOT_RUN:
            self.sent = 0
        self._log_ended(result)
        return result

    def _log_ended(self, result):
        events.RELAYED.log(
            req=self._job.head.req,
            route=self._job.route.name,
            service=self._job.service,
            host=self.host,
            outcome=str(result.outcome),
            why=result.why,
            took_ms=round((time.monotonic() - self._started_at) * 1000),
            config=self._job.cfg.number,
        )
        self._node.metrics.relayed.labels(
            self._job.service, str(result.outcome)
        ).inc()

    async def _exchange(self):
        rows = platform.relay_head(self._job.req, self._job.remaining_s())
        rows.append((connection.headers.ATTEMPTS, str(self._attempts)))
        pool = self._node.relays.pool(self.host)
        async with pool.connection(self._job.head.req) as conn:
            centre = self._node.centre_of(self.host)
            if not self._node.in_home(self._job, centre):
                return _job.AttemptResult(
                    request.Outcome.NOT_RUN,
                    _job.MOVED_HOME,
                    may_have_arrived=False,
                )
            self.sent = self._attempts
            await _transfer.send_request(conn, self._job, rows)
            answer = await conn.head()
            body = await conn.read_whole()
            why = answer.by_name.get(connection.headers.UNABLE)
            if why is not None:
                self._node.relays.note_unable(self.host)
                return _job.AttemptResult(
                    request.Outcome.NOT_RUN, why, may_have_arrived=False
                )
            outcome = self._apply_answer(answer)
            if body is None:
                return await self._stream(conn, answer)
            return _job.AttemptResult(
                outcome, f'status {answer.status}', answer=answer, body=body
            )

    async def _stream(self, conn, answer):
        self.status = answer.status
        return await _transfer.stream_answer(
            self._node, self._job, conn, answer
        )

    def _apply_answer(self, answer):
        """Return the outcome that an answer shows; note what it tells.

        An answer without a server's seal that says the request was not run
        is the other host's own.
        """
        head = platform.answer_head(answer.status, answer.by_name)
        if head.sealed:
            self._node.reach.note_relayed_answer()
            self._note_leaving(head, answer.by_name)
        elif answer.status in request.NOT_RUN_STATUSES:
            return request.Outcome.NOT_RUN
        elif answer.status >= 500:
            return request.Outcome.UNKNOWN
        return request.Outcome.DONE

    def _note_leaving(self, head, by_name):
        """Exclude a server that announced in the answer that it leaves."""
        backend = by_name.get(connection.headers.BACKEND)
        if head.leaving and backend is not None:
            self._node.store_view.receive_leaving(
                backend, self._node.wall_clock.now_ms(), self.host
            )

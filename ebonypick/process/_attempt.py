"""One attempt to send a request to a backend server or another owner."""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp

from ebonypick import connection
from ebonypick import events
from ebonypick.process import _service
from ebonypick import request

# Answers with a Content-Length up to this limit are read completely before
# they are forwarded, so that a read whose answer is truncated can be sent
# again.
ANSWER_BUFFER_BYTES = 65_536


@dataclasses.dataclass
class Answer:
    """The answer of an attempt; it owns the unread rest of the body.

    Parameters
    ==========
    outcome : Outcome
        Whether the request was run.
    status : int
        HTTP status; 0 if there is no answer to forward.
    headers : list of (str, str)
        End-to-end headers.
    start : bytes
        The part of the body that was read.
    complete : bool
        Whether ``start`` is the whole body.
    resp : aiohttp.ClientResponse or None
        The response that the rest of the body is read from.
    reason : str
        The reason why there is no answer.
    retry_after_s : float or None
        The Retry-After of an owner that rejected the request.
    source : str
        The name of the backend server or entry host.
    stack : contextlib.AsyncExitStack
        Closes the response and releases the slot.
    """

    outcome: request.Outcome
    source: str
    status: int = 0
    headers: list = dataclasses.field(default_factory=list)
    start: bytes = b''
    complete: bool = True
    resp: aiohttp.ClientResponse | None = None
    reason: str = ''
    retry_after_s: float | None = None
    stack: contextlib.AsyncExitStack | None = None

    async def close(self):
        """Close the response and release its slot."""
        if self.stack is not None:
            await self.stack.aclose()


async def _read_answer(answer, resp, timeout_s):
    """Read the whole of a short answer, or the start of a long one.

    Raises
    ======
    connection.LostError
        If the answer is truncated or takes longer than ``timeout_s``.
    """
    answer.status = resp.status
    answer.headers = connection.headers.end_to_end(resp.headers.items())
    answer.resp = resp
    length = resp.headers.get('content-length')
    small = length is not None and int(length) <= ANSWER_BUFFER_BYTES
    limit = ANSWER_BUFFER_BYTES + 1 if small else 1
    try:
        async with asyncio.timeout(timeout_s):
            answer.start, answer.complete = await connection.read_start(
                resp, limit
            )
    except TimeoutError as exc:
        raise connection.LostError('no whole answer in time') from exc


class Attempt:
    """One attempt of a request at an entry host.

    Parameters
    ==========
    node : EntryHost
        The entry host that owns the connections.
    checked : CheckedRequest
        The request.
    path : str
        Path and query of the request.
    body : RequestBody
        The body of the request.
    number : int
        Ordinal number of the attempt, from 1.
    """

    def __init__(self, node, checked, path, body, number):
        self._node = node
        self._checked = checked
        self._path = path
        self._body = body
        self._task = node.layouts.services[checked.info.service]
        # Each attempt has its own request id, so that an answer to an earlier
        # attempt is not mistaken for the answer to this one.
        req = f'{checked.info.req}.{number}'
        self.info = dataclasses.replace(checked.info, req=req)

    def _remaining_s(self):
        return max(0.001, self.info.deadline - time.monotonic())

    async def route(self, tried, avoid, first, moved_to=None):
        """Return the routing decision of the service's task."""
        offer = request.Offer(
            self.info.req,
            self.info.deadline,
            self.info.foreign,
            self._checked.planned,
            avoid,
        )
        return await self._task.route(
            request.Arrival(offer, tried, first, self.info.forwarded, moved_to)
        )

    async def send(self, decision, fresh):
        """Send the request to the chosen destination.

        Parameters
        ==========
        decision : Placed or Forward
            The destination.
        fresh : bool
            Whether to open a new connection instead of a pooled one.

        Returns
        =======
        Answer
        """
        if isinstance(decision, request.Placed):
            answer = await self._send_to_backend(decision, fresh)
        else:
            answer = await self._send_to_owner(decision, fresh)
        self._node.metrics.attempts.labels(
            self.info.service, answer.outcome
        ).inc()
        return answer

    async def _no_pacing(self, size):
        return None

    def _finish(self, result):
        self._task.post(_service.Finish(self.info.req, result))

    async def _cancel_and_finish(self, link, result):
        """Cancel the request at the backend server, then free its slot."""
        await link.cancel(self.info.req)
        self._finish(result)

    async def _send_to_backend(self, placed, fresh):
        link = self._node.connections.backends.get(placed.backend)
        if link is None:
            self._finish(request.Result.CONNECT_FAILED)
            return Answer(
                request.Outcome.NOT_RUN,
                placed.backend,
                reason='not in the configuration',
            )
        stack = contextlib.AsyncExitStack()
        finish = request.Result.CANCELLED
        answer = Answer(request.Outcome.UNKNOWN, placed.backend)
        try:
            result, resp = await stack.enter_async_context(
                link.send(
                    self.info,
                    self._path,
                    self._checked.headers,
                    self._body.data(self._no_pacing),
                    fresh,
                    self._remaining_s(),
                )
            )
            finish = result
            answer.outcome = result.outcome
            if result is request.Result.SHED:
                events.SHED.log(
                    req=self.info.req, backend=placed.backend, limit=None
                )
                answer.reason = 'shed'
            else:
                await _read_answer(answer, resp, self._remaining_s())
        except connection.ConnectFailedError as exc:
            finish = request.Result.CONNECT_FAILED
            answer.outcome = request.Outcome.NOT_RUN
            answer.reason = str(exc)
        except (connection.LostError, connection.AnswerMismatchError) as exc:
            finish = request.Result.LOST
            answer.outcome = request.Outcome.UNKNOWN
            answer.status = 0
            answer.reason = str(exc)
        finally:
            if answer.status and not answer.complete:
                stack.callback(self._finish, finish)
                answer.stack = stack
            elif finish in (
                request.Result.LOST,
                request.Result.CANCELLED,
            ):
                self._node.tasks.start(self._cancel_and_finish(link, finish))
                await stack.aclose()
            else:
                self._finish(finish)
                await stack.aclose()
        return answer

    def _hop_headers(self, reason):
        names = connection.headers
        remaining_ms = max(1, int(self._remaining_s() * 1000))
        rows = [
            (names.SERVICE, self.info.service),
            (names.DEADLINE_MS, str(remaining_ms)),
            (names.REQUEST_ID, self.info.req),
            (names.HOP, self._node.settings.host),
            (names.HOP_REGION, self._checked.home_region),
            (names.HOP_REASON, reason),
            (names.CONFIG_VERSION, str(self._node.board.number)),
        ]
        if self._checked.avoid:
            rows.append((names.AVOID, ','.join(sorted(self._checked.avoid))))
        return self._checked.headers + rows

    async def _send_to_owner(self, forward, fresh):
        stack = contextlib.AsyncExitStack()
        answer = Answer(request.Outcome.UNKNOWN, forward.owner)
        load = None
        peer = self._node.connections.peers.get(forward.owner)

        async def pace(size):
            await self._node.links.pace(forward.region, size)

        try:
            if peer is None:
                raise connection.ConnectFailedError('not in the configuration')
            resp = await stack.enter_async_context(
                peer.request(
                    self.info.method,
                    self._path,
                    self._hop_headers(forward.reason),
                    self._body.data(pace),
                    fresh=fresh or not self.info.idempotent,
                    timeout_s=self._remaining_s(),
                )
            )
            load = _parse_load(resp.headers.get(connection.headers.LOAD))
            await self._take_answer(answer, resp)
        except connection.ConnectFailedError as exc:
            self._node.note_failed_peer(forward.owner)
            answer.outcome = request.Outcome.NOT_RUN
            answer.reason = str(exc)
        except connection.LostError as exc:
            answer.outcome = request.Outcome.UNKNOWN
            answer.status = 0
            answer.reason = str(exc)
        finally:
            self._task.post(
                _service.ForwardEnded(self.info.req, forward.owner, load)
            )
            if answer.status and not answer.complete:
                answer.stack = stack
            else:
                await stack.aclose()
        return answer

    async def _take_answer(self, answer, resp):
        names = connection.headers
        found = resp.headers.get(names.REQUEST_ID)
        if found != self.info.req:
            events.MISMATCHED_ANSWER.log(req=self.info.req, found=found)
            answer.reason = 'the answer names another request'
            return
        text = resp.headers.get(names.OUTCOME, 'unknown')
        answer.outcome = request.Outcome(text)
        if answer.outcome is request.Outcome.DONE:
            await _read_answer(answer, resp, self._remaining_s())
            return
        answer.reason = f'{answer.source} answered {resp.status}'
        retry_after = resp.headers.get(names.RETRY_AFTER)
        if retry_after is not None:
            answer.retry_after_s = float(retry_after)


def _parse_load(text):
    if not text:
        return None
    free, queued, capacity = (int(part) for part in text.split(','))
    return request.Load(free, queued, capacity)


def format_load(load):
    """Return the value of the load header between entry hosts."""
    return f'{load.free},{load.queued},{load.capacity}'

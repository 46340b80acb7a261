"""One attempt at a backend server or at another owner of slots."""

import contextlib
import dataclasses
import time

import aiohttp

from ebonypick import connection
from ebonypick import events
from ebonypick.process import _service
from ebonypick import request

# Answers known to be no longer than this are read whole before they are
# passed on, so that a read whose answer is truncated can be sent again.
ANSWER_BUFFER_BYTES = 65_536


@dataclasses.dataclass
class Answer:
    """What an attempt gave; it owns the rest of the body.

    Parameters
    ==========
    outcome : Outcome
        Whether the request was run.
    status : int
        HTTP status; 0 where there is no answer to pass on.
    headers : list of (str, str)
        End-to-end headers.
    start : bytes
        The body, as far as it was read.
    complete : bool
        Whether that is the whole body.
    resp : aiohttp.ClientResponse or None
        Gives the rest.
    reason : str
        Why there is no answer.
    retry_after_s : float or None
        When an owner that refused said to come back.
    source : str
        The backend server or entry host.
    stack : contextlib.AsyncExitStack
        Closes the response and gives the slot back.
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
        """Close the response; the slot is given back."""
        if self.stack is not None:
            await self.stack.aclose()


async def _read_answer(answer, resp):
    answer.status = resp.status
    answer.headers = connection.headers.end_to_end(resp.headers.items())
    answer.resp = resp
    length = resp.headers.get('content-length')
    small = length is not None and int(length) <= ANSWER_BUFFER_BYTES
    limit = ANSWER_BUFFER_BYTES + 1 if small else 1
    answer.start, answer.complete = await connection.read_start(resp, limit)


class Attempt:
    """Sends a request once; made for each attempt.

    Parameters
    ==========
    node : EntryHost
        The process's owner of connections.
    checked : CheckedRequest
        The request.
    path : str
        Path and query.
    body : RequestBody
        Its body.
    number : int
        Counts the attempts from 1.
    """

    def __init__(self, node, checked, path, body, number):
        self._node = node
        self._checked = checked
        self._path = path
        self._body = body
        self._task = node.layouts.services[checked.info.service]
        # Each attempt has an id of its own, so that an answer to an earlier
        # one is not taken for this one's.
        req = f'{checked.info.req}.{number}'
        self.info = dataclasses.replace(checked.info, req=req)

    def _remaining_s(self):
        return max(0.001, self.info.deadline - time.monotonic())

    async def route(self, tried, avoid, first, moved_to=None):
        """Ask the service's task where the request goes."""
        offer = request.Offer(
            self.info.req,
            self.info.deadline,
            self.info.foreign,
            self._checked.planned,
            avoid,
        )
        return await self._task.route(
            request.Arrival(offer, tried, first, self.info.passed, moved_to)
        )

    async def send(self, decision, fresh):
        """Carry a decision out.

        Parameters
        ==========
        decision : Placed or Forward
            Where to.
        fresh : bool
            Whether to open a connection of its own.

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
        """Free the slot only once the backend server has let go of it."""
        await link.cancel(self.info.req)
        self._finish(result)

    async def _send_to_backend(self, placed, fresh):
        link = self._node.ends.backends.get(placed.backend)
        if link is None:
            self._finish(request.Result.CONNECT_FAILED)
            return Answer(
                request.Outcome.NOT_RUN, placed.backend, reason='gone'
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
                await _read_answer(answer, resp)
        except connection.ConnectFailedError as exc:
            finish = request.Result.CONNECT_FAILED
            answer.outcome = request.Outcome.NOT_RUN
            answer.reason = str(exc)
        except (connection.LostError, connection.ForeignAnswerError) as exc:
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
        peer = self._node.ends.peers.get(forward.owner)

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
            events.FOREIGN_ANSWER.log(req=self.info.req, found=found)
            answer.reason = 'the answer names another request'
            return
        text = resp.headers.get(names.OUTCOME, 'unknown')
        answer.outcome = request.Outcome(text)
        if answer.outcome is request.Outcome.DONE:
            await _read_answer(answer, resp)
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
    """Return a load as it stands in the header between entry hosts."""
    return f'{load.free},{load.queued},{load.capacity}'

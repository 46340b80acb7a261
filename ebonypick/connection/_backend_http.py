"""The adapter for backend servers that use HTTP/1.1."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import msgspec

from ebonypick.connection import _adapters
from ebonypick.connection import _pool
from ebonypick import events
from ebonypick import json_text
from ebonypick import request

REQUEST_ID = 'x-request-id'
DEADLINE_MS = 'x-deadline-ms'
STATUS = 'x-request-status'
REPLACED_HEADERS = frozenset({REQUEST_ID, DEADLINE_MS})
PROBE_TIMEOUT_S = 1.0
# Maximum length of a server's answer to a control call. A host makes such
# calls to all of its servers at a time.
MAX_REPORT_BYTES = 16_384


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The body of a backend server's load report."""

    slots: int
    busy: int
    leaving: bool = False
    cold: bool = False


class AnswerMismatchError(Exception):
    """The answer carries the request id of another request."""


@_adapters.backend_adapters.register('http')
class BackendLink:
    """Connections to one backend server; an async context manager.

    Parameters
    ==========
    name : str
        Name of the backend server.
    address : str
        IP address of the backend server.
    port : int
        TCP port of the backend server.
    local_address : str, optional
        Local IP address to connect from.
    """

    def __init__(self, name, address, port, local_address=None):
        self.name = name
        self.pool = _pool.Pool(address, port, local_address)

    async def __aenter__(self):
        await self.pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self.pool.__aexit__(*exc_info)

    @contextlib.asynccontextmanager
    async def send(self, info, path, headers, data, fresh, timeout_s):
        """Send a caller's request; a context manager.

        It yields the result and the response as a pair.

        Parameters
        ==========
        info : RequestInfo
            Description of the request.
        path : str
            Path and query as the caller sent them.
        headers : list of (str, str)
            End-to-end header fields.
        data : bytes or async generator or None
            The body.
        fresh : bool
            Whether to open a new connection for this request alone.
        timeout_s : float
            Maximum time until the response head arrives, in seconds.

        Raises
        ======
        AnswerMismatchError
            If the answer carries the request id of another request.
        connection.ConnectFailedError, connection.LostError
            As in ``Pool.request``.
        """
        own = [
            (REQUEST_ID, info.req),
            (DEADLINE_MS, str(max(1, int(timeout_s * 1000)))),
        ]
        # Header fields of these names that the caller sent are not for the
        # backend server; they are replaced.
        rows = [
            row for row in headers if row[0].lower() not in REPLACED_HEADERS
        ]
        async with self.pool.request(
            info.method,
            path,
            rows + own,
            data,
            fresh=fresh or not info.idempotent,
            timeout_s=timeout_s,
        ) as resp:
            found = resp.headers.get(REQUEST_ID)
            if found != info.req:
                events.MISMATCHED_ANSWER.log(req=info.req, found=found)
                raise AnswerMismatchError(
                    f'the answer is for request {found!r}'
                )
            shed = resp.headers.get(STATUS) == 'not-run'
            result = request.Result.SHED if shed else request.Result.DONE
            yield result, resp

    async def cancel(self, req):
        """Cancel a request; return whether it is certain not to have run."""
        try:
            status, body = await self.pool.call_json(
                'POST',
                f'/_control/cancel/{req}',
                timeout_s=PROBE_TIMEOUT_S,
                max_bytes=MAX_REPORT_BYTES,
            )
            return status == 200 and json_text.decode(body) == {
                'state': 'not-run'
            }
        except (
            _pool.ConnectFailedError,
            _pool.LostError,
            msgspec.MsgspecError,
        ):
            return False

    async def report(self):
        """Return the server's load report, or None if it sends no valid one.

        Raises
        ======
        connection.ConnectFailedError, connection.LostError
            If the server cannot be reached.
        """
        status, body = await self.pool.call_json(
            'GET',
            '/_control/load',
            timeout_s=PROBE_TIMEOUT_S,
            max_bytes=MAX_REPORT_BYTES,
        )
        if status != 200:
            return None
        try:
            found = json_text.decode(body, LoadReport)
        except msgspec.MsgspecError:
            return None
        return request.Report(
            found.busy, found.slots, found.leaving, found.cold
        )


def make_backend_link(kind, name, address, port, local_address=None):
    """Create the link to a backend server with the adapter ``kind``."""
    make = _adapters.backend_adapters.get(kind)
    return make(name, address, port, local_address)


async def read_start(resp, limit):
    """Read the start of a body until ``limit`` bytes are reached.

    Returns
    =======
    data : bytes
        The bytes read, which may exceed ``limit`` by a part of one read.
    ended : bool
        Whether ``data`` is the whole body.

    Raises
    ======
    connection.LostError
        If the body is truncated.
    """
    parts = []
    size = 0
    try:
        while size < limit:
            part = await resp.content.readany()
            if not part and resp.content.at_eof():
                return b''.join(parts), True
            parts.append(part)
            size += len(part)
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as exc:
        raise _pool.LostError(type(exc).__name__) from exc
    return b''.join(parts), resp.content.at_eof()

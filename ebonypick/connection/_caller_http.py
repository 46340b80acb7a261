"""The adapter of callers that speak HTTP/1.1."""

import asyncio
import socket

from ebonypick.connection import _adapters
from ebonypick.connection import _caller_stream
from ebonypick.connection import _headers
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text

# Until a configuration sets them.
HEAD_LIMIT_BYTES = 16_384
REQUEST_HEAD_TIMEOUT_S = 10
IDLE_TIMEOUT_S = 30
# Connections that wait to be accepted.
BACKLOG = 1024
PROBLEM_TYPE = 'application/problem+json'


def problem(exc):
    """Return the problem document of an error and its headers.

    Parameters
    ==========
    exc : errors.EbonypickError
        The error.

    Returns
    =======
    body : bytes
        JSON.
    headers : list of (str, str)
        Content type and, where it helps, Retry-After in whole seconds.

    References
    ==========
    .. [1] RFC 9457, Problem Details for HTTP APIs.
    """
    body = json_text.encode(
        {
            'type': f'urn:ebonypick:{exc.code.lower()}',
            'title': type(exc).__doc__.splitlines()[0],
            'status': exc.status,
            'code': exc.code,
            'detail': exc.detail,
            'remedy': exc.advice,
        }
    )
    headers = [('content-type', PROBLEM_TYPE)]
    if exc.retry_after_s is not None:
        whole = max(1, int(-(-float(exc.retry_after_s) // 1)))
        headers.append(('retry-after', str(whole)))
    return body, headers


def _as_error(exc):
    if isinstance(exc, errors.EbonypickError):
        return exc
    # Nothing is known about a request that failed in an unforeseen way.
    events.TASK_FAILED.log(task='request', why=f'{exc!r}')
    return errors.EbonypickError()


@_adapters.caller_adapters.register('http')
class CallerServer:
    """The server for callers; an async context manager.

    Parameters
    ==========
    address : str
        IP number to listen on.
    port : int
        TCP port; 0 for a free one.
    handler : coroutine function
        Is called with each CallerRequest and answers it.
    """

    def __init__(self, address, port, handler):
        self._address = address
        self._port = port
        self._handler = handler
        self._sock = None
        self._server = None
        # The port that it listens on.
        self.port = port
        self.connections = set()
        self.header_bytes = HEAD_LIMIT_BYTES
        self.header_s = REQUEST_HEAD_TIMEOUT_S
        self.idle_s = IDLE_TIMEOUT_S

    async def __aenter__(self):
        family = socket.AF_INET6 if ':' in self._address else socket.AF_INET
        try:
            self._sock = socket.create_server(
                (self._address, self._port), family=family, backlog=BACKLOG
            )
        except OSError as exc:
            raise errors.PortInUseError(
                address=self._address, port=self._port, reason=exc.strerror
            ) from exc
        self.port = self._sock.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            self._make_stream, sock=self._sock, backlog=BACKLOG
        )
        return self

    def _make_stream(self):
        return _caller_stream.CallerStream(self)

    async def __aexit__(self, *exc_info):
        self._server.close()
        for conn in list(self.connections):
            conn.abort()
        await self._server.wait_closed()

    # What connections ask of the server.

    async def serve(self, req):
        """Let the handler answer a request; answer it where that fails."""
        try:
            if req.method not in _caller_stream.METHODS:
                raise errors.MethodNotAllowedError(
                    method=req.method, known=', '.join(_caller_stream.METHODS)
                )
            await self._handler(req)
        except Exception as exc:
            await self.refuse(req, exc)
        finally:
            # Also where the handler was cancelled: nothing else answers it.
            if not req.answered:
                req.abort()

    async def refuse(self, req, exc):
        """Answer a request that failed, or break off its answer."""
        if req.started:
            events.TASK_FAILED.log(task='answer', why=f'{exc!r}')
            req.abort()
            return
        error = _as_error(exc)
        body, headers = problem(error)
        headers.append((_headers.OUTCOME, error.outcome))
        await req.respond(error.status, headers, body)

    # What the process asks of the server.

    def set_limits(self, header_bytes, header_s, idle_s):
        """Set the limits, also of connections that are open.

        Parameters
        ==========
        header_bytes : int
            Largest head of a request.
        header_s, idle_s : float
            Longest time for a head, and between two requests.
        """
        self.header_bytes = header_bytes
        self.header_s = header_s
        self.idle_s = idle_s
        for conn in self.connections:
            conn.limits_changed()

    @property
    def busy(self):
        """Whether a request or an unsent answer is on some connection."""
        return any(conn.busy for conn in self.connections)

    def open_connections(self):
        """Return the connections of callers."""
        return tuple(self.connections)

    @property
    def expects_first(self):
        """Whether a caller has connected and not sent a request yet."""
        return any(conn.expects_first for conn in self.connections)

    def close_idle(self, spare_new=False):
        """Close the connections on which no request is.

        Parameters
        ==========
        spare_new : bool
            Whether to leave those open whose first request has not come:
            their callers are about to send it.
        """
        for conn in list(self.connections):
            if conn.idle and not (spare_new and conn.expects_first):
                conn.end()

    async def _take_in(self, sock):
        """Serve a connection that was accepted by hand."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_stream, sock)
        except OSError as exc:
            # Its caller may have left meanwhile; the others are served.
            events.TASK_FAILED.log(task='accept', why=f'{exc!r}')
            sock.close()

    async def stop_listening(self, spare_new=False):
        """Take no new connections and close the idle ones.

        Those that wait to be accepted are taken first: their callers are
        connected already, and may have sent a request.
        """
        if self._server.is_serving():
            with self._sock.dup() as waiting:
                # Closing the last descriptor would reset what waits.
                self._server.close()
                accepted = _accept_all(waiting)
            for sock in accepted:
                await self._take_in(sock)
        await asyncio.sleep(0)
        self.close_idle(spare_new)


def _accept_all(listener):
    """Return the connections that wait to be accepted."""
    listener.setblocking(False)
    found = []
    while True:
        try:
            found.append(listener.accept()[0])
        except BlockingIOError:
            return found
        except OSError as exc:
            # No descriptor is left: the rest would be reset in any case.
            events.TASK_FAILED.log(task='accept', why=f'{exc!r}')
            return found


def make_caller_server(kind, address, port, handler):
    """Return the server for callers by the adapter ``kind``."""
    return _adapters.caller_adapters.get(kind)(address, port, handler)

"""The adapter for callers that use HTTP/1.1."""

import asyncio
import socket
import time

from ebonypick.connection import _adapters
from ebonypick.connection import _caller_stream
from ebonypick.connection import _client_budget
from ebonypick.connection import _headers
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text

# Defaults that apply until a configuration sets these limits.
HEAD_LIMIT_BYTES = 16_384
REQUEST_HEAD_TIMEOUT_S = 10
IDLE_TIMEOUT_S = 30
# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
PROBLEM_TYPE = 'application/problem+json'


def problem(exc):
    """Return the problem document of an error and the header fields for it.

    Parameters
    ==========
    exc : errors.EbonypickError
        The error to describe.

    Returns
    =======
    body : bytes
        The problem document, encoded as JSON.
    headers : list of (str, str)
        Content-Type and, if the error has a retry delay, Retry-After in
        whole seconds, rounded up.

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


def _to_ebonypick_error(exc):
    if isinstance(exc, errors.EbonypickError):
        return exc
    # The outcome of a request that failed with an unexpected error is unknown.
    events.TASK_FAILED.log(task='request', why=f'{exc!r}')
    return errors.EbonypickError()


@_adapters.caller_adapters.register('http')
class CallerServer:
    """HTTP server that accepts callers; an async context manager.

    Parameters
    ==========
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free port.
    handler : coroutine function
        Called with each CallerRequest; has to answer it.
    capacity : callable, optional
        Returns the ``Capacity`` that all connections have together now.
    """

    def __init__(
        self, address, port, handler, capacity=_client_budget.Capacity
    ):
        self._address = address
        self._port = port
        self._handler = handler
        self._sock = None
        self._server = None
        # The port that is in use once the server listens.
        self.port = port
        self.connections = set()
        self._capacity = capacity
        self._budget = _client_budget.ClientBudget(capacity())
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

    # Methods that connections call.

    def admit(self, conn):
        """Register a connection; return whether there is room for it.

        A connection that has been idle, or has waited for its client, may be
        closed in its favour.
        """
        self._budget.capacity = self._capacity()
        if self._budget.crowded:
            other = self._budget.to_close()
            events.CLIENTS_SHED.log(
                port=self.port,
                connections=len(self._budget),
                used_bytes=self._budget.used_bytes,
                closed=int(other is not None),
                why='connections',
            )
            if other is None:
                return False
            self._budget.remove(other)
            other.make_room()
        self.connections.add(conn)
        return True

    def forget(self, conn):
        """Remove a connection that is closed."""
        self.connections.discard(conn)
        self._budget.remove(conn)

    def note_held(self, conn, size, idle):
        """Note the memory of a connection; shed some if all hold too much.

        Parameters
        ==========
        conn : CallerStream
            The connection.
        size : int
            Memory in bytes.
        idle : bool
            Whether it has no request.
        """
        if conn not in self.connections:
            return
        self._budget.update(conn, size, idle)
        chosen = self._budget.to_shed(time.monotonic())
        if not chosen:
            return
        events.CLIENTS_SHED.log(
            port=self.port,
            connections=len(self._budget),
            used_bytes=self._budget.used_bytes,
            closed=len(chosen),
            why='memory',
        )
        for other in chosen:
            self._budget.remove(other)
            other.shed()

    @property
    def overloaded(self):
        """Whether the connections occupy all memory that they may."""
        return self._budget.full

    async def serve(self, req):
        """Run the handler; answer the request with an error if it fails."""
        try:
            if req.refusal is not None:
                raise req.refusal
            if req.method not in _caller_stream.METHODS:
                raise errors.MethodNotAllowedError(
                    method=req.method, known=', '.join(_caller_stream.METHODS)
                )
            await self._handler(req)
        except Exception as exc:
            await self.respond_error(req, exc)
        finally:
            # This covers a cancelled handler as well: nothing else would
            # answer its request.
            if not req.answered:
                req.abort()

    async def respond_error(self, req, exc):
        """Answer a request with an error, or abort an answer in progress."""
        if req.started:
            events.TASK_FAILED.log(task='answer', why=f'{exc!r}')
            req.abort()
            return
        error = _to_ebonypick_error(exc)
        body, headers = problem(error)
        headers.append((_headers.OUTCOME, error.outcome))
        await req.respond(error.status, headers, body)

    # Methods that the process calls.

    def set_limits(self, header_bytes, header_s, idle_s):
        """Set the limits of new and open connections.

        Parameters
        ==========
        header_bytes : int
            Maximum size of the head of a request in bytes.
        header_s : float
            Maximum time to receive the head of a request in seconds.
        idle_s : float
            Maximum time between two requests in seconds.
        """
        self.header_bytes = header_bytes
        self.header_s = header_s
        self.idle_s = idle_s
        for conn in self.connections:
            conn.limits_changed()

    @property
    def busy(self):
        """Whether any connection has a request or an unsent answer."""
        return any(conn.busy for conn in self.connections)

    def open_connections(self):
        """Return the open connections of callers."""
        return tuple(self.connections)

    @property
    def awaits_first_request(self):
        """Whether any connection has not received its first request yet."""
        return any(conn.awaits_first_request for conn in self.connections)

    def close_idle(self, keep_new=False):
        """Close the connections that have no request in progress.

        Parameters
        ==========
        keep_new : bool
            Whether to keep connections open that have not received their
            first request yet, since their callers are about to send it.
        """
        for conn in list(self.connections):
            if conn.idle and not (keep_new and conn.awaits_first_request):
                conn.end()

    async def _serve_accepted(self, sock):
        """Serve a connection that ``_accept_all`` has accepted."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_stream, sock)
        except OSError as exc:
            # The caller may have disconnected; the others are still served.
            events.TASK_FAILED.log(task='accept', why=f'{exc!r}')
            sock.close()

    async def stop_listening(self, keep_new=False):
        """Stop accepting connections and close the idle ones.

        Connections that wait in the backlog are accepted first: for their
        callers they are established, and requests may have been sent on
        them.

        Parameters
        ==========
        keep_new : bool
            As in ``close_idle``.
        """
        if self._server.is_serving():
            with self._sock.dup() as waiting:
                # The duplicate keeps the socket open: closing its last
                # descriptor would reset the waiting connections.
                self._server.close()
                accepted = _accept_all(waiting)
            for sock in accepted:
                await self._serve_accepted(sock)
        await asyncio.sleep(0)
        self.close_idle(keep_new)


def _accept_all(listener):
    """Accept all connections that wait in the backlog and return them."""
    listener.setblocking(False)
    found = []
    while True:
        try:
            found.append(listener.accept()[0])
        except BlockingIOError:
            return found
        except OSError as exc:
            # Without free descriptors, the remaining connections will be
            # reset in any case.
            events.TASK_FAILED.log(task='accept', why=f'{exc!r}')
            return found


def make_caller_server(
    kind, address, port, handler, capacity=_client_budget.Capacity
):
    """Create the server for callers with the adapter ``kind``."""
    make = _adapters.caller_adapters.get(kind)
    return make(address, port, handler, capacity)

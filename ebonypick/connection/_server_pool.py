"""Connection pools for backend servers."""

import asyncio
import collections
import contextlib

from ebonypick.connection import _exchange
from ebonypick.connection import _pool

# The callers' client library allows the same time for its connections.
CONNECT_TIMEOUT_S = 1.0


class ServerPool:
    """Connection pool for one backend server; an async context manager.

    Parameters
    ==========
    address : (str, int)
        IP address and TCP port of the backend server.
    local_address : str, optional
        Local IP address to connect from.
    on_opened : callable, optional
        Called after each new connection.
    """

    def __init__(self, address, local_address=None, on_opened=lambda: None):
        self.address = address
        self._on_opened = on_opened
        self._local_addr = (local_address, 0) if local_address else None
        self._idle = collections.deque()
        # The time-outs of connections that are being opened.
        self._opening = set()
        self._closed = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self.close()

    def close(self):
        """Close idle connections now and the others after their answer.

        Connections that are being opened are given up.
        """
        self._closed = True
        now = asyncio.get_running_loop().time()
        for limit in self._opening:
            if not limit.expired():
                limit.reschedule(now)
        while self._idle:
            self._idle.pop().abort()

    def _pop_usable(self, req):
        """Return an idle connection that has not carried a request, or None.

        A server may repeat its answer to the earlier attempt, which has the
        same id.
        """
        carried = []
        found = None
        while self._idle and found is None:
            conn = self._idle.pop()
            if not conn.usable:
                conn.abort()
            elif conn.has_carried(req):
                carried.append(conn)
            else:
                found = conn
        self._idle.extend(reversed(carried))
        return found

    async def _open(self):
        loop = asyncio.get_running_loop()
        try:
            async with self._connect_timeout():
                _, conn = await loop.create_connection(
                    _exchange.ServerConnection,
                    *self.address,
                    local_addr=self._local_addr,
                )
        except (OSError, TimeoutError) as exc:
            raise _pool.ConnectFailedError(repr(exc)) from exc
        self._on_opened()
        return conn

    @contextlib.asynccontextmanager
    async def _connect_timeout(self):
        async with asyncio.timeout(CONNECT_TIMEOUT_S) as limit:
            self._opening.add(limit)
            try:
                yield
            finally:
                self._opening.discard(limit)

    @contextlib.asynccontextmanager
    async def connection(self, req=None):
        """Return a context manager that yields a connection.

        On exit the connection returns to the pool if its answer was read to
        the end. Otherwise it is closed at once.

        Parameters
        ==========
        req : str, optional
            The id of the request to send. It is not sent on a connection that
            has carried a request with the same id.

        Raises
        ======
        connection.ConnectFailedError
            If no connection could be opened, so that nothing was sent.
        """
        conn = self._pop_usable(req) or await self._open()
        conn.carry(req)
        async with self._lent(conn):
            yield conn

    @contextlib.asynccontextmanager
    async def new_connection(self):
        """Do the same as ``connection``, but do not use an open one."""
        async with self._lent(await self._open()) as conn:
            yield conn

    @contextlib.asynccontextmanager
    async def _lent(self, conn):
        """Yield a connection; then put it back or close it."""
        try:
            yield conn
        except BaseException:
            conn.abort()
            raise
        if not conn.release():
            return
        if self._closed:
            conn.abort()
            return
        self._close_expired()
        self._idle.append(conn)

    def _close_expired(self):
        """Close the oldest idle connections that have expired."""
        while self._idle and not self._idle[0].usable:
            self._idle.popleft().abort()


class ServerPools:
    """The connection pools of several servers, by name.

    Parameters
    ==========
    on_opened : callable, optional
        Called after each new connection of any of them.
    """

    def __init__(self, on_opened=lambda: None):
        self._on_opened = on_opened
        self._pools = {}

    def get(self, name, address, local_address):
        """Return the pool of a server, a new one if its address changed."""
        pool = self._pools.get(name)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = ServerPool(address, local_address, self._on_opened)
            self._pools[name] = pool
        return pool

    def close(self, names=None):
        """Close the pools of the named servers, or all of them."""
        for name in list(self._pools) if names is None else names:
            if name in self._pools:
                self._pools.pop(name).close()


def request_bytes(method, target, headers, length):
    """Return the encoded head of a request.

    Examples
    ========
    >>> request_bytes('GET', '/a?b', [('host', 'c')], None)
    b'GET /a?b HTTP/1.1\\r\\nhost: c\\r\\n\\r\\n'

    Parameters
    ==========
    method, target : str
        Method and target, already percent-encoded.
    headers : iterable of (str, str)
        Names and values of the header fields.
    length : int or None
        Length of the body in bytes, or None for a request without a body.
    """
    rows = [f'{method} {target} HTTP/1.1\r\n']
    rows += [f'{name}: {value}\r\n' for name, value in headers]
    if length is not None:
        rows.append(f'content-length: {length}\r\n')
    rows.append('\r\n')
    return ''.join(rows).encode('utf-8', 'surrogateescape')

"""Pools of connections to backend servers."""

import asyncio
import collections
import contextlib

from ebonypick.connection import _exchange
from ebonypick.connection import _pool

# As long as a caller waits for one.
CONNECT_TIMEOUT_S = 1.0


class ServerPool:
    """The connections to one backend server; an async context manager.

    Parameters
    ==========
    address : (str, int)
        IP number and TCP port.
    local_address : str, optional
        IP number to connect from.
    """

    def __init__(self, address, local_address=None):
        self.address = address
        self._local = (local_address, 0) if local_address else None
        self._idle = collections.deque()
        self._closed = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the idle connections now, those in use after their answer."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    def _reuse(self):
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
            conn.abort()
        return None

    async def _open(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    _exchange.ServerConnection,
                    *self.address,
                    local_addr=self._local,
                )
        except (OSError, TimeoutError) as exc:
            raise _pool.ConnectFailedError(repr(exc)) from exc
        return conn

    @contextlib.asynccontextmanager
    async def connection(self):
        """Give a connection while the context lasts.

        It goes back to the pool if its answer was read to the end, and is
        closed at once otherwise.

        Raises
        ======
        connection.ConnectFailedError
            If none could be made; nothing was sent.
        """
        conn = self._reuse() or await self._open()
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
        self._trim()
        self._idle.append(conn)

    def _trim(self):
        """Close connections that have been idle for too long."""
        while self._idle and not self._idle[0].usable:
            self._idle.popleft().abort()


def request_bytes(method, target, headers, length):
    """Return the head of a request.

    Examples
    ========
    >>> request_bytes('GET', '/a?b', [('host', 'c')], None)
    b'GET /a?b HTTP/1.1\\r\\nhost: c\\r\\n\\r\\n'

    Parameters
    ==========
    method, target : str
        As they go over the wire.
    headers : iterable of (str, str)
        Names and values.
    length : int or None
        Length of the body; None where the method has none.
    """
    rows = [f'{method} {target} HTTP/1.1\r\n']
    rows += [f'{name}: {value}\r\n' for name, value in headers]
    if length is not None:
        rows.append(f'content-length: {length}\r\n')
    rows.append('\r\n')
    return ''.join(rows).encode('utf-8', 'surrogateescape')

"""Pooled connections to one address, which can be retired all at once."""

import asyncio
import contextlib

import aiohttp
import yarl

CONNECT_TIMEOUT_S = 1.0
IDLE_KEPT_S = 2.0
CONNECTIONS_MOST = 300
RETIRED_KEPT_S = 30.0
# The longest message of another host or the store: ten times the 500 rows of
# some hundred bytes that the store sends at most, in its own encoding.
MESSAGE_BYTES_MOST = 8 << 20


class ConnectFailedError(Exception):
    """No connection was made, so nothing was sent."""


class LostError(Exception):
    """The connection was lost after the request may have been sent."""


class BadAnswerError(LostError):
    """What came is no answer to the request, or more than one may hold."""


class Pool:
    """Connections to one address; an async context manager.

    Explanation
    ===========
    Connections that went silent cannot be told from slow ones one by one.
    When one is suspected, the pool starts a new generation: new requests
    open fresh connections, and the old ones close as they get idle.
    Requests that must not run twice always use a fresh connection: its
    opening proves the path, and a failure to open it means that nothing
    was sent.

    Parameters
    ==========
    address : str
        IP number.
    port : int
        TCP port.
    local_address : str, optional
        IP number to connect from.
    """

    def __init__(self, address, port, local_address=None):
        self._local = (local_address, 0) if local_address else None
        host = f'[{address}]' if ':' in address else address
        self.base = f'http://{host}:{port}'
        self.generation = 0
        self._session = None
        self._fresh = None
        self._retired = []

    async def __aenter__(self):
        self._session = self._make_session(fresh=False)
        self._fresh = self._make_session(fresh=True)
        return self

    async def __aexit__(self, *exc_info):
        for handle, session in self._retired:
            handle.cancel()
            await session.close()
        await self._session.close()
        await self._fresh.close()

    def _make_session(self, fresh):
        options = {} if fresh else {'keepalive_timeout': IDLE_KEPT_S}
        connector = aiohttp.TCPConnector(
            limit=CONNECTIONS_MOST,
            force_close=fresh,
            local_addr=self._local,
            **options,
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                'User-Agent',
                'Accept',
                'Accept-Encoding',
                'Content-Type',
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        # aiohttp would repeat a PUT or DELETE by itself on a reused
        # connection; here only the caller of the pool may repeat.
        session._retry_connection = False
        return session

    def retire(self):
        """Let new requests use fresh connections only."""
        old = self._session
        self.generation += 1
        self._session = self._make_session(fresh=False)
        loop = asyncio.get_running_loop()
        handle = loop.call_later(RETIRED_KEPT_S, self._close_retired)
        self._retired.append((handle, old))
        return self.generation

    def _close_retired(self):
        _, session = self._retired.pop(0)
        asyncio.ensure_future(session.close())

    @contextlib.asynccontextmanager
    async def request(
        self, method, path, headers=(), data=None, fresh=False, timeout_s=None
    ):
        """Send a request and give its response while the context lasts.

        Parameters
        ==========
        method : str
            HTTP method.
        path : str
            Path and query, encoded as they go over the wire.
        headers : iterable of (str, str)
            Header names and values.
        data : bytes or async generator, optional
            The body.
        fresh : bool
            Whether to open a connection of its own.
        timeout_s : float, optional
            Longest time to the response's head.

        Raises
        ======
        ConnectFailedError
            If nothing was sent.
        LostError
            If it is not known what became of the request.
        """
        session = self._fresh if fresh else self._session
        url = yarl.URL(self.base + path, encoded=True)
        try:
            async with asyncio.timeout(timeout_s):
                resp = await session.request(
                    method,
                    url,
                    headers=headers,
                    data=data,
                    allow_redirects=False,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise ConnectFailedError(str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise LostError(type(exc).__name__) from exc
        except TimeoutError as exc:
            raise LostError('no answer in time') from exc
        try:
            yield resp
        finally:
            # A response that was read to its end has given its connection
            # back already; any other connection must not be used again.
            resp.close()

    async def call_json(self, method, path, data=None, timeout_s=1.0):
        """Send a small request with a JSON body; return status and bytes.

        A connection that gives no answer in half the time is retired, and
        the request is sent once more on a fresh one. So this is only for
        requests that may arrive twice.

        Raises
        ======
        ConnectFailedError, LostError
            As in ``request``.
        """
        try:
            return await self._call(method, path, data, False, timeout_s / 2)
        except LostError:
            self.retire()
            return await self._call(method, path, data, True, timeout_s / 2)

    async def _call(self, method, path, data, fresh, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                async with self.request(
                    method, path, data=data, fresh=fresh
                ) as resp:
                    return resp.status, await read_message(resp)
        except TimeoutError as exc:
            raise LostError('no answer in time') from exc


async def read_message(resp):
    """Return the whole body of a response that is a message to this host.

    Parameters
    ==========
    resp : aiohttp.ClientResponse
        The response.

    Raises
    ======
    LostError
        If it is cut, or longer than MESSAGE_BYTES_MOST.
    """
    parts = []
    size = 0
    try:
        while part := await resp.content.readany():
            parts.append(part)
            size += len(part)
            if size > MESSAGE_BYTES_MOST:
                raise LostError('the message is too long')
    except (aiohttp.ClientError, OSError) as exc:
        raise LostError(type(exc).__name__) from exc
    return b''.join(parts)

"""Connection pool for one address whose connections can be retired."""

import asyncio
import contextlib
import functools

import aiohttp
from aiohttp import client_proto
import yarl

from ebonypick.connection import _coding

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 300
RETIRED_CLOSE_DELAY_S = 30.0
# Maximum length of a message from another host or the store. The store sends
# at most 500 rows of some hundred bytes each; this is ten times as much, in
# the store's own encoding.
MAX_MESSAGE_BYTES = 8 << 20

# Status codes of answers (RFC 9110, section 15).
STATUSES = range(100, 600)


class ConnectFailedError(Exception):
    """The connection could not be opened, so nothing was sent."""


class LostError(Exception):
    """The connection failed after the request may have been sent."""


class BadAnswerError(LostError):
    """The answer is malformed, exceeds a limit or is for another request."""


class _ResponseHandler(client_proto.ResponseHandler):
    """Fails a body without a length whose connection did not end cleanly.

    The library takes any end of the connection for the end of such a body, a
    reset as well.
    """

    def connection_lost(self, exc):
        """Fail the body before the library ends it."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc!r}')
            )
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Makes connections whose handlers tell a reset from an end."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(_ResponseHandler, loop=self._loop)


class Pool:
    """Connection pool for one address; an async context manager.

    Explanation
    ===========
    A single connection that no longer responds cannot be distinguished from
    a slow one. When a connection is suspected to have failed, the pool starts
    a new generation: new requests open new connections, and connections of
    the former generation close when they are idle, or at the latest after
    RETIRED_CLOSE_DELAY_S.

    Requests that must not run twice always use a fresh connection. Opening it
    proves that the path works, and a failure to open it means that nothing
    was sent.

    Parameters
    ==========
    address : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    local_address : str, optional
        Local IP address to connect from.
    """

    def __init__(self, address, port, local_address=None):
        self._local_addr = (local_address, 0) if local_address else None
        host = f'[{address}]' if ':' in address else address
        self.base = f'http://{host}:{port}'
        self.generation = 0
        self._session = None
        self._fresh_session = None
        self._retired = []

    async def __aenter__(self):
        self._session = self._make_session(fresh=False)
        self._fresh_session = self._make_session(fresh=True)
        return self

    async def __aexit__(self, *exc_info):
        for handle, session in self._retired:
            handle.cancel()
            await session.close()
        await self._session.close()
        await self._fresh_session.close()

    def _make_session(self, fresh):
        options = {} if fresh else {'keepalive_timeout': IDLE_TIMEOUT_S}
        connector = _Connector(
            limit=MAX_CONNECTIONS,
            force_close=fresh,
            local_addr=self._local_addr,
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
        # aiohttp would resend a PUT or DELETE on its own if a reused
        # connection fails; only the caller of the pool may resend requests.
        session._retry_connection = False
        return session

    def retire(self):
        """Start a new generation of connections and return its number."""
        old = self._session
        self.generation += 1
        self._session = self._make_session(fresh=False)
        loop = asyncio.get_running_loop()
        handle = loop.call_later(RETIRED_CLOSE_DELAY_S, self._close_retired)
        self._retired.append((handle, old))
        return self.generation

    def _close_retired(self):
        _, session = self._retired.pop(0)
        asyncio.ensure_future(session.close())

    @contextlib.asynccontextmanager
    async def request(
        self, method, path, headers=(), data=None, fresh=False, timeout_s=None
    ):
        """Send a request; a context manager that yields the response.

        Parameters
        ==========
        method : str
            HTTP method.
        path : str
            Path and query, already percent-encoded.
        headers : iterable of (str, str)
            Names and values of the header fields.
        data : bytes or async generator, optional
            The body.
        fresh : bool
            Whether to open a new connection for this request alone.
        timeout_s : float, optional
            Maximum time until the response head arrives, in seconds.

        Raises
        ======
        ConnectFailedError
            If no connection could be opened, so that nothing was sent.
        LostError
            If the request may have been sent but no response head arrived.
        """
        session = self._fresh_session if fresh else self._session
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
            if resp.status not in STATUSES:
                raise BadAnswerError(f'status {resp.status:03}')
            yield resp
        finally:
            # A response that was read to its end has already returned its
            # connection; any other connection must not be reused.
            resp.close()

    async def call_json(
        self,
        method,
        path,
        data=None,
        timeout_s=1.0,
        transfer_s=0.0,
        max_bytes=MAX_MESSAGE_BYTES,
        headers=(),
    ):
        """Send a request with a JSON body; return status and body.

        If no answer arrives within half of ``timeout_s``, the connections
        are retired and the request is sent once more on a fresh one. This
        method is therefore suitable only for requests that may arrive twice.

        Parameters
        ==========
        method, path : str
            HTTP method and path.
        data : bytes, optional
            The body.
        timeout_s : float
            Maximum time in seconds without any byte of the answer, for both
            tries together.
        transfer_s : float
            Maximum time in seconds that the answer may take beyond that, as
            long as its bytes keep arriving.
        max_bytes : int
            Maximum length of the answer's body in bytes, also once expanded.
        headers : iterable of (str, str)
            Names and values of the header fields.

        Raises
        ======
        ConnectFailedError, LostError
            As in ``request``.
        """

        async def call(fresh):
            return await self._call(
                method,
                path,
                headers,
                data,
                fresh,
                timeout_s / 2,
                transfer_s,
                max_bytes,
            )

        try:
            return await call(fresh=False)
        except LostError:
            self.retire()
            return await call(fresh=True)

    async def _call(
        self,
        method,
        path,
        headers,
        data,
        fresh,
        timeout_s,
        transfer_s,
        max_bytes,
    ):
        loop = asyncio.get_running_loop()
        last = loop.time() + timeout_s + transfer_s
        try:
            async with asyncio.timeout(timeout_s) as limit:

                def extend():
                    if transfer_s:
                        limit.reschedule(min(last, loop.time() + timeout_s))

                async with self.request(
                    method, path, headers, data, fresh
                ) as resp:
                    body = await read_message(resp, extend, max_bytes)
                    return resp.status, _expanded(resp, body, max_bytes)
        except TimeoutError as exc:
            raise LostError(f'no answer within {timeout_s} s') from exc


def _expanded(resp, body, max_bytes):
    """Return the body of a response without its content coding."""
    if resp.headers.get('content-encoding') != _coding.CODING:
        return body
    try:
        return _coding.expand(body, max_bytes)
    except ValueError as exc:
        raise BadAnswerError(str(exc)) from exc


async def read_message(
    resp, on_part=lambda: None, max_bytes=MAX_MESSAGE_BYTES
):
    """Return the whole body of a response from another host or the store.

    Parameters
    ==========
    resp : aiohttp.ClientResponse
        The response whose body is read.
    on_part : callable, optional
        Called after each part of the body.
    max_bytes : int
        Maximum length of the body in bytes.

    Raises
    ======
    LostError
        If the body is truncated or too long.
    """
    parts = []
    size = 0
    try:
        while part := await resp.content.readany():
            on_part()
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise LostError(f'body longer than {max_bytes} bytes')
    except (aiohttp.ClientError, OSError) as exc:
        raise LostError(type(exc).__name__) from exc
    return b''.join(parts)

"""Tests of bounded memory with servers that send bytes without end."""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest

from ebonypick import connection
from ebonypick.connection import _exchange
from ebonypick.connection import _pool

OK = b'HTTP/1.1 200 OK\r\nid: a\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nid: b\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
PART = b'y' * 16_384
# Exceeds what a host may buffer of one answer plus the socket buffers.
EXCESSIVE_BYTES = 32 << 20
TIMEOUT_S = 10
SERVERS = 50

# The first bytes and the bytes that are then repeated without end.
ENDLESS = {
    'one header field': (OK + b'x: ', PART),
    'header fields': (OK, b'x: ' + PART + b'\r\n'),
    'a status line': (b'HTTP/1.1 200 ', PART),
    'empty lines': (b'', b'\r\n' * 8_192),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 256),
    'an answer to another request': (
        OTHER + CHUNKED,
        b'4000\r\n' + PART + b'\r\n',
    ),
    'answers to other requests': (b'', OTHER + b'content-length: 2\r\n\r\nno'),
    'a chunk extension': (OK + CHUNKED + b'1;', PART),
    'trailer fields': (
        OK + CHUNKED + b'2\r\nno\r\n0\r\n',
        b'x: ' + PART + b'\r\n',
    ),
}


class _EndlessServer:
    """A server that sends until the client closes the connection."""

    def __init__(self, first, more):
        self._first = first
        self._more = more
        self.sent = 0
        self.closed = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        try:
            for data in itertools.chain([self._first], self._rest()):
                writer.write(data)
                self.sent += len(data)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed += 1
        writer.close()

    def _rest(self):
        while self.sent < EXCESSIVE_BYTES * SERVERS:
            yield self._more


async def _send_request(pool, read_all=True):
    async with pool.connection() as conn:
        data = connection.request_bytes('GET', '/', [('host', 'x')], None)
        conn.start(data, lambda _, names: names.get('id') == 'a', False)
        await conn.head()
        await conn.read_whole()
        while read_all and await conn.read():
            pass


async def _serve(endless, scenario):
    server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
    async with server:
        address = server.sockets[0].getsockname()[:2]
        async with connection.ServerPool(address) as pool:
            return await scenario(pool)


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_bytes_raise_bad_answer(kind):
    endless = _EndlessServer(*ENDLESS[kind])

    async def scenario(pool):
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(connection.BadAnswerError):
                await _send_request(pool)
            while not endless.closed:
                await asyncio.sleep(0.01)

    asyncio.run(_serve(endless, scenario))
    assert endless.sent < EXCESSIVE_BYTES


@pytest.mark.parametrize('kind', ENDLESS)
def test_memory_of_fifty_endless_answers_is_bounded(kind):
    """The peak memory stays within the bound of each connection."""
    endless = _EndlessServer(*ENDLESS[kind])

    async def scenario(pool):
        tracemalloc.start()
        try:
            async with asyncio.timeout(TIMEOUT_S * 3):
                await asyncio.gather(
                    *(_send_request(pool) for _ in range(SERVERS)),
                    return_exceptions=True,
                )
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    peak = asyncio.run(_serve(endless, scenario))
    assert peak < SERVERS * _exchange.MAX_BUFFERED_BYTES


def test_endless_body_is_read_at_the_pace_of_its_reader():
    endless = _EndlessServer(OK + b'\r\n', PART)

    async def scenario(pool):
        async with pool.connection() as conn:
            data = connection.request_bytes('GET', '/', [('host', 'x')], None)
            conn.start(data, lambda _, names: names.get('id') == 'a', False)
            await conn.head()
            body = await conn.read_whole()
            await asyncio.sleep(0.3)
            held = conn.held_bytes
            before = endless.sent
            await asyncio.sleep(0.3)
            return body, held, endless.sent - before

    body, held, more = asyncio.run(_serve(endless, scenario))
    assert body is None
    assert held <= _exchange.MAX_BUFFERED_BYTES
    assert more == 0


def test_a_part_of_an_endless_body_is_all_that_is_held():
    """Guards against a host that holds more of an answer than it writes."""
    endless = _EndlessServer(OK + b'\r\n', PART)

    async def scenario(pool):
        held = []
        async with pool.connection() as conn:
            data = connection.request_bytes('GET', '/', [('host', 'x')], None)
            conn.start(data, lambda _, names: names.get('id') == 'a', False)
            await conn.head()
            assert await conn.read_whole() is None
            for _ in range(20):
                part = await conn.read()
                await asyncio.sleep(0.02)
                held.append(conn.held_bytes + len(part))
        return held

    held = asyncio.run(_serve(endless, scenario))
    # The first parts were received before it was known that the body is long.
    assert max(held) <= _exchange.BUFFER_BYTES + _exchange.MAX_READ_BYTES
    assert max(held[3:]) <= _exchange.MAX_READ_BYTES


def test_bytes_after_a_whole_answer_end_its_connection_at_once():
    """This holds even if the answer has not been released yet."""
    whole = OK + b'content-length: 4\r\n\r\nours'
    endless = _EndlessServer(whole, OTHER + b'content-length: 2\r\n\r\nno')

    async def scenario(pool):
        async with asyncio.timeout(TIMEOUT_S):
            async with pool.connection() as conn:
                data = connection.request_bytes(
                    'GET', '/', [('host', 'x')], None
                )
                conn.start(data, lambda _, names: names.get('id') == 'a', 0)
                await conn.head()
                body = await conn.read_whole()
                while not endless.closed:
                    await asyncio.sleep(0.01)
                return body

    assert asyncio.run(_serve(endless, scenario)) == b'ours'
    assert endless.sent < EXCESSIVE_BYTES


def test_length_of_peer_messages_is_bounded():
    length = _pool.MAX_MESSAGE_BYTES * 2
    endless = _EndlessServer(
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length, PART
    )

    async def scenario():
        server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
        async with server:
            address = server.sockets[0].getsockname()[:2]
            async with connection.Pool(*address) as pool:
                with pytest.raises(connection.LostError):
                    await pool.call_json('GET', '/', timeout_s=TIMEOUT_S)

    asyncio.run(scenario())
    # ``call_json`` sends the request twice, and the bytes in the socket
    # buffers add to the sum.
    assert endless.sent < 4 * _pool.MAX_MESSAGE_BYTES


def test_endless_load_reports_are_cut_off_early():
    """Guards against faulty servers that fill the memory by their reports."""
    endless = _EndlessServer(OK + b'\r\n', PART)

    async def scenario():
        server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
        async with server, contextlib.AsyncExitStack() as stack:
            address = server.sockets[0].getsockname()[:2]
            links = [
                await stack.enter_async_context(
                    connection.make_backend_link('http', f's{n}', *address)
                )
                for n in range(SERVERS)
            ]
            tracemalloc.start()
            try:
                found = await asyncio.gather(
                    *(link.report() for link in links), return_exceptions=True
                )
                return found, tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

    found, peak = asyncio.run(scenario())
    assert {type(exc) for exc in found} == {connection.LostError}
    assert peak < SERVERS * _exchange.MAX_BUFFERED_BYTES

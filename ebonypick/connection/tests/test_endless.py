"""Servers that send bytes without end until their caller closes."""

import asyncio
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
# More than any host may keep of one answer, and than sockets hold.
FAR_TOO_MUCH = 32 << 20
TIMEOUT_S = 10
SERVERS = 50

# What is sent first, and what follows for ever.
ENDLESS = {
    'one header': (OK + b'x: ', PART),
    'headers': (OK, b'x: ' + PART + b'\r\n'),
    'a status line': (b'HTTP/1.1 200 ', PART),
    'empty lines': (b'', b'\r\n' * 8_192),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 256),
    'an answer to another': (OTHER + CHUNKED, b'4000\r\n' + PART + b'\r\n'),
    'answers to others': (b'', OTHER + b'content-length: 2\r\n\r\nno'),
    'the size of a part': (OK + CHUNKED + b'1;', PART),
    'rows after the parts': (
        OK + CHUNKED + b'2\r\nno\r\n0\r\n',
        b'x: ' + PART + b'\r\n',
    ),
}


class _Endless:
    """A server that sends until its caller closes."""

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
        while self.sent < FAR_TOO_MUCH * SERVERS:
            yield self._more


async def _ask(pool, read_all=True):
    async with pool.connection() as conn:
        data = connection.request_bytes('GET', '/', [('host', 'x')], None)
        conn.start(data, lambda _, names: names.get('id') == 'a', False)
        await conn.head()
        await conn.read_start()
        while read_all and await conn.read():
            pass


async def _serve(endless, play):
    server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
    async with server:
        address = server.sockets[0].getsockname()[:2]
        async with connection.ServerPool(address) as pool:
            return await play(pool)


@pytest.mark.parametrize('kind', ENDLESS)
def test_bytes_that_never_end_are_no_answer(kind):
    endless = _Endless(*ENDLESS[kind])

    async def play(pool):
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(connection.BadAnswerError):
                await _ask(pool)
            while not endless.closed:
                await asyncio.sleep(0.01)

    asyncio.run(_serve(endless, play))
    assert endless.sent < FAR_TOO_MUCH


@pytest.mark.parametrize('kind', ENDLESS)
def test_fifty_of_them_at_once_fit_a_bound(kind):
    """Their memory, by the bound that a connection states."""
    endless = _Endless(*ENDLESS[kind])

    async def play(pool):
        tracemalloc.start()
        try:
            async with asyncio.timeout(TIMEOUT_S * 3):
                await asyncio.gather(
                    *(_ask(pool) for _ in range(SERVERS)),
                    return_exceptions=True,
                )
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    peak = asyncio.run(_serve(endless, play))
    assert peak < SERVERS * _exchange.MAX_BUFFERED_BYTES


def test_a_body_without_end_is_read_as_its_reader_does():
    endless = _Endless(OK + b'\r\n', PART)

    async def play(pool):
        async with pool.connection() as conn:
            data = connection.request_bytes('GET', '/', [('host', 'x')], None)
            conn.start(data, lambda _, names: names.get('id') == 'a', False)
            await conn.head()
            _, whole = await conn.read_start()
            await asyncio.sleep(0.3)
            held = conn.held_bytes
            before = endless.sent
            await asyncio.sleep(0.3)
            return whole, held, endless.sent - before

    whole, held, more = asyncio.run(_serve(endless, play))
    assert not whole
    assert held <= _exchange.MAX_BUFFERED_BYTES
    assert more == 0


def test_bytes_after_a_whole_answer_end_its_connection_at_once():
    """While the caller is still taking that answer."""
    whole = OK + b'content-length: 4\r\n\r\nours'
    endless = _Endless(whole, OTHER + b'content-length: 2\r\n\r\nno')

    async def play(pool):
        async with asyncio.timeout(TIMEOUT_S):
            async with pool.connection() as conn:
                data = connection.request_bytes(
                    'GET', '/', [('host', 'x')], None
                )
                conn.start(data, lambda _, names: names.get('id') == 'a', 0)
                await conn.head()
                body, ended = await conn.read_start()
                while not endless.closed:
                    await asyncio.sleep(0.01)
                return body, ended

    assert asyncio.run(_serve(endless, play)) == (b'ours', True)
    assert endless.sent < FAR_TOO_MUCH


def test_a_message_of_another_host_or_the_store_has_a_bound():
    length = _pool.MESSAGE_BYTES_MOST * 2
    endless = _Endless(
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length, PART
    )

    async def play():
        server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
        async with server:
            address = server.sockets[0].getsockname()[:2]
            async with connection.Pool(*address) as pool:
                with pytest.raises(connection.LostError):
                    await pool.call_json('GET', '/', timeout_s=TIMEOUT_S)

    asyncio.run(play())
    # It is asked twice; what sockets hold comes on top.
    assert endless.sent < 4 * _pool.MESSAGE_BYTES_MOST

"""Answers on connections to a server that does not behave."""

import asyncio

import pytest

from ebonypick import connection

OURS = b'HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 4\r\n\r\nours'
OTHER = b'HTTP/1.1 200 OK\r\nid: b\r\ncontent-length: 5\r\n\r\nother'
UNFRAMED = b'HTTP/1.1 200 OK\r\nid: a\r\n\r\nours'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nou\r\n2\r\nrs\r\n0\r\n\r\n'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CUT = OURS[:-2]
TIMEOUT_S = 5


class _Script:
    """A server that sends given bytes for each request.

    Parameters
    ==========
    *steps : tuple of (bytes, str)
        What is sent, and what follows: ``keep``, ``close`` or ``reset``.
    """

    def __init__(self, *steps):
        self._steps = list(steps)
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            data, then = self._steps.pop(0)
            writer.write(data)
            if then == 'reset':
                writer.transport.abort()
            if then == 'close':
                writer.close()
            if then != 'keep':
                return


async def _ask(pool):
    async with pool.connection() as conn:
        data = connection.request_bytes('GET', '/', [('host', 'x')], None)
        conn.start(data, lambda _, names: names.get('id') == 'a', False)
        answer = await conn.head()
        body, ended = await conn.read_start()
        return answer.status, body, ended


def _play(script, count=1, pause_s=0.0):
    """Return the answers or errors of some requests in turn."""

    async def run():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        found = []
        async with connection.ServerPool(
            server.sockets[0].getsockname()[:2]
        ) as pool:
            for _ in range(count):
                try:
                    async with asyncio.timeout(TIMEOUT_S):
                        found.append(await _ask(pool))
                except connection.LostError as exc:
                    found.append(exc)
                await asyncio.sleep(pause_s)
        server.close()
        return found

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('data', 'then'),
    [
        (OURS, 'keep'),
        (OURS, 'close'),
        (CHUNKED, 'keep'),
        (CONTINUE + OURS, 'keep'),
        (UNFRAMED, 'close'),
        (OTHER + OURS, 'keep'),
    ],
)
def test_a_whole_answer_of_our_own_is_read(data, then):
    assert _play(_Script((data, then))) == [(200, b'ours', True)]


@pytest.mark.parametrize(
    ('data', 'then'),
    [
        (CUT, 'close'),
        (CHUNKED[:-5], 'close'),
        (OTHER, 'close'),
        (b'', 'reset'),
        (b'\x00\x01 no answer\r\n\r\n', 'close'),
    ],
)
def test_anything_else_is_lost(data, then):
    (found,) = _play(_Script((data, then)))
    assert isinstance(found, connection.LostError)


def test_an_extra_answer_is_never_the_next_one_s():
    script = _Script((OURS + OTHER, 'keep'), (OURS, 'keep'))
    found = _play(script, count=2, pause_s=0.05)
    assert found == [(200, b'ours', True)] * 2
    assert script.connections == 2


def test_a_late_answer_to_another_request_is_read_and_dropped():
    script = _Script((OURS, 'keep'), (OTHER + OURS, 'keep'))
    found = _play(script, count=2)
    assert found == [(200, b'ours', True)] * 2
    assert script.connections == 1


def test_connections_are_kept():
    script = _Script(*[(OURS, 'keep')] * 3)
    assert len(_play(script, count=3)) == 3
    assert script.connections == 1


def test_a_server_that_is_not_there_gets_nothing():
    async def run():
        server = await asyncio.start_server(_Script().serve, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()[:2]
        server.close()
        await server.wait_closed()
        async with connection.ServerPool(address) as pool:
            await _ask(pool)

    with pytest.raises(connection.ConnectFailedError):
        asyncio.run(run())


def test_a_connection_given_back_unused_is_idle_since_its_last_answer():
    """The server's own idle time-out began then."""
    script = _Script((OURS, 'keep'))

    async def run():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        async with connection.ServerPool(
            server.sockets[0].getsockname()[:2]
        ) as pool:
            await _ask(pool)
            async with pool.connection() as conn:
                before = conn.idle_until
            after = conn.idle_until
        server.close()
        return before, after

    before, after = asyncio.run(run())
    assert before == after

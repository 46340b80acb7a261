"""Tests of connections to a backend server that breaks the protocol."""

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
REFUSED = b'HTTP/1.1 503 Full\r\nid: a\r\ncontent-length: 0\r\n\r\n'
REFUSED_OTHER = REFUSED.replace(b'id: a', b'id: b')
TIMEOUT_S = 5


class _ScriptedServer:
    """A server that sends the given bytes for each request.

    Parameters
    ==========
    *steps : tuple of (bytes, str)
        The bytes to send and what then happens to the connection: ``keep``,
        ``close`` or ``reset``.
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
            data, next_step = self._steps.pop(0)
            writer.write(data)
            if next_step == 'reset':
                writer.transport.abort()
            if next_step == 'close':
                writer.close()
            if next_step != 'keep':
                return


async def _send_request(pool, req=None):
    async with pool.connection(req) as conn:
        data = connection.request_bytes('GET', '/', [('host', 'x')], None)
        conn.start(data, lambda _, names: names.get('id') == 'a', False)
        answer = await conn.head()
        body = await conn.read_whole()
        return answer.status, body, body is not None


def _send_requests(script, count=1, pause_s=0.0, req=None):
    """Send ``count`` requests in sequence; return answers or errors."""

    async def run():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        found = []
        async with connection.ServerPool(
            server.sockets[0].getsockname()[:2]
        ) as pool:
            for _ in range(count):
                try:
                    async with asyncio.timeout(TIMEOUT_S):
                        found.append(await _send_request(pool, req))
                except connection.LostError as exc:
                    found.append(exc)
                await asyncio.sleep(pause_s)
        server.close()
        return found

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('data', 'next_step'),
    [
        (OURS, 'keep'),
        (OURS, 'close'),
        (CHUNKED, 'keep'),
        (CONTINUE + OURS, 'keep'),
        (UNFRAMED, 'close'),
        (OTHER + OURS, 'keep'),
    ],
)
def test_expected_answer_is_read(data, next_step):
    assert _send_requests(_ScriptedServer((data, next_step))) == [
        (200, b'ours', True)
    ]


@pytest.mark.parametrize(
    ('data', 'next_step'),
    [
        (CUT, 'close'),
        (CHUNKED[:-5], 'close'),
        (OTHER, 'close'),
        (b'', 'reset'),
        (b'\x00\x01 no answer\r\n\r\n', 'close'),
    ],
)
def test_truncated_or_unexpected_answer_is_lost(data, next_step):
    (found,) = _send_requests(_ScriptedServer((data, next_step)))
    assert isinstance(found, connection.LostError)


def test_extra_answer_is_not_used_for_the_next_request():
    script = _ScriptedServer((OURS + OTHER, 'keep'), (OURS, 'keep'))
    found = _send_requests(script, count=2, pause_s=0.05)
    assert found == [(200, b'ours', True)] * 2
    assert script.connections == 2


def test_a_late_answer_to_another_request_is_read_and_dropped():
    script = _ScriptedServer((OURS, 'keep'), (OTHER + OURS, 'keep'))
    found = _send_requests(script, count=2)
    assert found == [(200, b'ours', True)] * 2
    assert script.connections == 1


def test_a_repeated_refusal_of_another_request_is_dropped():
    script = _ScriptedServer((OURS, 'keep'), (REFUSED_OTHER + OURS, 'keep'))
    found = _send_requests(script, count=2)
    assert found == [(200, b'ours', True)] * 2


def test_a_repeated_refusal_is_not_taken_for_that_of_the_same_id():
    """A caller sends its refused request again, with the same id.

    The server repeats its refusal on the old connection, on which it could
    not be told from an answer to the second attempt.
    """
    script = _ScriptedServer((REFUSED, 'keep'), (OURS, 'keep'))
    found = _send_requests(script, count=2, req='a')
    assert [status for status, *_ in found] == [503, 200]
    assert script.connections == 2


def test_connections_are_reused():
    script = _ScriptedServer(*[(OURS, 'keep')] * 3)
    assert len(_send_requests(script, count=3)) == 3
    assert script.connections == 1


def test_refused_connection_raises_connect_failed():
    async def run():
        server = await asyncio.start_server(
            _ScriptedServer().serve, '127.0.0.1', 0
        )
        address = server.sockets[0].getsockname()[:2]
        server.close()
        await server.wait_closed()
        async with connection.ServerPool(address) as pool:
            await _send_request(pool)

    with pytest.raises(connection.ConnectFailedError):
        asyncio.run(run())


def test_unused_connection_keeps_its_idle_limit():
    """The idle time-out of the server started at that answer."""
    script = _ScriptedServer((OURS, 'keep'))

    async def run():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        async with connection.ServerPool(
            server.sockets[0].getsockname()[:2]
        ) as pool:
            await _send_request(pool)
            async with pool.connection() as conn:
                before = conn.idle_until
            after = conn.idle_until
        server.close()
        return before, after

    before, after = asyncio.run(run())
    assert before == after

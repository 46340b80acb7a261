"""Answers whose head is cut off in the middle, on each kind of connection."""

import asyncio

import pytest

from ebonypick import connection

HEAD = (
    b'HTTP/1.1 200 OK\r\nid: a\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\n'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Within the status line, after it, within a header's name and its value,
# between two headers, and within the empty line that ends the head.
CUTS = (4, 15, 17, 20, 24, 40, 59, 60, len(HEAD) - 3, len(HEAD) - 1)
TIMEOUT_S = 5


def _run_with_server(data, ask):
    """Return the result of ``ask`` at a server that sends data and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(data)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await ask(*server.sockets[0].getsockname()[:2])
        finally:
            server.close()

    return asyncio.run(run())


async def _ask_backend(address, port, method='GET'):
    async with connection.ServerPool((address, port)) as pool:
        async with pool.connection() as conn:
            data = connection.request_bytes(method, '/', [('host', 'x')], None)
            conn.start(data, lambda status, names: True, method == 'HEAD')
            return (await conn.head()).status


async def _ask_peer(address, port):
    async with connection.Pool(address, port) as pool:
        async with pool.request('GET', '/') as resp:
            return resp.status, await connection.read_message(resp)


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('before', [b'', CONTINUE])
@pytest.mark.parametrize('cut', CUTS)
def test_a_truncated_head_of_a_server_is_no_answer(cut, before, method):
    async def ask(address, port):
        return await _ask_backend(address, port, method)

    with pytest.raises(connection.LostError):
        _run_with_server(before + HEAD[:cut], ask)


@pytest.mark.parametrize('cut', CUTS)
def test_a_truncated_head_of_another_process_is_no_answer(cut):
    with pytest.raises(connection.LostError):
        _run_with_server(HEAD[:cut], _ask_peer)

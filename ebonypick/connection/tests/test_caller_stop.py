"""Tests that a planned stop closes idle connections but no requests."""

import asyncio
import socket

import pytest
import uvloop

from ebonypick import connection

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


async def _answer(req):
    await asyncio.sleep(0)
    await req.respond(200, [], b'whole')


async def _stop_beside_a_request():
    """Close idle connections just after a request was received."""
    server = connection.make_caller_server('http', '127.0.0.1', 0, _answer)
    async with server:
        port = server.port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        first = await reader.readuntil(b'whole')
        while server.busy:
            await asyncio.sleep(0.01)
        (conn,) = server.open_connections()
        conn.data_received(REQUEST)
        server.close_idle()
        second = await asyncio.wait_for(reader.readuntil(b'whole'), 5)
        while server.busy:
            await asyncio.sleep(0.01)
        server.close_idle()
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    return first, second, rest


def test_a_request_that_is_read_is_answered_before_its_connection_closes():
    first, second, rest = asyncio.run(_stop_beside_a_request())
    assert first.startswith(b'HTTP/1.1 200')
    assert second.startswith(b'HTTP/1.1 200')
    assert rest == b''


async def _stop_before_a_first_request():
    """Stop listening after a caller has connected but sent no request."""
    server = connection.make_caller_server('http', '127.0.0.1', 0, _answer)
    async with server:
        address = '127.0.0.1', server.port
        reader, writer = await asyncio.open_connection(*address)
        while not server.awaits_first_request:
            await asyncio.sleep(0.01)
        await server.stop_listening(keep_new=True)
        writer.write(REQUEST)
        answer = await asyncio.wait_for(reader.readuntil(b'whole'), 5)
        while server.busy:
            await asyncio.sleep(0.01)
        expects = server.awaits_first_request
        writer.close()
    return answer, expects


def test_a_caller_that_connected_before_the_stop_is_answered():
    answer, expects = asyncio.run(_stop_before_a_first_request())
    assert answer.startswith(b'HTTP/1.1 200')
    assert not expects


def test_two_servers_on_port_zero_use_different_ports():
    async def listen():
        make = connection.make_caller_server
        async with make('http', '127.0.0.1', 0, _answer) as one:
            async with make('http', '127.0.0.1', 0, _answer) as other:
                return one.port, other.port

    one, other = asyncio.run(listen())
    assert one != other


async def _stop_with_a_backlog():
    """Stop while connections with requests wait to be accepted."""
    server = connection.make_caller_server('http', '127.0.0.1', 0, _answer)
    async with server:
        callers = []
        # The event loop does not run here, so nothing is accepted, as on a
        # busy machine.
        for _ in range(20):
            sock = socket.create_connection(('127.0.0.1', server.port))
            sock.sendall(REQUEST)
            callers.append(sock)
        await server.stop_listening(keep_new=True)
        answers = []
        for sock in callers:
            reader, writer = await asyncio.open_connection(sock=sock)
            answers.append(
                await asyncio.wait_for(reader.readuntil(b'whole'), 5)
            )
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(('127.0.0.1', server.port))
    return answers


@pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
def test_connections_that_wait_to_be_accepted_are_served(run):
    answers = run(_stop_with_a_backlog())
    assert len(answers) == 20
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)

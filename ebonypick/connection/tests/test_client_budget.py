"""Tests of what the clients of a listener occupy together."""

import asyncio
import contextlib

import pytest

from ebonypick import connection
from ebonypick.connection import _client_budget

MEMORY_BYTES = 4_000_000
UPLOAD_BYTES = 200_000
UPLOADS = 100
TIMEOUT_S = 10.0


class _Conn:
    """A connection that holds some memory since a time."""

    def __init__(self, size=1_000, since=0.0, sheddable=True):
        self.found = _client_budget.Holding(size, since, sheddable)

    def holding(self):
        return self.found


def _budget(conns, memory_bytes=MEMORY_BYTES, connections=1_000):
    capacity = _client_budget.Capacity(memory_bytes, connections)
    budget = _client_budget.ClientBudget(capacity)
    for conn in conns:
        budget.update(conn, conn.found.size, idle=False)
    return budget


def test_clients_that_stopped_are_shed_before_those_that_go_on():
    stopped = [_Conn(40_000, since=2.0) for _ in range(90)]
    uploads = [_Conn(200_000, since=9.9) for _ in range(2)]
    found = _budget(stopped + uploads).to_shed(now=10.0)
    assert 0 < len(found) < len(stopped)
    assert not set(found) & set(uploads)


def test_requests_at_servers_are_never_shed():
    budget = _budget(_Conn(500_000, 0.0, sheddable=False) for _ in range(9))
    assert budget.to_shed(now=10.0) == []
    assert budget.full


def test_nothing_is_shed_while_the_memory_suffices():
    budget = _budget([_Conn(2_900_000)])
    assert budget.to_shed(now=1e6) == []
    assert not budget.full


def test_shed_connections_leave_room():
    conns = [_Conn(100_000, since=float(n)) for n in range(40)]
    budget = _budget(conns)
    for conn in budget.to_shed(now=50.0):
        budget.remove(conn)
    assert budget.used_bytes <= _client_budget.SHED_DOWN_TO * MEMORY_BYTES


def test_the_connection_that_has_been_idle_longest_is_closed_first():
    conns = [_Conn() for _ in range(3)]
    budget = _budget([], connections=3)
    for conn in conns:
        budget.update(conn, 1_000, idle=True)
    budget.update(conns[0], 1_000, idle=False)
    budget.update(conns[0], 1_000, idle=True)
    assert budget.crowded
    assert budget.to_close() is conns[1]


def test_a_connection_at_a_server_is_not_closed_for_a_new_one():
    budget = _budget([_Conn(sheddable=False)], connections=1)
    assert budget.crowded
    assert budget.to_close() is None


@contextlib.asynccontextmanager
async def _serving(capacity):
    """Yield a server that reads bodies, and what it has read to the end."""
    served = []

    async def handle(req):
        size = 0
        while (part := await req.read(TIMEOUT_S)) is not None:
            size += len(part)
            req.retain(size)
        served.append(req.path)
        if req.path == '/slow':
            await asyncio.sleep(1.0)
        await req.respond(200, [])

    make = connection.make_caller_server
    async with make(
        'http', '127.0.0.1', 0, handle, lambda: capacity
    ) as server:
        yield server, served


async def _send(port, path, announced=0, body=b'', more=b''):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: {announced}\r\n\r\n'.encode()
        + body
        + more
    )
    return reader, writer


async def _status(reader):
    """Return the status of an answer; 0 for a connection that was closed."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    status = int(head.split()[1])
    if status == 503:
        # A refusal says when to come back, and that nothing was run.
        assert b'retry-after: ' in head and b'not-run' in head
        assert b'connection: close' in head
    return status


def test_uploads_that_stop_are_refused_and_others_are_served():
    async def scenario():
        capacity = connection.Capacity(MEMORY_BYTES, 1_000)
        async with _serving(capacity) as (server, served):
            stopped = [
                await _send(
                    server.port,
                    '/stops',
                    UPLOAD_BYTES,
                    bytes(UPLOAD_BYTES - 1),
                )
                for _ in range(UPLOADS)
            ]
            whole = 503
            async with asyncio.timeout(TIMEOUT_S):
                while whole != 200:
                    reader, _ = await _send(server.port, '/whole', 9, bytes(9))
                    whole = await _status(reader)
            refused = 0
            for reader, writer in stopped:
                if reader.at_eof() or reader._buffer:
                    refused += await _status(reader) in (0, 503)
                writer.close()
            return whole, refused, served

    whole, refused, served = asyncio.run(scenario())
    assert whole == 200
    assert served == ['/whole']
    # What the others hold fits.
    assert (UPLOADS - refused) * UPLOAD_BYTES <= MEMORY_BYTES


def test_new_requests_are_refused_while_requests_at_servers_hold_it_all():
    async def scenario():
        capacity = connection.Capacity(MEMORY_BYTES, 1_000)
        async with _serving(capacity) as (server, served):
            running = [
                await _send(server.port, '/slow', 5_000_000, bytes(5_000_000))
            ]
            # It is read as a whole, or refused while it is read.
            first = await _status(running[0][0])
            reader, _ = await _send(server.port, '/after')
            return first, await _status(reader), served

    first, after, served = asyncio.run(scenario())
    assert (first, after) == (503, 200)
    assert served == ['/after']


@pytest.mark.parametrize('idle', (True, False))
def test_new_connections_get_the_place_of_those_that_wait(idle):
    async def scenario():
        capacity = connection.Capacity(MEMORY_BYTES, 10)
        async with _serving(capacity) as (server, served):
            # Its client has begun to send the next request.
            slow, kept = await _send(server.port, '/slow', more=b'GET')
            crowd = []
            for _ in range(30):
                crowd.append(
                    await asyncio.open_connection('127.0.0.1', server.port)
                )
                if not idle:
                    crowd[-1][1].write(b'GET / HTTP/1.1\r\nX')
                await asyncio.sleep(0.01)
            count = len(server.connections)
            reader, _ = await _send(server.port, '/new')
            found = await _status(reader), await _status(slow)
            kept.close()
            return count, *found

    count, new, slow = asyncio.run(scenario())
    assert count <= 10
    assert (new, slow) == (200, 200)

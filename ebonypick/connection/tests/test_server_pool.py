"""Connection pools whose server cannot be reached."""

import asyncio
import contextlib
import socket
import time

import pytest

from ebonypick import connection
from ebonypick.connection import _server_pool


@contextlib.contextmanager
def _unreachable_address():
    """Yield an address at which new connections hang.

    Its queue of connections to accept is full, so that the first packet of
    another one is dropped.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            conn = stack.enter_context(socket.socket())
            conn.setblocking(False)
            conn.connect_ex(listener.getsockname())
        yield listener.getsockname()


async def _open_and_close(pool, close_after_s):
    """Return for how long a connection was being opened."""
    started_at = time.monotonic()
    asyncio.get_running_loop().call_later(close_after_s, pool.close)
    with pytest.raises(connection.ConnectFailedError):
        async with pool.connection():
            pass
    return time.monotonic() - started_at


def test_closing_a_pool_gives_up_connections_that_are_being_opened():
    async def run():
        with _unreachable_address() as address:
            pool = connection.ServerPool(address)
            return await _open_and_close(pool, 0.1)

    assert asyncio.run(run()) < _server_pool.CONNECT_TIMEOUT_S / 2


def test_a_connection_that_hangs_is_given_up_in_time():
    async def run():
        with _unreachable_address() as address:
            pool = connection.ServerPool(address)
            return await _open_and_close(pool, 10.0)

    assert asyncio.run(run()) < 2 * _server_pool.CONNECT_TIMEOUT_S

"""HTTP server loop of the stand-ins."""

import asyncio
import signal

import uvloop

from ebonypick import connection


async def _serve(address, port, handler):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with connection.make_caller_server('http', address, port, handler):
        await stopping.wait()


def serve(address, port, handler):
    """Serve requests with a coroutine function until SIGTERM or SIGINT."""
    uvloop.run(_serve(address, port, handler))


async def read_body(req, timeout_s=60):
    """Return the whole body of a request."""
    parts = []
    while (part := await req.read(timeout_s)) is not None:
        parts.append(part)
    return b''.join(parts)

"""A loopback proxy that delays, resets, cuts and silences connections."""

import asyncio
import time

PART_BYTES = 16_384
# Interval at which a blocked direction checks whether it is open again.
BLOCKED_POLL_S = 0.02
TO_BACK, TO_FRONT = 'to-back', 'to-front'


class Link:
    """A link whose connections share its rate in both directions together.

    Parameters
    ==========
    bytes_per_s : float
        Its rate.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def pass_bytes(self, size):
        """Wait until the link has carried some bytes."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)


class _Pair:
    """One proxied connection: both ends and the task that copies data."""

    def __init__(self, source, writer):
        self.source = source
        self.writers = [writer]
        self.silent = False
        self.copying = None

    def reset(self):
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()
        self.copying.cancel()


class Proxy:
    """Async context manager that forwards TCP connections to a target.

    Outgoing connections use the address of their client, so that the target
    sees the client's address.

    Parameters
    ==========
    front, back : (str, int)
        Listening address, with port 0 for any free port, and the target.
    """

    def __init__(self, front, back):
        self.front = front
        self.back = back
        self.delay_s = 0.0
        # The narrow links that connections pass, by their source; None is the
        # link of the target.
        self.links = {}
        # (source, direction) pairs that are blocked.
        self.cuts = set()
        self._pairs = set()
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, *self.front)
        self.front = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.reset()

    def _chosen(self, source):
        return [p for p in self._pairs if source in (None, p.source)]

    def reset(self, source=None):
        """Reset the open connections of one source, or all by default."""
        for pair in self._chosen(source):
            pair.reset()

    def silence(self, source=None):
        """Stop all data on open connections of one source, or on all."""
        for pair in self._chosen(source):
            pair.silent = True

    def _accept(self, reader, writer):
        pair = _Pair(writer.get_extra_info('peername')[0], writer)
        self._pairs.add(pair)
        pair.copying = asyncio.ensure_future(self._join(pair, reader, writer))
        pair.copying.add_done_callback(lambda _: self._end(pair))

    def _end(self, pair):
        self._pairs.discard(pair)
        if pair.copying.cancelled() or pair.copying.exception():
            pair.reset()

    async def _join(self, pair, reader, writer):
        # A connection opened during a cut gets through once the cut ends, as
        # a retransmitted SYN does.
        await self._wait_until_passable(pair, TO_BACK)
        back_reader, back_writer = await asyncio.open_connection(
            *self.back, local_addr=(pair.source, 0)
        )
        pair.writers.append(back_writer)
        await asyncio.gather(
            self._copy(pair, TO_BACK, reader, back_writer),
            self._copy(pair, TO_FRONT, back_reader, writer),
        )

    async def _wait_until_passable(self, pair, direction):
        while pair.silent or (pair.source, direction) in self.cuts:
            await asyncio.sleep(BLOCKED_POLL_S)

    async def _copy(self, pair, direction, reader, writer):
        while True:
            data = await reader.read(PART_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            for source in (None, pair.source):
                if source in self.links:
                    await self.links[source].pass_bytes(len(data))
            await self._wait_until_passable(pair, direction)
            if not data:
                # A closing peer closes both directions, as HTTP/1.1 peers
                # do. Data written before the close still arrives.
                writer.close()
                return
            writer.write(data)
            await writer.drain()

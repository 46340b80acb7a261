"""TCP proxies on loopback that simulate partitions and silent connections.

A proxy connects to its target from the address of the client, so that the
target sees the real peer address.
"""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 65_536


class _Connection:
    """One forwarded connection and its two copy tasks."""

    def __init__(self, source):
        self.source = source
        self.silent = False
        self.tasks = []
        self.writers = []
        self.closed = asyncio.Event()

    def close(self):
        self.closed.set()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()


class _Proxy:
    def __init__(self, listen_address, target_address):
        self.listen_address = listen_address
        self.target_address = target_address
        self.conns = set()
        self.cut_sources = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(
            self._accept, *self.listen_address
        )

    async def close(self):
        self.server.close()
        for conn in list(self.conns):
            conn.close()

    def is_cut(self, source):
        return '*' in self.cut_sources or source in self.cut_sources

    async def _accept(self, reader, writer):
        source = writer.get_extra_info('peername')[0]
        conn = _Connection(source)
        conn.writers.append(writer)
        self.conns.add(conn)
        try:
            if self.is_cut(source):
                # No data is forwarded, as on a link that drops packets.
                await conn.closed.wait()
                return
            target = await asyncio.open_connection(
                *self.target_address, local_addr=(source, 0)
            )
            conn.writers.append(target[1])
            directions = (
                self._copy(conn, reader, target[1]),
                self._copy(conn, target[0], writer),
            )
            copies = [
                asyncio.ensure_future(direction) for direction in directions
            ]
            conn.tasks = copies
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            conn.close()
            self.conns.discard(conn)

    async def _copy(self, conn, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while conn.silent or self.is_cut(conn.source):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()


class LinkProxies:
    """Named proxies in a thread with its own event loop; a context manager."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._proxies = {}

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        for proxy in self._proxies.values():
            self._call(proxy.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _call(self, coro):
        fut = asyncio.run_coroutine_threadsafe(coro, self._loop)
        return fut.result(5)

    def add(self, name, listen_address, target_address):
        """Forward connections from one (address, port) to another."""
        proxy = self._proxies[name] = _Proxy(listen_address, target_address)
        self._call(proxy.open())

    def cut(self, name, *sources):
        """Stop forwarding for the given client addresses, or for all."""

        async def change():
            self._proxies[name].cut_sources |= set(sources or ('*',))

        self._call(change())

    def silence(self, name, chosen=lambda source: True):
        """Stop forwarding on open connections; new connections work.

        Parameters
        ==========
        name : str
            Name of the proxy.
        chosen : callable
            Predicate on the client address that selects connections.

        Returns
        =======
        int
            Number of connections that this call made silent.
        """

        async def change():
            conns = [
                conn
                for conn in self._proxies[name].conns
                if chosen(conn.source) and not conn.silent
            ]
            for conn in conns:
                conn.silent = True
            return len(conns)

        return self._call(change())

    def heal(self):
        """End all cuts; close the connections that were silent or cut."""

        async def change():
            for proxy in self._proxies.values():
                cut = proxy.cut_sources
                proxy.cut_sources = set()
                for conn in list(proxy.conns):
                    if conn.silent or conn.source in cut or '*' in cut:
                        conn.close()

        self._call(change())

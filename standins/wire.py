"""A wire between two ends on loopback that can be cut or go silent.

It forwards TCP connections from the address of their client, so that the
other end sees whom it talks to.
"""

import asyncio
import contextlib
import threading

PART = 65_536


class _Conn:
    """One forwarded connection."""

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


class _Wire:
    def __init__(self, front, back):
        self.front = front
        self.back = back
        self.conns = set()
        self.cut_sources = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self._accept, *self.front)

    async def close(self):
        self.server.close()
        for conn in list(self.conns):
            conn.close()

    def is_cut(self, source):
        return '*' in self.cut_sources or source in self.cut_sources

    async def _accept(self, reader, writer):
        source = writer.get_extra_info('peername')[0]
        conn = _Conn(source)
        conn.writers.append(writer)
        self.conns.add(conn)
        try:
            if self.is_cut(source):
                # Nothing comes through, as on a link that drops packets.
                await conn.closed.wait()
                return
            far = await asyncio.open_connection(
                *self.back, local_addr=(source, 0)
            )
            conn.writers.append(far[1])
            ways = (
                self._copy(conn, reader, far[1]),
                self._copy(conn, far[0], writer),
            )
            copies = [asyncio.ensure_future(way) for way in ways]
            conn.tasks = copies
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            conn.close()
            self.conns.discard(conn)

    async def _copy(self, conn, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(PART):
                while conn.silent or self.is_cut(conn.source):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()


class Wires:
    """Wires in a thread with a loop of its own; a context manager."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._wires = {}

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        for wire in self._wires.values():
            self._call(wire.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _call(self, coro):
        fut = asyncio.run_coroutine_threadsafe(coro, self._loop)
        return fut.result(5)

    def add(self, name, front, back):
        """Forward from an (address, port) to another."""
        wire = self._wires[name] = _Wire(front, back)
        self._call(wire.open())

    def cut(self, name, *sources):
        """Let nothing more through from some addresses, or from all."""

        async def change():
            self._wires[name].cut_sources |= set(sources or ('*',))

        self._call(change())

    def silence(self, name, chosen=lambda source: True):
        """Make open connections silent for good; new ones work.

        Parameters
        ==========
        name : str
            The wire.
        chosen : callable
            Tells from a connection's source whether it is meant.

        Returns
        =======
        int
            How many went silent now.
        """

        async def change():
            conns = [
                conn
                for conn in self._wires[name].conns
                if chosen(conn.source) and not conn.silent
            ]
            for conn in conns:
                conn.silent = True
            return len(conns)

        return self._call(change())

    def heal(self):
        """End all cuts; what was silent or cut is closed."""

        async def change():
            for wire in self._wires.values():
                cut = wire.cut_sources
                wire.cut_sources = set()
                for conn in list(wire.conns):
                    if conn.silent or conn.source in cut or '*' in cut:
                        conn.close()

        self._call(change())

"""Crowds of clients that make a host hold as much as they can.

Every request of theirs is within the configured limits. The connections of a
crowd stay open, and most crowds do not read what they are answered.
"""

import asyncio
import dataclasses
import itertools
import socket
import typing

from ebonypick import registry
from tests import steering_calls

# Below the limit of a head in the configuration of the tests, 16,384 bytes.
HEAD_BYTES = 16_000
# What an event loop delivers in one call.
BURST_BYTES = 262_144
# Less than a host buffers before it passes a body on.
BODY_BYTES = 900_000
RECEIVE_BUFFER_BYTES = 4_096
DRIP_S = 1.0
# A crowd that cannot send everything is held up by the host on purpose.
SEND_TIMEOUT_S = 6.0

crowds = registry.Registry('crowd of clients')


@dataclasses.dataclass(frozen=True)
class Crowd:
    """What the connections of a crowd send.

    Parameters
    ==========
    data : callable
        Takes the number of a connection and returns the bytes it sends.
    connections : int
        Number of connections.
    reads : bool
        Whether the clients read what they are answered.
    drip : bytes
        What each connection sends again every DRIP_S after its data.
    returns : bool
        Whether clients whose connection is closed connect again at once.
    """

    data: typing.Callable
    connections: int
    reads: bool = False
    drip: bytes = b''
    returns: bool = False


def request(name, *lines, method='GET', kind='read'):
    """Return the head of a request with additional lines."""
    rows = [
        f'{method} /{kind}/{name} HTTP/1.1',
        f'Host: {steering_calls.HOST}',
        f'Attempt-Id: {name}',
        f'Deadline-Ms: {round(steering_calls.DEADLINE_S * 1000)}',
        # Hosts of the own interface serve the same request.
        'Ebonypick-Service: registry',
    ]
    head = '\r\n'.join(rows).encode() + b'\r\n'
    return head + b''.join(lines) + b'\r\n'


def fill(line, size=HEAD_BYTES):
    """Return distinct lines of a head that have ``size`` bytes together.

    Parameters
    ==========
    line : bytes
        A pattern with one place for a hexadecimal number.
    size : int
        Maximum size in bytes.
    """
    lines = []
    for number in itertools.count():
        size -= len(line % number)
        if size < 0:
            return lines
        lines.append(line % number)


def _pipeline(number, lines):
    """Return pipelined requests with these lines, as many as a burst has."""
    size = len(request('x' * 12, *lines))
    return b''.join(
        request(f'{number:06x}{n:06x}', *lines)
        for n in range(BURST_BYTES // size + 1)
    )


def _action(number, *lines):
    """Return the head of a request that has a body."""
    return request(f'{number:06x}', *lines, method='POST', kind='act')


@crowds.register('heads of short lines')
def short_lines():
    """Return a crowd whose heads have thousands of very short lines."""
    lines = fill(b'%x:\r\n', HEAD_BYTES - 200)
    return Crowd(lambda number: _pipeline(number, lines), 40)


@crowds.register('heads of lines with one name')
def equal_lines():
    """Return a crowd whose heads repeat one name of one letter."""
    lines = [b'a:\r\n'] * (HEAD_BYTES // 4 - 60)
    return Crowd(lambda number: _pipeline(number, lines), 40)


@crowds.register('heads of odd lines')
def odd_lines():
    """Return a crowd whose short values are not text in any encoding."""
    lines = fill(b'%x:\xff\xf0\x9f\x98\x80\r\n', HEAD_BYTES - 200)
    return Crowd(lambda number: _pipeline(number, lines), 40)


@crowds.register('heads without end')
def heads_without_end():
    """Return a crowd whose heads lack their last line."""
    lines = fill(b'%x:\r\n', HEAD_BYTES - 200)
    return Crowd(lambda number: request(f'{number:06x}', *lines)[:-2], 250)


@crowds.register('heads before a body that does not come')
def heads_without_body():
    """Return a crowd that announces bodies behind heads of short lines."""
    lines = fill(b'%x:\r\n', HEAD_BYTES - 250)
    lines.append(b'Content-Length: 1000\r\n')
    return Crowd(lambda number: _action(number, *lines), 250)


@crowds.register('heads of short lines that return')
def returning():
    """Return a crowd of complete heads that is not kept out by a close."""
    lines = fill(b'%x:\r\n', HEAD_BYTES - 200)
    lines.append(b'Connection: close\r\n')
    return Crowd(
        lambda number: request(f'{number:06x}', *lines),
        100,
        reads=True,
        returns=True,
    )


@crowds.register('idle connections that return')
def returning_idle():
    """Return a crowd of connections that are opened again when closed."""
    return Crowd(lambda number: b'', 400, reads=True, returns=True)


@crowds.register('bursts of small requests')
def small_requests():
    """Return a crowd that sends thousands of requests at once."""
    small = b'GET / HTTP/1.1\r\n\r\n'
    more = small * (BURST_BYTES // len(small))
    return Crowd(lambda number: request(f'{number:06x}') + more, 40)


@crowds.register('uploads without end')
def uploads_without_end():
    """Return a crowd that sends most of its bodies and then nothing."""
    length = b'Content-Length: 1000000\r\n'
    body = bytes(BODY_BYTES)
    return Crowd(lambda number: _action(number, length) + body, 150)


@crowds.register('slow uploads')
def slow_uploads():
    """Return a crowd whose bodies go on, one byte at a time."""
    length = b'Content-Length: 1000\r\nEbonypick-Deadline-Ms: 3000000\r\n'
    return Crowd(lambda number: _action(number, length), 150, drip=b'x')


@crowds.register('bodies in small chunks')
def small_chunks():
    """Return a crowd with a body in tiny chunks behind other requests."""
    coding = b'Transfer-Encoding: chunked\r\n'
    body = b'2\r\nab\r\n' * (BURST_BYTES // 2)

    def data(number):
        names = [f'{number:06x}{n:06x}' for n in range(9)]
        last = request(names.pop(), coding, method='POST', kind='act')
        return b''.join(map(request, names)) + last + body

    return Crowd(data, 40)


@crowds.register('unread answers')
def unread_answers():
    """Return a crowd that sends requests and reads none of the answers."""
    ask = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
    return Crowd(lambda number: ask * (BURST_BYTES // len(ask)), 20)


@crowds.register('long names of objects')
def long_object_keys():
    """Return a crowd whose requests each name another object at length."""

    long = b'Cookie: Affinity-Key=' + b'k' * (HEAD_BYTES - 300)

    def data(number):
        return b''.join(
            request(f'{number:06x}{n:06x}', long + b'%x.%x\r\n' % (number, n))
            for n in range(600)
        )

    return Crowd(data, 20, reads=True)


@crowds.register('long ids of requests')
def long_ids():
    """Return a crowd whose requests have ids of the size of a head."""
    long = 'i' * (HEAD_BYTES // 2 - 200)

    def data(number):
        return b''.join(
            request(f'{long}{number:06x}{n:06x}') for n in range(300)
        )

    return Crowd(data, 20, reads=True)


@crowds.register('idle connections')
def idle_connections():
    """Return a crowd of connections that send nothing."""
    return Crowd(lambda number: b'', 400)


class OpenCrowd:
    """The open connections of a crowd; an async context manager.

    Parameters
    ==========
    crowd : Crowd
        What its connections send.
    address : (str, int)
        Host and port to connect to.
    """

    def __init__(self, crowd, address):
        self._crowd = crowd
        self._address = address
        self._socks = []
        self._tasks = []
        self._closed = False

    async def __aenter__(self):
        senders = [
            asyncio.ensure_future(self._send(number))
            for number in range(self._crowd.connections)
        ]
        done, late = await asyncio.wait(senders, timeout=SEND_TIMEOUT_S)
        for task in done:
            task.result()
        self._tasks += late
        return self

    async def __aexit__(self, *exc_info):
        self._closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()

    async def _send(self, number):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        if not self._crowd.reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        try:
            await loop.sock_connect(sock, self._address)
            if self._crowd.reads:
                reader = asyncio.ensure_future(_read_all(sock))
                self._tasks.append(reader)
                if self._crowd.returns:
                    reader.add_done_callback(lambda _: self._return(number))
            await loop.sock_sendall(sock, self._crowd.data(number))
            if self._crowd.drip:
                self._tasks.append(
                    asyncio.ensure_future(_drip(sock, self._crowd.drip))
                )
        except OSError:
            # The host may refuse or close the connections of a crowd.
            return

    def _return(self, number):
        """Connect again in place of a connection that was closed."""
        if not self._closed:
            self._tasks.append(asyncio.ensure_future(self._send(number)))


async def _read_all(sock):
    """Read and discard bytes until the other side closes."""
    loop = asyncio.get_running_loop()
    try:
        while await loop.sock_recv(sock, BURST_BYTES):
            pass
    except OSError:
        # The host may reset the connections of a crowd.
        return
    finally:
        sock.close()


async def _drip(sock, data):
    """Send some bytes again and again until the other side closes."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            await asyncio.sleep(DRIP_S)
            await loop.sock_sendall(sock, data)
    except OSError:
        # The host may reset the connections of a crowd.
        return

"""Property tests with arbitrary bytes from callers and backend servers."""

import asyncio

import hypothesis
from hypothesis import strategies

from ebonypick.connection import _caller_http
from ebonypick.connection import _caller_stream
from ebonypick.connection import _exchange

PARTS = (
    b'GET /a HTTP/1.1\r\n',
    b'POST /b HTTP/1.1\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'Host: a\r\n',
    b'id: a\r\n',
    b'Cookie: \xff\xfe\r\n',
    b'Content-Length: 3\r\n',
    b'Content-Length: 99999999999999999999\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
    b'Upgrade: h2c\r\n',
    b'Connection: Upgrade\r\n',
    b'Expect: 100-continue\r\n',
    b'Keep-Alive: timeout=99999999999999999999999\r\n',
    b'\r\n',
    b'3\r\nabc\r\n0\r\n\r\n',
    b'fffffffffffffffff\r\n',
    b'abc',
    b'\x00',
)
# Lists of message parts and random bytes in any order.
STREAMS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(PARTS), strategies.binary(max_size=20)
    ),
    max_size=20,
)


class _Transport:
    """Fake transport that records the written bytes."""

    def __init__(self):
        self.written = b''
        self.closed = False

    def get_extra_info(self, name):
        return ('127.0.0.1', 1) if name == 'peername' else None

    def is_closing(self):
        return self.closed

    def write(self, data):
        self.written += data

    def write_eof(self):
        """Ignore the half-close."""

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        """Ignore the call."""

    def resume_reading(self):
        """Ignore the call."""

    def close(self):
        self.closed = True

    abort = close


async def _answer(req):
    while await req.read(0.01) is not None:
        pass
    await req.respond(200, [], b'whole')


async def _feed_server(parts):
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    server = _caller_http.CallerServer('127.0.0.1', 0, _answer)
    stream = _caller_stream.CallerStream(server)
    transport = _Transport()
    stream.connection_made(transport)
    for part in parts:
        if not transport.closed:
            stream.data_received(part)
            await asyncio.sleep(0)
    for _ in range(5):
        await asyncio.sleep(0.004)
    stream.connection_lost(None)
    await asyncio.sleep(0)
    return transport.written, failures


@hypothesis.given(STREAMS)
def test_arbitrary_caller_bytes_give_answers_or_a_closed_connection(parts):
    written, failures = asyncio.run(_feed_server(parts))
    assert failures == []
    assert b' 500 ' not in written
    assert written == b'' or written.startswith(b'HTTP/1.1 ')


async def _feed_client(parts):
    conn = _exchange.ServerConnection()
    transport = _Transport()
    conn.connection_made(transport)
    conn.start(b'GET', lambda _, names: names.get('id') == 'a', False)
    for part in parts:
        if not transport.closed:
            conn.data_received(part)
    conn.connection_lost(None)
    try:
        async with asyncio.timeout(1):
            answer = await conn.head()
            body = await conn.read_whole()
    except _exchange._pool.LostError:
        return None
    conn.release()
    return answer, body


@hypothesis.given(STREAMS)
def test_arbitrary_server_bytes_give_the_expected_answer_or_none(parts):
    found = asyncio.run(_feed_client(parts))
    if found is not None:
        answer, _ = found
        assert answer.by_name['id'] == 'a'
        assert 200 <= answer.status

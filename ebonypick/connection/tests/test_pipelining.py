"""Tests of pipelined requests and of the limits of a caller's connection."""

import asyncio
import contextlib
import time

import pytest

from ebonypick import connection
from ebonypick.connection import _caller_stream

WORK_S = 0.2
# Far fewer than one read delivers.
MAX_HELD_REQUESTS = 200


def request(path, method='GET', body=b'', **headers):
    """Return an encoded request."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: a']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def read_answer(reader):
    """Read the next answer and return its head and body."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
    rows = dict(
        line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:-2]
    )
    size = int(rows.get(b'content-length', 0))
    return head, await asyncio.wait_for(reader.readexactly(size), 5)


class PathHandler:
    """Request handler whose behaviour depends on the path of the request.

    ``/slow`` takes WORK_S, ``/stuck`` takes an hour, ``/gated`` waits for
    the event ``gate``, ``/wait`` waits until all earlier requests are
    answered, ``/close`` ends its connection, ``/stream`` answers with a
    chunked body, and ``/big`` answers with 300 kB.
    """

    def __init__(self):
        self.gate = asyncio.Event()
        self.started = []
        self.ended = []
        self.cancelled = []
        self.running = 0
        self.max_running = 0

    async def handle(self, req):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self._serve(req)
            self.ended.append(req.path)
        except asyncio.CancelledError:
            self.cancelled.append(req.path)
            raise
        finally:
            self.running -= 1

    async def _serve(self, req):
        if req.path.startswith('/wait'):
            await req.turn()
        self.started.append(req.path)
        while await req.read(5) is not None:
            pass
        if req.path.startswith(('/slow', '/stuck')):
            await asyncio.sleep(3600 if '/stuck' in req.path else WORK_S)
        if req.path.startswith('/gated'):
            await self.gate.wait()
        if req.path.startswith('/close'):
            req.close_after()
        if req.path.startswith('/stream'):
            await req.start(200, [])
            for _ in range(4):
                await req.write(req.path.encode())
            await req.end()
            return
        size = 300_000 if req.path.startswith('/big') else 0
        await req.respond(200, [], req.path.encode() + bytes(size))


@contextlib.asynccontextmanager
async def serving():
    """Yield a handler, its server, and a connection to the server."""
    handler = PathHandler()
    make = connection.make_caller_server
    async with make('http', '127.0.0.1', 0, handler.handle) as server:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', server.port
        )
        try:
            yield handler, server, reader, writer
        finally:
            writer.close()


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    async def scenario():
        async with serving() as (handler, _, reader, writer):
            start = time.monotonic()
            paths = ['/slow/0', '/1', '/slow/2', '/3']
            writer.write(b''.join(map(request, paths)))
            bodies = [(await read_answer(reader))[1] for _ in paths]
            duration_s = time.monotonic() - start
            return paths, bodies, handler, duration_s

    paths, bodies, handler, duration_s = asyncio.run(scenario())
    assert bodies == [path.encode() for path in paths]
    assert handler.ended[:2] == ['/1', '/3']
    # Sequential execution would take at least twice WORK_S.
    assert duration_s < 2 * WORK_S


def test_requests_beyond_the_concurrency_limit_wait():
    count = 5 * _caller_stream.MAX_CONCURRENT_REQUESTS

    async def scenario():
        async with serving() as (handler, _, reader, writer):
            paths = [f'/slow/{number}' for number in range(count)]
            writer.write(b''.join(map(request, paths)))
            bodies = [(await read_answer(reader))[1] for _ in paths]
            return paths, bodies, handler

    paths, bodies, handler = asyncio.run(scenario())
    assert bodies == [path.encode() for path in paths]
    assert handler.max_running == _caller_stream.MAX_CONCURRENT_REQUESTS


def test_action_waits_until_earlier_requests_are_answered():
    """The caller resends it if an earlier answer closes the connection."""

    async def scenario():
        async with serving() as (handler, _, reader, writer):
            writer.write(request('/gated') + request('/wait/1'))
            await asyncio.sleep(WORK_S)
            before = list(handler.started)
            handler.gate.set()
            await read_answer(reader)
            return before, (await read_answer(reader))[1]

    before, body = asyncio.run(scenario())
    assert before == ['/gated']
    assert body == b'/wait/1'


def test_requests_read_are_answered_before_the_connection_closes():
    async def scenario():
        async with serving() as (handler, _, reader, writer):
            writer.write(request('/close/0') + request('/slow/1'))
            first = await read_answer(reader)
            writer.write(request('/late'))
            second = await read_answer(reader)
            rest = await asyncio.wait_for(reader.read(), 5)
            return first, second, rest, handler

    first, second, rest, handler = asyncio.run(scenario())
    assert b'connection: close' not in first[0]
    assert b'connection: close' in second[0]
    assert second[1] == b'/slow/1'
    assert rest == b''
    assert '/late' not in handler.started


def test_disconnect_cancels_all_requests_of_the_caller():
    async def scenario():
        async with serving() as (handler, server, _, writer):
            paths = [f'/stuck/{number}' for number in range(3)]
            writer.write(b''.join(map(request, paths)))
            while len(handler.started) < 3:
                await asyncio.sleep(0.01)
            writer.close()
            while server.connections:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0)
            return handler

    handler = asyncio.run(scenario())
    assert sorted(handler.cancelled) == ['/stuck/0', '/stuck/1', '/stuck/2']


def test_a_request_behind_an_upload_waits_for_the_end_of_its_body():
    async def scenario():
        async with serving() as (handler, _, reader, writer):
            whole = request('/up/0', 'POST', b'x' * 1000)
            writer.write(whole[:-500])
            await asyncio.sleep(0.05)
            writer.write(whole[-500:] + request('/1'))
            return [(await read_answer(reader))[1] for _ in range(2)]

    assert asyncio.run(scenario()) == [b'/up/0', b'/1']


def test_streamed_answers_are_not_mixed():
    async def scenario():
        async with serving() as (_, _, reader, writer):
            writer.write(
                request('/slow/0') + request('/stream/1') + request('/2')
            )
            await read_answer(reader)
            return await asyncio.wait_for(reader.readuntil(b'/2'), 5)

    found = asyncio.run(scenario())
    streamed, _, last = found.partition(b'0\r\n\r\n')
    assert streamed.count(b'9\r\n/stream/1\r\n') == 4
    assert last.startswith(b'HTTP/1.1 200 OK')


def test_held_answers_pause_reading():
    """A caller cannot make a connection buffer answers without a bound."""

    async def scenario():
        async with serving() as (handler, server, reader, writer):
            writer.write(request('/gated'))
            for number in range(40):
                writer.write(request(f'/big/{number}'))
                await asyncio.sleep(0.002)
            await asyncio.sleep(WORK_S)
            started = len(handler.started)
            handler.gate.set()
            bodies = [(await read_answer(reader))[1] for _ in range(41)]
            return started, bodies

    started, bodies = asyncio.run(scenario())
    assert started <= _caller_stream.MAX_CONCURRENT_REQUESTS
    assert [body[:8].rstrip(b'\0') for body in bodies[1:]] == [
        f'/big/{number}'.encode() for number in range(40)
    ]


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 200_000, b'431'),
        (b'GET /' + b'y' * 200_000, b'431'),
        (b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;'
         + b'y' * 600_000, b''),
        (b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
         + b'X: y\r\n' * 100_000, b''),
    ],
)  # fmt: skip
def test_endless_head_or_framing_is_rejected(data, status):
    """The head, chunk extensions and trailers of a request are bounded."""

    async def scenario():
        async with serving() as (_, server, reader, writer):
            writer.write(request('/first') + data)
            first = await read_answer(reader)
            rest = await asyncio.wait_for(reader.read(), 5)
            return first, rest

    first, rest = asyncio.run(scenario())
    assert first[1] == b'/first'
    assert b'HTTP/1.1 ' + status in rest


def test_a_malformed_request_is_refused_after_those_before_it():
    async def scenario():
        async with serving() as (_, _, reader, writer):
            writer.write(request('/slow/0') + b'nonsense\r\n\r\n')
            first = await read_answer(reader)
            rest = await asyncio.wait_for(reader.read(), 5)
            return first, rest

    first, rest = asyncio.run(scenario())
    assert first[1] == b'/slow/0'
    assert rest.startswith(b'HTTP/1.1 400 ')


def test_incomplete_head_is_answered_with_a_timeout():
    async def scenario():
        async with serving() as (_, server, reader, writer):
            server.set_limits(16_384, 0.2, 5.0)
            writer.write(b'GET / HTTP/1.1\r\nHo')
            return await asyncio.wait_for(reader.read(), 5)

    assert asyncio.run(scenario()).startswith(b'HTTP/1.1 408 ')


def test_an_idle_connection_is_closed():
    async def scenario():
        async with serving() as (_, server, reader, writer):
            server.set_limits(16_384, 5.0, 0.2)
            writer.write(request('/0'))
            await read_answer(reader)
            start = time.monotonic()
            rest = await asyncio.wait_for(reader.read(), 5)
            return rest, time.monotonic() - start

    rest, duration_s = asyncio.run(scenario())
    assert rest == b''
    assert 0.1 < duration_s < 2.0


def test_a_handler_that_ends_without_an_answer_ends_the_connection():
    """A caller must not wait forever, even if the handler is cancelled."""

    async def handle(req):
        if req.path == '/cancelled':
            raise asyncio.CancelledError

    async def ask(path):
        make = connection.make_caller_server
        async with make('http', '127.0.0.1', 0, handle) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(request(path))
            try:
                return await asyncio.wait_for(reader.read(), 5)
            except ConnectionError:
                return b''
            finally:
                writer.close()

    assert asyncio.run(ask('/silent')) == b''
    assert asyncio.run(ask('/cancelled')) == b''


def test_all_requests_of_a_burst_are_answered_in_order():
    """More requests than are parsed ahead arrive in one part, the last cut."""
    paths = [f'/{n}' for n in range(3 * _caller_stream.MAX_PARSED_REQUESTS)]
    last = request('/last', 'POST', b'y' * 5_000)

    async def scenario():
        async with serving() as (_, _, reader, writer):
            writer.write(b''.join(map(request, paths)) + last[:3_000])
            bodies = [(await read_answer(reader))[1] for _ in paths]
            writer.write(last[3_000:])
            return bodies + [(await read_answer(reader))[1]]

    found = asyncio.run(scenario())
    assert found == [path.encode() for path in paths] + [b'/last']


def test_requests_wait_while_the_caller_does_not_read_its_answers():
    """Few answers are made for a caller that leaves them unread."""
    # 300 kB each, far more than the sockets hold.
    paths = [f'/big/{n}' for n in range(100)]

    async def scenario():
        async with serving() as (handler, _, reader, writer):
            writer.write(b''.join(map(request, paths)))
            await asyncio.sleep(WORK_S)
            started = len(handler.started)
            for _ in paths:
                await read_answer(reader)
            return started, len(handler.started)

    started, in_the_end = asyncio.run(scenario())
    assert started < in_the_end == len(paths)


def test_a_connection_whose_answers_are_never_read_is_closed():
    """It would hold its memory and its descriptor for ever."""

    async def scenario():
        async with serving() as (_, server, reader, writer):
            server.set_limits(16_384, 1.0, idle_s=0.2)
            writer.write(b''.join(request('/big') for _ in range(40)))
            async with asyncio.timeout(20):
                while server.connections:
                    await asyncio.sleep(0.1)

    asyncio.run(scenario())


def test_a_slow_reader_gets_all_of_its_answers():
    """Each step is shorter than the limit, their sum is not."""
    paths = [f'/big/{n}' for n in range(30)]

    async def scenario():
        async with serving() as (_, server, reader, writer):
            server.set_limits(16_384, 1.0, idle_s=2.0)
            writer.write(b''.join(map(request, paths)))
            bodies = []
            for path in paths:
                await asyncio.sleep(0.15)
                bodies.append((await read_answer(reader))[1][: len(path)])
            return bodies

    assert asyncio.run(scenario()) == [path.encode() for path in paths]


OFFER = {'Connection': 'Upgrade, HTTP2-Settings', 'Upgrade': 'h2c'}
CHUNKED_BODY = b'5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n'


@pytest.mark.parametrize('pause_s', (0.0, 0.05))
@pytest.mark.parametrize('form', ('chunks', 'length', 'none'))
def test_a_request_that_offers_an_upgrade_keeps_its_body(form, pause_s):
    """The offer is declined, and the request served as any other."""
    offer = dict(OFFER)
    body = {'chunks': CHUNKED_BODY, 'length': b'firstsecond', 'none': b''}[
        form
    ]
    if form == 'chunks':
        offer['Transfer-Encoding'] = 'chunked'
    if form == 'length':
        offer['Content-Length'] = len(body)
    found = []

    async def handle(req):
        data = b''
        while (part := await req.read(5)) is not None:
            data += part
        found.append((req.path, data))
        await req.respond(200, [])

    async def scenario():
        make = connection.make_caller_server
        async with make('http', '127.0.0.1', 0, handle) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(request('/offer', 'POST', **offer) + body[:8])
            await asyncio.sleep(pause_s)
            writer.write(body[8:])
            answer = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert found == [('/offer', b'' if form == 'none' else b'firstsecond')]


def test_few_requests_of_a_burst_are_held_behind_a_slow_one():
    """The others wait as bytes, which take a hundredth of the memory."""
    small = b'GET / HTTP/1.1\r\n\r\n'

    async def scenario():
        async with serving() as (_, server, reader, writer):
            writer.write(request('/gated') + small * 14_000)
            await asyncio.sleep(WORK_S)
            (conn,) = server.connections
            return len(conn._order)

    assert asyncio.run(scenario()) < MAX_HELD_REQUESTS

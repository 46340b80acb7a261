"""HTTP/1.1 client connections that match each answer to its request.

A backend server may send a second answer to a request, either at once or
when the next answer is expected. A client library that takes the next bytes
for the next answer then gives one caller the answer of another. These
connections check the request id of each answer before they pass on any byte
of it. An answer to another request is read to its end and discarded, and a
connection that receives bytes while it is idle is closed.

A backend server may also send bytes without end. The buffered part of an
answer is bounded; the reader of the body limits its total length.
"""

import asyncio
import collections
import dataclasses
import socket
import time

import httptools

from ebonypick.connection import _head_limit
from ebonypick.connection import _headers
from ebonypick.connection import _pool
from ebonypick import errors
from ebonypick import whole_numbers

# An idle connection is kept for this fraction of the time that the server
# announces in Keep-Alive, so that no request is sent while the server closes
# the connection.
KEEP_ALIVE_FRACTION = 0.6
DEFAULT_IDLE_S = 4.0
MAX_IDLE_DIGITS = 9
# TCP keepalive detects a peer machine that no longer responds; a server that
# is merely slow is not affected. Probes start after one second of silence,
# and three unanswered probes end the connection.
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBE_COUNT = 3
TCP_USER_TIMEOUT_MS = 3_000
# A body that is longer than this is passed on while it arrives.
BUFFER_BYTES = 262_144
# Reading pauses when more than this many bytes beyond BUFFER_BYTES have not
# been taken by the reader.
PAUSE_READING_BYTES = 131_072
# Four times the default limit for the head of a caller's request.
HEAD_LIMIT_BYTES = 65_536
# The event loop may deliver this many bytes in one call, so that a buffer can
# exceed its limit by as much.
MAX_READ_BYTES = 262_144
# Upper bound of the memory that a connection uses for an answer, including
# its head.
MAX_BUFFERED_BYTES = (
    BUFFER_BYTES + PAUSE_READING_BYTES + MAX_READ_BYTES + HEAD_LIMIT_BYTES
)
# The connection is closed after this many body bytes of answers to other
# requests, which admits one late answer that fills the buffer.
MAX_UNEXPECTED_BYTES = BUFFER_BYTES
# The connection is closed after more than this many interim answers and
# answers to other requests.
MAX_UNEXPECTED_ANSWERS = 16
# Number of requests whose ids a connection remembers. Later answers to
# earlier ones are still recognised, unless the same id is sent once more.
MAX_CARRIED_IDS = 16


@dataclasses.dataclass(frozen=True)
class Answer:
    """The head of an answer.

    Parameters
    ==========
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Header fields in the order in which they were received.
    by_name : dict of str to str
        Maps each lower-case header name to its last value.
    """

    status: int
    headers: tuple
    by_name: dict


class _PendingAnswer:
    """State of the answer to the request in progress."""

    def __init__(self, is_expected, head_only):
        self.is_expected = is_expected
        self.head_only = head_only
        self.changed = asyncio.Event()
        self.answer = None
        self.parts = collections.deque()
        self.size = 0
        # Number of buffered bytes above which reading pauses.
        self.max_size = BUFFER_BYTES + PAUSE_READING_BYTES
        self.ended = False
        self.error = None


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server; it carries one request at a time."""

    def __init__(self):
        self.idle_until = 0.0
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending = None
        self._header_fields = []
        self._discarding = False
        self._limit = _head_limit.HeadLimit(HEAD_LIMIT_BYTES)
        self._unexpected_answers = 0
        self._unexpected_bytes = 0
        self._has_framing = False
        self._closing = False
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._idle_timeout_s = DEFAULT_IDLE_S
        self._carried = collections.deque(maxlen=MAX_CARRIED_IDS)

    # Transport callbacks.

    def connection_made(self, transport):
        """Set the socket options that detect an unresponsive peer."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        for level, name, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        ):
            sock.setsockopt(level, name, value)

    def data_received(self, data):
        """Parse bytes; close the connection if no request is in progress."""
        if self._pending is None or self._transport.is_closing():
            self.abort()
            return
        self._limit.feed(len(data))
        try:
            self._parser.feed_data(data)
            self._limit.check()
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            errors.HeadTooLargeError,
        ) as exc:
            cause = exc.__context__ or exc
            self._fail(
                f'malformed answer: {type(cause).__name__}', malformed=True
            )
            self.abort()

    def eof_received(self):
        """Let the transport close the connection."""
        return False

    def connection_lost(self, exc):
        """Complete an answer without framing; fail any other answer."""
        self._closing = True
        self._writable.set()
        pending = self._pending
        if pending is None or pending.ended:
            return
        whole = exc is None and pending.answer is not None
        if whole and not self._has_framing and not self._discarding:
            self._finish()
        else:
            self._fail(
                f'connection closed before the answer was complete: {exc!r}'
            )

    def pause_writing(self):
        """Make ``wait_until_writable`` wait until the write buffer empties."""
        self._writable.clear()

    def resume_writing(self):
        """Let ``wait_until_writable`` return."""
        self._writable.set()

    # Parser callbacks.

    def on_message_begin(self):
        """Start an answer; one that follows the expected one is an error."""
        self._header_fields = []
        self._limit.begin()
        if self._pending is not None and self._pending.ended:
            self.abort()

    def on_header(self, name, value):
        """Store a header field, or a trailer field of a chunked body."""
        self._limit.add_field(name, value)
        self._header_fields.append(
            (_headers.decode(name), _headers.decode(value).strip())
        )

    def on_headers_complete(self):
        """Accept the answer if it belongs to the request in progress."""
        self._limit.reset_incomplete()
        status = self._parser.get_status_code()
        by_name = {name.lower(): value for name, value in self._header_fields}
        pending = self._pending
        if status not in _pool.STATUSES:
            self._fail(f'malformed answer: status {status:03}', malformed=True)
            self.abort()
            return
        if status < 200:
            self._discard()
            return
        if pending is None or pending.ended:
            self._closing = True
            self._discard()
            return
        if not self._parser.should_keep_alive():
            self._closing = True
        if not pending.is_expected(status, by_name):
            self._discard()
            return
        self._discarding = False
        self._has_framing = 'content-length' in by_name or (
            'chunked' in by_name.get('transfer-encoding', '').lower()
        )
        self._parse_keep_alive(by_name.get('keep-alive', ''))
        pending.answer = Answer(status, tuple(self._header_fields), by_name)
        pending.changed.set()
        if pending.head_only:
            self._closing = True
            self._finish()

    def _discard(self):
        """Discard an interim answer or an answer to another request."""
        self._discarding = True
        self._unexpected_answers += 1
        if self._unexpected_answers > MAX_UNEXPECTED_ANSWERS:
            self._fail(
                'too many answers to other requests',
                malformed=True,
            )
            self.abort()

    def _parse_keep_alive(self, text):
        for part in text.split(','):
            name, _, value = part.strip().partition('=')
            idle_s = whole_numbers.parse_whole(value, MAX_IDLE_DIGITS)
            if name.lower() == 'timeout' and idle_s is not None:
                self._idle_timeout_s = idle_s * KEEP_ALIVE_FRACTION

    def on_body(self, data):
        """Buffer body bytes of the expected answer."""
        self._limit.reset_incomplete()
        pending = self._pending
        if self._discarding or pending is None or pending.ended:
            self._unexpected_bytes += len(data)
            if self._unexpected_bytes > MAX_UNEXPECTED_BYTES:
                self._fail(
                    'too many bytes of answers to other requests',
                    malformed=True,
                )
                self.abort()
            return
        pending.parts.append(data)
        pending.size += len(data)
        pending.changed.set()
        if pending.size > pending.max_size:
            self._set_paused(True)

    def on_message_complete(self):
        """Complete the expected answer, or the discarded one."""
        self._limit.reset_incomplete()
        if self._discarding:
            self._discarding = False
            return
        if self._pending is not None and self._pending.answer is not None:
            self._finish()

    def _finish(self):
        if not self._pending.ended:
            self._pending.ended = True
            self._pending.changed.set()

    def _fail(self, reason, malformed=False):
        self._closing = True
        pending = self._pending
        if pending is not None and not pending.ended:
            kind = _pool.BadAnswerError if malformed else _pool.LostError
            pending.error = kind(reason)
            pending.ended = True
            pending.changed.set()

    # Methods for the pool and its users.

    @property
    def usable(self):
        """Whether another request may be sent on this connection."""
        return (
            not self._closing
            and self._pending is None
            and not self._transport.is_closing()
            and time.monotonic() < self.idle_until
        )

    def has_carried(self, req):
        """Return whether a recent request had an id; false for None.

        A false positive, which is very rare, costs another connection.
        """
        return req is not None and hash(req) in self._carried

    def carry(self, req):
        """Remember the id of the request to send, unless it is None.

        Callers choose ids as long as a head, so only their hash is kept.
        """
        if req is not None:
            self._carried.append(hash(req))

    def start(self, data, is_expected, head_only):
        """Send the first bytes of a request and start to await its answer.

        Parameters
        ==========
        data : bytes
            The head of the request and, optionally, the start of its body.
        is_expected : callable
            Receives the status and the headers by lower-case name; returns
            whether the answer belongs to this request.
        head_only : bool
            Whether the caller needs the head of the answer only. The
            connection then carries no other request.
        """
        self._pending = _PendingAnswer(is_expected, head_only)
        self._unexpected_answers = 0
        self._unexpected_bytes = 0
        self._transport.write(data)

    def write(self, data):
        """Send more bytes of the request body."""
        self._transport.write(data)

    def close_after(self):
        """Close the connection once the request in progress has ended."""
        self._closing = True

    @property
    def held_bytes(self):
        """Number of buffered body bytes that have not been read."""
        return self._pending.size if self._pending is not None else 0

    async def wait_until_writable(self):
        """Wait until the write buffer is below its high-water mark."""
        await self._writable.wait()

    @property
    def answer_started(self):
        """Whether the head of the answer was received or the answer failed."""
        return self._pending.answer is not None or self._pending.ended

    async def head(self):
        """Wait for the head of the answer and return it.

        Raises
        ======
        connection.LostError
            If the connection fails before the head was received.
        """
        pending = self._pending
        while pending.answer is None:
            if pending.ended:
                raise pending.error
            pending.changed.clear()
            await pending.changed.wait()
        return pending.answer

    async def read_whole(self):
        """Return the whole body, or None if it is too long to be buffered.

        What was received of a long body is returned by ``read``.

        Raises
        ======
        connection.LostError
            If the answer is truncated.
        """
        pending = self._pending
        while not pending.ended and pending.size <= BUFFER_BYTES:
            pending.changed.clear()
            await pending.changed.wait()
        self._set_paused(not pending.ended)
        self._check_answer()
        if not pending.ended:
            # Each call of ``read`` receives what the loop delivers at once.
            pending.max_size = 0
            return None
        data = b''.join(pending.parts)
        pending.parts.clear()
        pending.size = 0
        return data

    async def read(self):
        """Return more bytes of the body, or no bytes at its end.

        Bytes are received only during a call, so that a caller that is slow
        to read an answer leaves the rest of it with the server.

        Raises
        ======
        connection.LostError
            If the answer is truncated.
        """
        pending = self._pending
        while not pending.ended and not pending.parts:
            self._set_paused(False)
            pending.changed.clear()
            await pending.changed.wait()
        self._set_paused(not pending.ended)
        self._check_answer()
        if not pending.parts:
            return b''
        part = pending.parts.popleft()
        pending.size -= len(part)
        return part

    def _check_answer(self):
        if self._pending.error is not None:
            raise self._pending.error

    def _set_paused(self, paused):
        """Pause or resume the receiving of bytes."""
        if paused == self._paused or self._transport.is_closing():
            return
        self._paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def release(self):
        """End the request; return whether the connection can be reused.

        A connection that cannot be reused is closed.
        """
        pending = self._pending
        whole = pending is None or (pending.ended and pending.error is None)
        self._pending = None
        if pending is not None:
            # A connection that is released without a request keeps its
            # former idle limit.
            self.idle_until = time.monotonic() + self._idle_timeout_s
        if not whole or self._closing or self._transport.is_closing():
            self.abort()
            return False
        return True

    def abort(self):
        """Close the connection at once; the server then cancels its work."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

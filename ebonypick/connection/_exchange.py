"""Connections to a backend server that know whose answer they carry.

A backend server may send a second answer to a request, at once or when the
next one is expected. A client library that reads the next bytes as the next
answer hands a caller what belongs to another. Here each answer's id is
checked before any byte of it goes on: a foreign answer is read to its end
and dropped, and bytes on an idle connection close it.

It may also send bytes without end. What is held of one answer is bounded;
how long a body may go on is its reader's to say.
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

# Idle connections are kept for this share of what the server announces, so
# that none is used in the moment in which the server closes it.
IDLE_SHARE = 0.6
IDLE_DEFAULT_S = 4.0
# Silence of the peer's system, not of the server, ends a connection: probes
# after a second of silence, and three of them without an answer.
PROBE_AFTER_S = 1
PROBES = 3
USER_TIMEOUT_MS = 3_000
# A longer answer is passed on while it arrives.
BUFFER_BYTES = 262_144
# An answer that is passed on stops being read at so many unsent bytes.
PAUSE_BYTES = 131_072
# Four times what callers may send in a head by default.
HEAD_LIMIT_BYTES = 65_536
# Bytes that the loop may hand over at once, past any of these bounds.
READ_BYTES = 262_144
# The most that a connection holds of an answer, its head included.
HELD_BYTES_MOST = BUFFER_BYTES + PAUSE_BYTES + READ_BYTES + HEAD_LIMIT_BYTES
# Bytes that belong to no answer of ours, before the connection is given up:
# one late answer of the length that is held.
FOREIGN_BYTES_MOST = BUFFER_BYTES
# Interim and foreign answers before ours, likewise.
OTHERS_MOST = 16


@dataclasses.dataclass(frozen=True)
class Answer:
    """The head of an answer.

    Parameters
    ==========
    status : int
        HTTP status.
    headers : tuple of (str, str)
        As they came.
    by_name : dict of str to str
        The last value by lower-case name.
    """

    status: int
    headers: tuple
    by_name: dict


class _Reading:
    """What is known of the answer that is expected."""

    def __init__(self, is_ours, head_only):
        self.is_ours = is_ours
        self.head_only = head_only
        self.changed = asyncio.Event()
        self.answer = None
        self.parts = collections.deque()
        self.size = 0
        self.ended = False
        self.error = None


class ServerConnection(asyncio.Protocol):
    """One connection to a backend server, one request at a time."""

    def __init__(self):
        self.idle_until = 0.0
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._reading = None
        self._rows = []
        self._skipping = False
        self._limit = _head_limit.HeadLimit(HEAD_LIMIT_BYTES)
        self._others = 0
        self._foreign_bytes = 0
        self._framed = False
        self._closing = False
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._idle_s = IDLE_DEFAULT_S

    # Callbacks of the transport.

    def connection_made(self, transport):
        """Set the options that reveal a silent connection."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        for level, name, value in (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        ):
            sock.setsockopt(level, name, value)

    def data_received(self, data):
        """Parse bytes; any without a request break the connection."""
        if self._reading is None or self._transport.is_closing():
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
            self._fail(f'not an answer: {type(cause).__name__}', bad=True)
            self.abort()

    def eof_received(self):
        """Let the transport close."""
        return False

    def connection_lost(self, exc):
        """End an answer without a length, fail any other one."""
        self._closing = True
        self._writable.set()
        reading = self._reading
        if reading is None or reading.ended:
            return
        whole = exc is None and reading.answer is not None
        if whole and not self._framed and not self._skipping:
            self._finish()
        else:
            self._fail(f'connection closed: {exc!r}')

    def pause_writing(self):
        """Hold back more of the body."""
        self._writable.clear()

    def resume_writing(self):
        """Let the body go on."""
        self._writable.set()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start an answer; after ours, it ends the connection."""
        self._rows = []
        self._limit.begin()
        if self._reading is not None and self._reading.ended:
            self.abort()

    def on_header(self, name, value):
        """Take in one header, or one after a body in chunks."""
        self._limit.take(len(name) + len(value))
        self._rows.append(
            (_headers.decode(name), _headers.decode(value).strip())
        )

    def on_headers_complete(self):
        """Check whose answer it is."""
        self._limit.finish()
        status = self._parser.get_status_code()
        by_name = {name.lower(): value for name, value in self._rows}
        reading = self._reading
        if status < 200:
            self._skip()
            return
        if reading is None or reading.ended:
            self._closing = True
            self._skip()
            return
        if not self._parser.should_keep_alive():
            self._closing = True
        if not reading.is_ours(status, by_name):
            self._skip()
            return
        self._skipping = False
        self._framed = 'content-length' in by_name or (
            'chunked' in by_name.get('transfer-encoding', '').lower()
        )
        self._note_idle_s(by_name.get('keep-alive', ''))
        reading.answer = Answer(status, tuple(self._rows), by_name)
        reading.changed.set()
        if reading.head_only:
            self._closing = True
            self._finish()

    def _skip(self):
        """Drop an answer that is not the one that is waited for."""
        self._skipping = True
        self._others += 1
        if self._others > OTHERS_MOST:
            self._fail('only answers to other requests', bad=True)
            self.abort()

    def _note_idle_s(self, text):
        for part in text.split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdecimal():
                self._idle_s = int(value) * IDLE_SHARE

    def on_body(self, data):
        """Keep bytes of our answer."""
        self._limit.finish()
        reading = self._reading
        if self._skipping or reading is None or reading.ended:
            self._foreign_bytes += len(data)
            if self._foreign_bytes > FOREIGN_BYTES_MOST:
                self._fail('a long answer to another request', bad=True)
                self.abort()
            return
        reading.parts.append(data)
        reading.size += len(data)
        reading.changed.set()
        if reading.size > BUFFER_BYTES + PAUSE_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self):
        """End our answer, or go on to the next one."""
        self._limit.finish()
        if self._skipping:
            self._skipping = False
            return
        if self._reading is not None and self._reading.answer is not None:
            self._finish()

    def _finish(self):
        if not self._reading.ended:
            self._reading.ended = True
            self._reading.changed.set()

    def _fail(self, reason, bad=False):
        self._closing = True
        reading = self._reading
        if reading is not None and not reading.ended:
            kind = _pool.BadAnswerError if bad else _pool.LostError
            reading.error = kind(reason)
            reading.ended = True
            reading.changed.set()

    # What the pool and its users call.

    @property
    def usable(self):
        """Whether another request may be sent."""
        return (
            not self._closing
            and self._reading is None
            and not self._transport.is_closing()
            and time.monotonic() < self.idle_until
        )

    def start(self, data, is_ours, head_only):
        """Send a request's first bytes and expect its answer."""
        self._reading = _Reading(is_ours, head_only)
        self._others = 0
        self._foreign_bytes = 0
        self._transport.write(data)

    def write(self, data):
        """Send more bytes of the body."""
        self._transport.write(data)

    def close_after(self):
        """Let no other request follow on this connection."""
        self._closing = True

    @property
    def held_bytes(self):
        """How much of the answer's body waits for its reader."""
        return self._reading.size if self._reading is not None else 0

    async def drained(self):
        """Wait until the server has taken most of what was written."""
        await self._writable.wait()

    @property
    def answering(self):
        """Whether an answer has begun, or no one will come."""
        return self._reading.answer is not None or self._reading.ended

    async def head(self):
        """Return the answer's head.

        Raises
        ======
        connection.LostError
            If there is none.
        """
        reading = self._reading
        while reading.answer is None:
            if reading.ended:
                raise reading.error
            reading.changed.clear()
            await reading.changed.wait()
        return reading.answer

    async def read_start(self):
        """Return the body's start and whether it is the whole body.

        Raises
        ======
        connection.LostError
            If the answer was cut.
        """
        reading = self._reading
        while not reading.ended and reading.size <= BUFFER_BYTES:
            reading.changed.clear()
            await reading.changed.wait()
        return self._take(), reading.ended

    async def read(self):
        """Return more bytes of the body; none at its end.

        Raises
        ======
        connection.LostError
            If the answer was cut.
        """
        reading = self._reading
        while not reading.ended and not reading.parts:
            reading.changed.clear()
            await reading.changed.wait()
        return self._take()

    def _take(self):
        reading = self._reading
        if reading.error is not None:
            raise reading.error
        data = b''.join(reading.parts)
        reading.parts.clear()
        reading.size = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    def release(self):
        """Make ready for another request; return whether that is allowed."""
        reading = self._reading
        whole = reading is None or (reading.ended and reading.error is None)
        self._reading = None
        if reading is not None:
            # One that was given back unused has been idle since before.
            self.idle_until = time.monotonic() + self._idle_s
        if not whole or self._closing or self._transport.is_closing():
            self.abort()
            return False
        return True

    def abort(self):
        """Close at once; the server drops what it still does for it."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

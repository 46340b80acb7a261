"""A caller's HTTP/1.1 connection with concurrent pipelined requests.

Load: callers that send further requests before the first one is answered. If
these requests ran one after the other, the last of them would wait for the
sum of all service times. They run concurrently, and their answers are sent in
the order of the requests.
"""

import asyncio
import re
import socket
import struct
import time
import types

import httptools

from ebonypick.connection import _answer_order
from ebonypick.connection import _caller_request
from ebonypick.connection import _client_budget
from ebonypick.connection import _head_limit
from ebonypick.connection import _header_fields
from ebonypick.connection import _send_stall
from ebonypick.connection import _server_pool
from ebonypick import errors

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
# Number of requests of a connection that run concurrently. At most 640 KiB of
# an answer are held for each, so that a connection holds at most 5 MiB.
MAX_CONCURRENT_REQUESTS = 8
# Requests of a connection that are parsed ahead, running ones included. What a
# caller sends behind them waits as bytes.
MAX_PARSED_REQUESTS = 32
# The parser is given this many bytes at a time, as it cannot stop before their
# end: 2 KiB are at most 114 requests.
PARSE_BYTES = 2_048
# Memory of a connection without a request.
CONNECTION_BYTES = 8_192
# The kernel keeps about this much of a client that is not read.
PAUSED_BYTES = 65_536
# Reading of requests pauses when answers that wait for earlier ones exceed
# this size.
MAX_HELD_ANSWER_BYTES = 1 << 20
# A body that the handler did not read is read and discarded up to this time
# and size, so that the caller can read the answer.
UNREAD_BODY_TIMEOUT_S = 1.0
MAX_UNREAD_BODY_BYTES = 4 << 20
# Time between the half-close and the close of a connection. It lets the caller
# read the last answer, which a reset would discard (RFC 9112, section 9.6).
LINGER_S = 1.0
# Header fields that tell where a body ends.
FRAMING_FIELDS = ('content-length', 'transfer-encoding')
# Value of SO_LINGER that makes a close a reset: on, 0 s.
RESET_LINGER = struct.pack('ii', 1, 0)
# Period at which the time limits of a connection with requests are checked.
LIMIT_CHECK_PERIOD_S = 1.0
_REQUEST_LINE = re.compile(rb'([A-Z]{1,20}) \S+ HTTP/1\.[01]\r?\n')


class CallerStream(asyncio.Protocol):
    """A caller's connection, which owns the tasks of its requests.

    Parameters
    ==========
    server : CallerServer
        Provides the handler, the limits and the set of open connections.
    """

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._limit = _head_limit.HeadLimit(server.header_bytes)
        self._order = _answer_order.AnswerOrder()
        # The request whose body is being received.
        self._receiving = None
        # Received bytes that have not been parsed yet.
        self._unparsed = b''
        # Whether the rest of what the caller sends cannot be parsed.
        self._unparseable = False
        self._url = b''
        self._fields = _header_fields.FieldBuffer()
        self._in_head = False
        self._stopped_accepting = False
        self._closing = False
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._phase_started_at = time.monotonic()
        # Time of the last step that the client completed: a request, or the
        # reading of its answers.
        self._step_at = self._phase_started_at
        self._stall = _send_stall.SendStall(self._phase_started_at)
        self._timer = None
        self.client = ''
        # Whether the caller supports chunked transfer coding.
        self.supports_chunked = True
        self.has_received_request = False

    # Transport callbacks.

    def connection_made(self, transport):
        """Register the connection and store the caller's address."""
        self._transport = transport
        self.client = (transport.get_extra_info('peername') or ('',))[0]
        if not self._server.admit(self):
            self.make_room()
            return
        self._schedule_limit_check()
        self.buffers_changed()

    def data_received(self, data):
        """Parse bytes, as far as few enough requests are waiting."""
        if self._closing:
            return
        if self.idle:
            self._step_at = time.monotonic()
        self._unparsed += data
        self._parse()

    def _parse(self):
        """Parse what is unparsed; reject malformed bytes after all requests.

        Load: callers that send thousands of tiny requests at once. Each takes
        a hundred times its bytes once it is parsed.
        """
        data = memoryview(self._unparsed)
        self._unparsed = b''
        while data and not self._stops_parsing():
            size = self._part_bytes()
            self._parse_part(data, size)
            data = data[size:]
        if not (self._unparseable or self._closing):
            # A view would keep all of the received bytes in memory.
            self._unparsed = bytes(data)
        if self._in_head:
            self._schedule_limit_check()
        self.buffers_changed()

    def _stops_parsing(self):
        if self._closing or self._unparseable:
            return True
        return len(self._order) > MAX_PARSED_REQUESTS

    def _part_bytes(self):
        """Return how many bytes are parsed next.

        A body of known length is parsed at once, up to its end.
        """
        left = self._receiving.left_bytes if self._receiving else None
        return max(left or 0, PARSE_BYTES)

    def _parse_part(self, data, size):
        part = data[:size]
        self._limit.max_bytes = self._server.header_bytes
        self._limit.feed(len(part))
        try:
            self._parser.feed_data(part)
            self._limit.check()
            return
        except httptools.HttpParserUpgrade as exc:
            end = exc.args[0]
            if self._decline_upgrade():
                self._parse_part(data[end:], size - end)
                return
        except httptools.HttpParserError as exc:
            first = b'' if self.has_received_request else bytes(data)
            self._reject(_request_error(exc, first))
        except errors.HeadTooLargeError as exc:
            self._reject(exc)
        self._unparseable = True

    def _decline_upgrade(self):
        """Continue behind the head of a request that offers an upgrade.

        The request is served by this protocol. The parser leaves what follows
        such a head to another protocol, so another parser reads the body.

        Returns
        =======
        bool
            Whether there is a request whose body can be read.
        """
        req = self._receiving
        self.stop_accepting()
        if req is None:
            return False
        rows = [
            (name, value)
            for name, value in req.headers.items()
            if name.lower() in FRAMING_FIELDS
        ]
        # Its head only tells the parser how the body is framed, and no request
        # follows the body.
        self._parser = httptools.HttpRequestParser(
            types.SimpleNamespace(
                on_body=self.on_body,
                on_message_complete=self.on_message_complete,
            )
        )
        head = _server_pool.request_bytes('POST', '/', rows, None)
        self._parser.feed_data(head)
        return True

    def eof_received(self):
        """Let the transport close the connection."""
        return False

    def connection_lost(self, exc):
        """Cancel all requests of the connection."""
        self._server.forget(self)
        self._closing = True
        self._unparsed = b''
        self._stopped_accepting = True
        if self._timer is not None:
            self._timer.cancel()
        self._order.cancel()
        self._writable.set()

    def pause_writing(self):
        """Pause reading from a caller that does not read its answers."""
        self._writable.clear()
        self.buffers_changed()

    def resume_writing(self):
        """Resume reading and let ``wait_until_writable`` return."""
        self._writable.set()
        self._step_at = time.monotonic()
        self._continue()

    # Parser callbacks.

    def on_message_begin(self):
        """Start the head of a request."""
        self._url = b''
        self._fields.clear()
        if not self._in_head:
            self._phase_started_at = time.monotonic()
        self._in_head = True
        self._limit.begin()

    def on_url(self, data):
        """Append a part of the request target."""
        self._limit.add_element(len(data))
        self._url += data

    def on_header(self, name, value):
        """Store a header field; trailer fields are not used."""
        self._limit.add_field(name, value)
        if self._in_head:
            self._fields.add(name, value)

    def on_headers_complete(self):
        """Queue a request, and run it if the concurrency limit allows."""
        self._limit.reset_incomplete()
        self._in_head = False
        if self._stopped_accepting:
            return
        method = self._parser.get_method().decode('ascii')
        req = _caller_request.CallerRequest(
            self,
            method,
            self._url.decode('ascii'),
            self._fields.fields(),
        )
        self._fields.clear()
        self.supports_chunked = self._parser.get_http_version() == '1.1'
        self.has_received_request = True
        self._order.add(req)
        self._receiving = req
        if self._server.overloaded:
            req.refusal = errors.OverloadedError()
            self._stopped_accepting = True
        if not (self.supports_chunked and self._parser.should_keep_alive()):
            # For an HTTP/1.0 caller, the end of the connection may be the
            # only sign of the end of a body, so no answer can follow it.
            self._stopped_accepting = True
        self._start_next()

    def on_body(self, data):
        """Pass body bytes to the request that is being received."""
        self._limit.reset_incomplete()
        if self._receiving is None:
            return
        self._receiving.add_body(data)
        if (
            self._receiving.unread_body_bytes > MAX_UNREAD_BODY_BYTES
            and not self._order
        ):
            self.abort()

    def on_message_complete(self):
        """End the body of the request that is being received."""
        self._limit.reset_incomplete()
        if self._parser.should_upgrade():
            # The body follows: ``_decline_upgrade`` reads it.
            return
        req, self._receiving = self._receiving, None
        if req is not None:
            req.end_body()
        if not self._order:
            self._phase_started_at = time.monotonic()
            self._end_if_complete()

    def _reject(self, exc):
        """Answer malformed bytes with an error after all earlier answers."""
        if self._stopped_accepting:
            return
        self._stopped_accepting = True
        self._in_head = False
        self._fields.clear()
        req, self._receiving = self._receiving, None
        if req is not None:
            req.end_body(
                errors.BodyLengthError(
                    found='another number of', announced=req.content_length
                )
            )
            return
        req = _caller_request.CallerRequest(
            self, '', '', _header_fields.HeaderFields()
        )
        req.end_body()
        self._order.add(req)
        req.task = asyncio.ensure_future(self._server.respond_error(req, exc))

    # Scheduling of requests and flow control.

    def _continue(self):
        """Parse and start further requests, as far as the limits allow."""
        self._parse()
        self._start_next()

    def _start_next(self):
        """Start requests, unless the caller does not read the answers."""
        if not self._writable.is_set():
            return
        for req in self._order.first(MAX_CONCURRENT_REQUESTS):
            if req.task is None:
                req.task = asyncio.ensure_future(self._server.serve(req))

    def buffers_changed(self):
        """Pause or resume reading, and report what the connection holds."""
        if self._transport is None or self._transport.is_closing():
            return
        self._adjust_reading()
        self._server.note_held(self, self._held_bytes(), self.idle)

    def _held_bytes(self):
        return (
            CONNECTION_BYTES
            + (PAUSED_BYTES if self._paused else 0)
            + len(self._unparsed)
            + len(self._fields)
            + self._order.request_bytes()
            + self._order.held_bytes
            + self._transport.get_write_buffer_size()
        )

    def _adjust_reading(self):
        full = self._receiving is not None and (
            self._receiving.body_buffer_full
            or self._receiving.unread_body_bytes > MAX_UNREAD_BODY_BYTES
        )
        pause = (
            full
            or len(self._order) > MAX_CONCURRENT_REQUESTS
            or self._order.held_bytes > MAX_HELD_ANSWER_BYTES
            or not self._writable.is_set()
        )
        if pause == self._paused or self._closing:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def stop_accepting(self):
        """Accept no more requests, and close after the pending answers."""
        self._stopped_accepting = True

    def closes_after(self, req):
        """Return whether the connection closes after a request's answer."""
        return self._stopped_accepting and self._order.is_last(req)

    # Release of memory and descriptors for others.

    def holding(self):
        """Return what the connection holds, and whether it can be shed."""
        receiving = self._receiving
        waits_for_client = (
            self._in_head
            or not self._writable.is_set()
            or self._order.waiting
            or (receiving is not None and receiving.body_refusable)
        )
        return _client_budget.Holding(
            self._held_bytes(),
            self._step_at,
            waits_for_client,
            waits_for_client and not self._order.any_served(),
        )

    def shed(self):
        """Refuse what has not been passed on, and then close.

        A client that does not read its answers would not read a refusal.
        """
        if self._closing or not self._writable.is_set():
            self.abort()
            return
        exc = errors.OverloadedError()
        self._unparsed = b''
        self._unparseable = True
        dropped = self._order.drop_waiting()
        req = self._receiving
        if req is not None and (req in dropped or req.body_refusable):
            self._receiving = None
            req.refuse_body(exc)
        if dropped or self._in_head:
            self._reject(exc)
        self._stopped_accepting = True
        self._end_if_complete()

    def make_room(self):
        """Close the connection at once, in favour of another one."""
        self._closing = True
        if self.idle:
            self._transport.close()
        else:
            self._transport.abort()

    # Sending of answers in the order of the requests.

    async def turn(self, req):
        """Wait until all earlier requests of the connection are answered."""
        await self._order.turn(req)

    def answered(self, req, size):
        """Send a complete answer, or hold it until all earlier ones are sent.

        Parameters
        ==========
        req : CallerRequest
            The request whose answer is complete.
        size : int
            Number of bytes that count as held if the answer has to wait.
        """
        if not self._order.is_first(req):
            self._order.hold(req, size)
            self.buffers_changed()
            return
        self._order.send_ready()
        self._step_at = time.monotonic()
        self._continue()
        if not self._order:
            self._phase_started_at = time.monotonic()
            self._end_if_complete()
            if self._receiving is not None:
                self._schedule_limit_check()

    def write(self, data):
        """Write bytes of the answer that is being sent."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def wait_until_writable(self):
        """Wait until the write buffer is below its high-water mark."""
        await self._writable.wait()

    # Closing of the connection and its time limits.

    @property
    def idle(self):
        """Whether no request is being received or answered."""
        return not (self._order or self._in_head or self._receiving)

    @property
    def busy(self):
        """Whether a request is in progress or an answer is unsent."""
        if self._transport.is_closing():
            return False
        return not self.idle or self._transport.get_write_buffer_size() > 0

    @property
    def awaits_first_request(self):
        """Whether the caller has not completed the head of a request yet."""
        return not (self.has_received_request or self._closing)

    def _end_if_complete(self):
        if (
            self._stopped_accepting
            and self._receiving is None
            and not self._order
        ):
            self.end()

    def end(self):
        """Half-close the connection, and close it after LINGER_S.

        No more bytes are read. Requests that the caller has sent meanwhile
        have not been read, so the caller may send them again.
        """
        if self._closing or self._transport.is_closing():
            return
        self._closing = True
        self._stopped_accepting = True
        if not self._paused:
            self._transport.pause_reading()
        self._transport.write_eof()
        self._phase_started_at = time.monotonic()
        self._schedule_limit_check()

    def abort(self):
        """Close the connection at once.

        A body that ends with its connection would look complete, so a part of
        one is followed by a reset.
        """
        if any(req.ends_by_close for req in self._order.first(1)):
            sock = self._transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self._transport.abort()

    def _schedule_limit_check(self):
        """Set the timer to the time at which a limit may be exceeded."""
        if self._timer is not None:
            self._timer.cancel()
        left_s = (
            self._phase_limit_s() + self._phase_started_at - time.monotonic()
        )
        if self._order or left_s <= 0:
            left_s = LIMIT_CHECK_PERIOD_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_s, self._check_limits)

    def _phase_limit_s(self):
        if self._closing:
            return LINGER_S
        if self._in_head:
            return self._server.header_s
        if self._receiving is not None:
            return UNREAD_BODY_TIMEOUT_S
        return self._server.idle_s

    def _check_limits(self):
        """Close the connection if a time limit is exceeded."""
        now = time.monotonic()
        unsent = self._transport.get_write_buffer_size()
        # The operator's limit on idle connections applies to callers that take
        # nothing as to those that send nothing.
        if self._stall.check(unsent, now) >= self._server.idle_s:
            self.abort()
            return
        late = now - self._phase_started_at >= self._phase_limit_s()
        if self._closing:
            # With unsent bytes, a caller on a slow link is still reading.
            if late and not unsent:
                self._transport.close()
                return
        elif late and self._in_head and not self._order:
            self._reject(errors.SlowHeadError(limit_s=self._server.header_s))
        elif late and not self._order and self._receiving is not None:
            self.abort()
            return
        elif late and self.idle:
            self.end()
            return
        self._schedule_limit_check()

    def limits_changed(self):
        """Apply changed time limits of the server."""
        if not self._transport.is_closing():
            self._schedule_limit_check()


def _request_error(exc, data):
    """Return the error that describes malformed bytes to their caller.

    Parameters
    ==========
    exc : httptools.HttpParserError
        The error of the parser.
    data : bytes
        The bytes that start with the line of the connection's first
        request; empty for later requests.
    """
    if isinstance(exc.__context__, errors.EbonypickError):
        return exc.__context__
    if isinstance(exc, httptools.HttpParserInvalidMethodError):
        line = _REQUEST_LINE.match(data)
        if line is not None:
            return errors.MethodNotAllowedError(
                method=line[1].decode('ascii'), known=', '.join(METHODS)
            )
    return errors.RequestError(reason=str(exc) or 'malformed')

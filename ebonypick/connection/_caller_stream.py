"""One connection of a caller: its requests run at once, answered in order.

Load: callers that send further requests before the first one is answered.
Served one after the other, the last of them waits for the sum of all times.
"""

import asyncio
import re
import time

import httptools
import multidict

from ebonypick.connection import _answer_order
from ebonypick.connection import _caller_request
from ebonypick.connection import _head_limit
from ebonypick.connection import _headers
from ebonypick import errors

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
# Requests of one connection that run at once. With an answer of at most
# 640 KiB held for each, a connection holds 5 MiB.
PIPELINED_MOST = 8
# Answers that wait for their turn; past it no more requests are read.
HELD_BYTES_MOST = 1 << 20
# How long and how much of a body that was not wanted is read, so that its
# caller can read the answer.
DRAIN_S = 1.0
DRAIN_BYTES = 4 << 20
# After the end was sent: time for a caller to read the last answer, which a
# reset would discard (RFC 9112, section 9.6).
LINGER_S = 1.0
# How often the limits of a connection with requests on it are looked at.
CHECK_S = 1.0
_REQUEST_LINE = re.compile(rb'([A-Z]{1,20}) \S+ HTTP/1\.[01]\r?\n')


class CallerStream(asyncio.Protocol):
    """One connection of a caller; owns its requests' tasks.

    Parameters
    ==========
    server : CallerServer
        Handler, limits, and the set of open connections.
    """

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._limit = _head_limit.HeadLimit(server.header_bytes)
        self._order = _answer_order.AnswerOrder()
        # The request whose body is arriving.
        self._arriving = None
        self._url = b''
        self._rows = []
        self._in_head = False
        self._no_more = False
        self._ending = False
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._since = time.monotonic()
        self._timer = None
        self.client = ''
        # Whether its caller understands bodies in chunks.
        self.takes_chunks = True
        self.carried_request = False

    # Callbacks of the transport.

    def connection_made(self, transport):
        """Note who connects."""
        self._transport = transport
        self.client = (transport.get_extra_info('peername') or ('',))[0]
        self._server.connections.add(self)
        self._look_again()

    def data_received(self, data):
        """Parse bytes; what is malformed ends the connection in its turn."""
        if self._ending:
            return
        self._limit.most = self._server.header_bytes
        self._limit.feed(len(data))
        try:
            self._parser.feed_data(data)
            self._limit.check()
        except httptools.HttpParserUpgrade:
            # The request is served; the connection changes to nothing.
            self.take_no_more()
        except httptools.HttpParserError as exc:
            self._reject(_cause(exc, b'' if self.carried_request else data))
        except errors.HeadTooLargeError as exc:
            self._reject(exc)
        if self._in_head:
            self._look_again()
        self.adjust_reading()

    def eof_received(self):
        """Let the transport close."""
        return False

    def connection_lost(self, exc):
        """Cancel what the caller no longer waits for."""
        self._server.connections.discard(self)
        self._ending = True
        self._no_more = True
        if self._timer is not None:
            self._timer.cancel()
        self._order.cancel()
        self._writable.set()

    def pause_writing(self):
        """Read no more from a caller that does not read."""
        self._writable.clear()
        self.adjust_reading()

    def resume_writing(self):
        """Go on."""
        self._writable.set()
        self.adjust_reading()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a request."""
        self._url = b''
        self._rows = []
        if not self._in_head:
            self._since = time.monotonic()
        self._in_head = True
        self._limit.begin()

    def on_url(self, data):
        """Take in a part of the target."""
        self._limit.take(len(data))
        self._url += data

    def on_header(self, name, value):
        """Take in one header, or one after a body in chunks."""
        self._limit.take(len(name) + len(value))
        self._rows.append((name, value))

    def on_headers_complete(self):
        """Start to serve a request, or let it wait for those before it."""
        self._limit.finish()
        self._in_head = False
        if self._no_more:
            return
        method = self._parser.get_method().decode('ascii')
        req = _caller_request.CallerRequest(
            self,
            method,
            self._url.decode('ascii'),
            multidict.CIMultiDict(
                (_headers.decode(name), _headers.decode(value))
                for name, value in self._rows
            ),
        )
        self.takes_chunks = self._parser.get_http_version() == '1.1'
        self.carried_request = True
        self._order.add(req)
        self._arriving = req
        if not (self.takes_chunks and self._parser.should_keep_alive()):
            # Only the connection's end may tell a caller of HTTP/1.0 where
            # a body ends, so that nothing can follow it.
            self._no_more = True
        self._start_next()

    def on_body(self, data):
        """Hand on bytes of a body."""
        self._limit.finish()
        if self._arriving is None:
            return
        self._arriving.add_body(data)
        if self._arriving.body_unread > DRAIN_BYTES and not self._order:
            self.abort()

    def on_message_complete(self):
        """End a body."""
        self._limit.finish()
        req, self._arriving = self._arriving, None
        if req is not None:
            req.end_body()
        if not self._order:
            self._since = time.monotonic()
            self._end_if_asked()

    def _reject(self, exc):
        """Answer malformed bytes after all requests before them."""
        if self._no_more:
            return
        self._no_more = True
        self._in_head = False
        req, self._arriving = self._arriving, None
        if req is not None:
            req.end_body(
                errors.BodyLengthError(
                    found='another number of', announced=req.content_length
                )
            )
            return
        req = _caller_request.CallerRequest(
            self, '', '', multidict.CIMultiDict()
        )
        req.end_body()
        self._order.add(req)
        req.task = asyncio.ensure_future(self._server.refuse(req, exc))

    # Which requests run, and what is read.

    def _start_next(self):
        for req in self._order.first(PIPELINED_MOST):
            if req.task is None:
                req.task = asyncio.ensure_future(self._server.serve(req))

    def adjust_reading(self):
        """Read on, or not while the caller is ahead by too much."""
        if self._transport is None or self._transport.is_closing():
            return
        full = self._arriving is not None and (
            self._arriving.body_full
            or self._arriving.body_unread > DRAIN_BYTES
        )
        pause = (
            full
            or len(self._order) > PIPELINED_MOST
            or self._order.held_bytes > HELD_BYTES_MOST
            or not self._writable.is_set()
        )
        if pause == self._paused or self._ending:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def take_no_more(self):
        """Take no other request; end once those that were read are done."""
        self._no_more = True

    def ends_with(self, req):
        """Return whether the connection ends after a request's answer."""
        return self._no_more and self._order.is_last(req)

    # Answers, in the order of the requests.

    async def turn(self, req):
        """Wait until a request is the first that is not answered."""
        await self._order.turn(req)

    def answered(self, req, size):
        """Take a whole answer; send all whose turn it is now."""
        if not self._order.is_first(req):
            self._order.hold(req, size)
            self.adjust_reading()
            return
        self._order.pass_on()
        self._start_next()
        if not self._order:
            self._since = time.monotonic()
            self._end_if_asked()
            if self._arriving is not None:
                self._look_again()
        self.adjust_reading()

    def write(self, data):
        """Write bytes of the answer whose turn it is."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def drained(self):
        """Wait until the caller has taken most of what was written."""
        await self._writable.wait()

    # The end of the connection.

    @property
    def idle(self):
        """Whether no request is on it, in whole or in part."""
        return not (self._order or self._in_head or self._arriving)

    @property
    def busy(self):
        """Whether a request is on it, or an answer not sent yet."""
        if self._transport.is_closing():
            return False
        return not self.idle or self._transport.get_write_buffer_size() > 0

    @property
    def expects_first(self):
        """Whether a caller has connected and not sent a request yet."""
        return not (self.carried_request or self._ending)

    def _end_if_asked(self):
        if self._no_more and self._arriving is None and not self._order:
            self.end()

    def end(self):
        """Send the end; close when the caller has had time to read it.

        Nothing more is read: what the caller has sent meanwhile was not
        read, and it may send that again.
        """
        if self._ending or self._transport.is_closing():
            return
        self._ending = True
        self._no_more = True
        if not self._paused:
            self._transport.pause_reading()
        self._transport.write_eof()
        self._since = time.monotonic()
        self._look_again()

    def abort(self):
        """Close at once."""
        self._transport.abort()

    def _look_again(self):
        """Set the timer to when a limit may be passed."""
        if self._timer is not None:
            self._timer.cancel()
        left_s = self._limit_s() + self._since - time.monotonic()
        if self._order or left_s <= 0:
            left_s = CHECK_S
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_s, self._check_limits)

    def _limit_s(self):
        if self._ending:
            return LINGER_S
        if self._in_head:
            return self._server.header_s
        if self._arriving is not None:
            return DRAIN_S
        return self._server.idle_s

    def _check_limits(self):
        """End a connection whose caller takes too long."""
        late = time.monotonic() - self._since >= self._limit_s()
        if self._ending:
            # A caller on a slow link is still reading its answer.
            if late and not self._transport.get_write_buffer_size():
                self._transport.close()
                return
        elif late and self._in_head and not self._order:
            self._reject(errors.SlowHeadError(limit_s=self._server.header_s))
        elif late and not self._order and self._arriving is not None:
            self.abort()
            return
        elif late and self.idle:
            self.end()
            return
        self._look_again()

    def limits_changed(self):
        """Look at the limits anew."""
        if not self._transport.is_closing():
            self._look_again()


def _cause(exc, data):
    """Return the error that tells a caller what is wrong with its bytes.

    Parameters
    ==========
    exc : httptools.HttpParserError
        What the parser says.
    data : bytes
        What begins with the first request's line; empty for later ones.
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

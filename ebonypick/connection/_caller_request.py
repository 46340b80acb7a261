"""A caller's request and the methods that answer it."""

import asyncio
import functools
import http
import time
import urllib.parse

from ebonypick import errors
from ebonypick import part_buffer

# Reading from the connection pauses when more than this many body bytes are
# buffered, which leaves the rest with the sender.
BODY_BUFFER_BYTES = 262_144
# Memory of a request that is served, with its task and without its bytes.
REQUEST_BYTES = 4_096
# Status codes whose answers never have a body (RFC 9110, section 6.4.1).
_BODYLESS = frozenset({204, 304})


class CallerRequest:
    """A request as received from a caller.

    Explanation
    ===========
    Several requests of a connection may run concurrently. Their answers are
    sent in the order of the requests: an answer that is complete before all
    earlier answers are sent is held.

    Parameters
    ==========
    stream : CallerStream
        The connection on which the request was received.
    method, target : str
        Method and target as received.
    fields : HeaderFields
        Header fields of the request.
    """

    def __init__(self, stream, method, target, fields):
        self._stream = stream
        self._body = part_buffer.PartBuffer()
        self._received_bytes = 0
        self._body_error = None
        self._body_changed = asyncio.Event()
        # Status, headers and body of an answer that is not sent yet.
        self._held_answer = None
        self._is_chunked = False
        # Whether the end of the connection is the end of the answer's body.
        self.ends_by_close = False
        self.method = method
        self.target = target
        self._fields = fields
        self._fields_bytes = fields.size
        self.client = stream.client
        # Monotonic time at which the head was received.
        self.received_at = time.monotonic()
        self.task = None
        self.started = False
        self.answered = False
        self.body_ended = False
        self.unread_body_bytes = 0
        # The error that a request gets in place of being served.
        self.refusal = None
        # Whether the body may still be refused: no part of it was passed on.
        self.body_refusable = True
        self._retained_bytes = 0
        # Size of the held answer in bytes.
        self.held_size = 0

    @property
    def size(self):
        """Memory of the request in bytes, without its answer."""
        return (
            REQUEST_BYTES
            + len(self.target)
            + self._fields_bytes
            + len(self._body)
            + self._retained_bytes
        )

    def retain(self, size):
        """Count bytes that the handler keeps until the answer.

        Parameters
        ==========
        size : int
            Memory in bytes, in place of what was counted before.
        """
        self._retained_bytes = size
        self._stream.buffers_changed()

    def retain_fields(self, copies):
        """Count header fields that the handler keeps as strings.

        Parameters
        ==========
        copies : int
            How often it keeps them.
        """
        self._fields_bytes = copies * self._fields.unpacked_size
        self._stream.buffers_changed()

    @property
    def headers(self):
        """The header fields, as ``multidict.CIMultiDict``."""
        return self._fields.by_name()

    @property
    def path(self):
        """The path of the target, without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The first value of each query parameter, by name."""
        text = self.target.partition('?')[2]
        args = urllib.parse.parse_qs(text, keep_blank_values=True)
        return {name: values[0] for name, values in args.items()}

    @functools.cached_property
    def content_length(self):
        """The body length that the head announces, or None."""
        # The parser rejects a length that is not a number.
        value = self.headers.get('content-length')
        return int(value) if value is not None else None

    @functools.cached_property
    def _awaits_continue(self):
        """Whether the caller waits for an interim answer."""
        return self.headers.get('expect', '').lower() == '100-continue'

    # Receiving of the body.

    @property
    def body_buffer_full(self):
        """Whether more than BODY_BUFFER_BYTES of the body are buffered."""
        return len(self._body) > BODY_BUFFER_BYTES

    @property
    def left_bytes(self):
        """Bytes of an announced body still to come; None if unannounced."""
        if self.content_length is None:
            return None
        return self.content_length - self._received_bytes

    def add_body(self, data):
        """Buffer body bytes; count and discard them after the answer."""
        self._received_bytes += len(data)
        if self.answered:
            self.unread_body_bytes += len(data)
            return
        self._body.append(data)
        self._body_changed.set()

    def end_body(self, exc=None):
        """Mark the end of the body, or store the error that ended it."""
        self.body_ended = True
        self._body_error = exc
        self._body_changed.set()

    def refuse_body(self, exc):
        """Discard the body; the handler gets an error when it reads on."""
        self._body.take()
        self.end_body(exc)

    async def read(self, timeout_s):
        """Return the next bytes of the body, or None at its end.

        Raises
        ======
        errors.SlowSenderError
            If no bytes arrive within ``timeout_s``.
        errors.BodyLengthError
            If the body is malformed.
        """
        if not self._body and not self.body_ended:
            await self._wait_for_body(timeout_s)
        if self._body:
            data = self._body.take()
            self._stream.buffers_changed()
            return data
        if self._body_error is not None:
            # A copy: the frames of a traceback would hold the body in a cycle.
            raise type(self._body_error)(**self._body_error.fields)
        return None

    async def _wait_for_body(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                if self._awaits_continue:
                    await self.turn()
                    self._stream.write(b'HTTP/1.1 100 Continue\r\n\r\n')
                while not self._body and not self.body_ended:
                    self._body_changed.clear()
                    await self._body_changed.wait()
        except TimeoutError as exc:
            raise errors.SlowSenderError(limit_s=timeout_s) from exc

    # Sending of the answer.

    async def turn(self):
        """Wait until all earlier requests of the connection are answered.

        A request that must not run twice waits before it is forwarded: if
        the answer to an earlier request closes the connection, the caller
        sends the later request again.
        """
        await self._stream.turn(self)

    async def respond(self, status, headers, body=b''):
        """Send a complete answer once all earlier answers are sent."""
        self.started = True
        self._held_answer = status, headers, body
        self.answered = True
        self._stream.answered(self, len(body))

    def flush(self):
        """Write the held answer; called by the connection."""
        if self._held_answer is None:
            return
        status, headers, body = self._held_answer
        self._held_answer = None
        head = self._head(status, headers, len(body))
        if self.method == 'HEAD' or status in _BODYLESS:
            body = b''
        self._stream.write(head + body)

    async def start(self, status, headers, length=None):
        """Send the head of an answer once all earlier answers are sent.

        Parameters
        ==========
        status : int
            HTTP status code.
        headers : list of (str, str)
            Header fields, without Content-Length if ``length`` is given.
        length : int, optional
            Length of the body in bytes. Without it, the body is sent with
            chunked transfer coding if the caller supports that.
        """
        self.started = True
        await self.turn()
        self._is_chunked = (
            length is None
            and self._stream.supports_chunked
            and status not in _BODYLESS
        )
        self.ends_by_close = length is None and not self._is_chunked
        self._stream.write(self._head(status, headers, length))

    def _head(self, status, headers, length):
        """Return the encoded head of an answer."""
        lines = [f'HTTP/1.1 {status} {_reason_phrase(status)}']
        lines += [f'{name}: {value}' for name, value in headers]
        if length is not None and status not in _BODYLESS:
            lines.append(f'content-length: {length}')
        elif self._is_chunked:
            lines.append('transfer-encoding: chunked')
        if self._stream.closes_after(self):
            lines.append('connection: close')
        text = '\r\n'.join(lines) + '\r\n\r\n'
        return text.encode('utf-8', 'surrogateescape')

    async def write(self, data):
        """Send bytes of the answer's body."""
        if self._is_chunked:
            # The part is not copied: it may be as long as a buffer.
            self._stream.write(b'%x\r\n' % len(data))
        self._stream.write(data)
        if self._is_chunked:
            self._stream.write(b'\r\n')
        await self._stream.wait_until_writable()

    async def end(self):
        """Complete the body that was sent with ``write``."""
        if self._is_chunked:
            self._stream.write(b'0\r\n\r\n')
        self.answered = True
        self._stream.answered(self, 0)

    def close_after(self):
        """Close the connection once all requests read are answered."""
        self._stream.stop_accepting()

    def abort(self):
        """Close the connection at once, which marks a body as truncated."""
        self._stream.abort()


def _reason_phrase(status):
    """Return the reason phrase of a status code, or an empty string."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ''

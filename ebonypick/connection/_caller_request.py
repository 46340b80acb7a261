"""A caller's request on its connection, and the way to answer it."""

import asyncio
import collections
import http
import time
import urllib.parse

from ebonypick import errors

# Bytes of a body that wait for their reader; more are left to the sender.
BODY_AHEAD_BYTES = 262_144
# Statuses whose answers never have a body (RFC 9110, section 6.4.1).
_BODYLESS = frozenset({204, 304})


class CallerRequest:
    """A request as it came from a caller, and the way to answer it.

    Explanation
    ===========
    Several requests of a connection may run at once. Their answers leave in
    the order of the requests: an answer that is made before its turn waits.

    Parameters
    ==========
    stream : CallerStream
        The connection that it came on.
    method, target : str
        As they came over the wire.
    headers : multidict.CIMultiDict
        Its headers.
    """

    def __init__(self, stream, method, target, headers):
        self._stream = stream
        self._body = collections.deque()
        self._body_size = 0
        self._body_error = None
        self._body_changed = asyncio.Event()
        # A whole answer that waits for its turn: status, headers and body.
        self._held = None
        self._chunked = False
        self.method = method
        self.target = target
        self.headers = headers
        self.client = stream.client
        # Monotonic time at which its head was read.
        self.read_at = time.monotonic()
        self.task = None
        self.started = False
        self.answered = False
        self.body_ended = False
        self.body_unread = 0
        # Bytes of an answer that waits for its turn.
        self.held_size = 0

    @property
    def path(self):
        """The path without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The query's first value by name."""
        text = self.target.partition('?')[2]
        args = urllib.parse.parse_qs(text, keep_blank_values=True)
        return {name: values[0] for name, values in args.items()}

    @property
    def content_length(self):
        """The announced length of the body, or None."""
        # The parser refuses a length that is no number.
        value = self.headers.get('content-length')
        return int(value) if value is not None else None

    # The body, as the connection gives it.

    @property
    def body_full(self):
        """Whether so much of the body waits that no more should come."""
        return self._body_size > BODY_AHEAD_BYTES

    def add_body(self, data):
        """Take in bytes of the body; count them where nobody wants them."""
        if self.answered:
            self.body_unread += len(data)
            return
        self._body.append(data)
        self._body_size += len(data)
        self._body_changed.set()

    def end_body(self, exc=None):
        """Note the end of the body, or why it does not come."""
        self.body_ended = True
        self._body_error = exc
        self._body_changed.set()

    async def read(self, timeout_s):
        """Return the next bytes of the body, or None at its end.

        Raises
        ======
        errors.SlowSenderError
            If none came in time.
        errors.BodyLengthError
            If the body is malformed.
        """
        if not self._body and not self.body_ended:
            await self._wait_for_body(timeout_s)
        if self._body:
            data = b''.join(self._body)
            self._body.clear()
            self._body_size = 0
            self._stream.adjust_reading()
            return data
        if self._body_error is not None:
            raise self._body_error
        return None

    async def _wait_for_body(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                if self.headers.get('expect', '').lower() == '100-continue':
                    await self.turn()
                    self._stream.write(b'HTTP/1.1 100 Continue\r\n\r\n')
                while not self._body and not self.body_ended:
                    self._body_changed.clear()
                    await self._body_changed.wait()
        except TimeoutError as exc:
            raise errors.SlowSenderError(limit_s=timeout_s) from exc

    # The answer.

    async def turn(self):
        """Wait until all requests before it on its connection are answered.

        A request that must not run twice waits before it is passed on: if
        an answer before it ends the connection, its caller sends it again.
        """
        await self._stream.turn(self)

    async def respond(self, status, headers, body=b''):
        """Send a whole answer, now or when its turn comes."""
        self.started = True
        self._held = status, headers, body
        self.answered = True
        self._stream.answered(self, len(body))

    def flush(self):
        """Write the answer that has waited; for the connection."""
        if self._held is None:
            return
        status, headers, body = self._held
        self._held = None
        head = self._head(status, headers, len(body))
        if self.method == 'HEAD' or status in _BODYLESS:
            body = b''
        self._stream.write(head + body)

    async def start(self, status, headers, length=None):
        """Send the head of an answer when its turn comes.

        Parameters
        ==========
        status : int
            HTTP status.
        headers : list of (str, str)
            Headers, without Content-Length where ``length`` is given.
        length : int, optional
            Length of the body; without it the body is sent in chunks.
        """
        self.started = True
        await self.turn()
        self._chunked = (
            length is None
            and self._stream.takes_chunks
            and status not in _BODYLESS
        )
        self._stream.write(self._head(status, headers, length))

    def _head(self, status, headers, length):
        """Return the bytes of an answer's head."""
        lines = [f'HTTP/1.1 {status} {_phrase(status)}']
        lines += [f'{name}: {value}' for name, value in headers]
        if length is not None and status not in _BODYLESS:
            lines.append(f'content-length: {length}')
        elif self._chunked:
            lines.append('transfer-encoding: chunked')
        if self._stream.ends_with(self):
            lines.append('connection: close')
        text = '\r\n'.join(lines) + '\r\n\r\n'
        return text.encode('utf-8', 'surrogateescape')

    async def write(self, data):
        """Send bytes of the body."""
        if self._chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._stream.write(data)
        await self._stream.drained()

    async def end(self):
        """End the body cleanly."""
        if self._chunked:
            self._stream.write(b'0\r\n\r\n')
        self.answered = True
        self._stream.answered(self, 0)

    def close_after(self):
        """Let the connection end once all that was read is answered."""
        self._stream.take_no_more()

    def abort(self):
        """Break the connection, so that a truncated body shows as such."""
        self._stream.abort()


def _phrase(status):
    """Return the reason phrase of a status, empty where it has none."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ''

"""Reads request bodies: buffers small ones and streams large ones once."""

import enum

from ebonypick import errors
from ebonypick import part_buffer
from ebonypick import request

BUFFER_BYTES = 65_536
SLOW_SENDER_S = 5.0


class _State(enum.Enum):
    """How much of a body has been read, and which part is in memory."""

    UNREAD = 'unread'
    # All of the body is in memory.
    BUFFERED = 'buffered'
    # The start is in memory; the caller still sends the rest.
    STARTED = 'started'
    # The rest was read for an attempt and is not in memory any more.
    SPENT = 'spent'


class RequestBody:
    """The body of a request that is forwarded.

    Explanation
    ===========
    A small body is read completely before the request asks for a slot, so
    that a slow sender does not occupy a slot, and it can be sent again. A
    large body is read while it is sent, so it can be sent only once.

    Parameters
    ==========
    req : CallerRequest
        The request.
    limit : int
        Maximum length in bytes.
    service : str
        The name of the service, for error messages.
    buffer_bytes : int
        Maximum length in bytes of a small body.
    """

    def __init__(self, req, limit, service, buffer_bytes=BUFFER_BYTES):
        self._req = req
        self._limit = limit
        self._service = service
        self._buffer_bytes = buffer_bytes
        self._start = b''
        self._identity = b''
        self._state = _State.UNREAD
        self._size = 0

    async def read_start(self):
        """Read the whole of a small body, or the start of a large one.

        Raises
        ======
        errors.SlowSenderError, errors.BodyLengthError
            If the caller does not send the announced body in time.
        errors.BodyTooLargeError
            If the body exceeds the limit.
        """
        start = part_buffer.PartBuffer()
        state = _State.STARTED
        while self._size < self._buffer_bytes:
            part = await self._read()
            if part is None:
                state = _State.BUFFERED
                break
            start.append(part)
            self._req.retain(len(start))
        self._start = start.take()
        self._state = state
        self._identity = self._start
        if state is _State.STARTED:
            # How much more of it has arrived differs from time to time.
            first = memoryview(self._start)[: self._buffer_bytes]
            self._identity = request.fingerprint(first).encode()
        self._req.body_refusable = False

    async def _read(self):
        """Return the next part of the body, or None at its end."""
        part = await self._req.read(SLOW_SENDER_S)
        if part is None:
            self._check_length()
            return None
        self._size += len(part)
        if self._size > self._limit:
            raise errors.BodyTooLargeError(
                found=self._size, service=self._service, limit=self._limit
            )
        return part

    def _check_length(self):
        announced = self._req.content_length
        if announced is not None and announced != self._size:
            raise errors.BodyLengthError(found=self._size, announced=announced)

    @property
    def identity(self):
        """Bytes that tell the body from others.

        They are a small body itself, or a digest of the start of a large one.
        """
        return self._identity

    @property
    def repeatable(self):
        """Whether the next attempt can send the body from its beginning."""
        return self._state is not _State.SPENT

    @property
    def whole(self):
        """Whether the whole body is in memory."""
        return self._state is _State.BUFFERED

    def data(self, pace):
        """Return the body for one attempt: bytes, a generator or None.

        Parameters
        ==========
        pace : coroutine function
            Awaited with the size of each part before the part is sent.

        Raises
        ======
        errors.IncompleteBodyError
            If an attempt has read a large body. A generator raises it too if
            another one has been started before.
        """
        if self._state is _State.BUFFERED:
            return self._start or None
        self._check_not_spent()
        return self._stream(pace)

    def _check_not_spent(self):
        if self._state is _State.SPENT:
            raise errors.IncompleteBodyError(
                found=len(self._start), size=self._size
            )

    async def _stream(self, pace):
        self._check_not_spent()
        self._state = _State.SPENT
        # What was sent cannot be sent once more, so it is not kept while the
        # caller is slow to send the rest.
        part, self._start = self._start, b''
        while part is not None:
            self._req.retain(len(part))
            await pace(len(part))
            yield part
            part = None
            self._req.retain(0)
            part = await self._read()


async def read_message(req, limit, timeout_s):
    """Return the body of a message from another process of this system.

    Parameters
    ==========
    req : connection.CallerRequest
        The message.
    limit : int
        Maximum length in bytes.
    timeout_s : float
        Maximum time in seconds between two parts of the body.

    Raises
    ======
    errors.BodyTooLargeError, errors.SlowSenderError, errors.BodyLengthError
        If the body exceeds the limit, arrives too slowly or does not have the
        announced length.
    """
    body = part_buffer.PartBuffer()
    while (part := await req.read(timeout_s)) is not None:
        body.append(part)
        req.retain(len(body))
        if len(body) > limit:
            raise errors.BodyTooLargeError(
                found=len(body), service='messages', limit=limit
            )
    return body.take()

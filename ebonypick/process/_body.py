"""Reads request bodies: buffers small ones and streams large ones once."""

from ebonypick import errors

BUFFER_BYTES = 65_536
SLOW_SENDER_S = 5.0


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
        self._ended = False
        self._streamed = False
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
        parts = []
        while self._size < self._buffer_bytes and not self._ended:
            part = await self._read()
            if part is not None:
                parts.append(part)
        self._start = b''.join(parts)

    async def _read(self):
        part = await self._req.read(SLOW_SENDER_S)
        if part is None:
            self._ended = True
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
    def start(self):
        """The part of the body that ``read_start`` has read."""
        return self._start

    @property
    def repeatable(self):
        """Whether the body can be sent from its beginning, also repeatedly."""
        return self._ended or not self._streamed

    @property
    def whole(self):
        """Whether the whole body is in memory."""
        return self._ended and not self._streamed

    def data(self, pace):
        """Return the body for one attempt: bytes, a generator or None.

        Parameters
        ==========
        pace : coroutine function
            Awaited with the size of each part before the part is sent.
        """
        if self._ended:
            return self._start or None
        return self._stream(pace)

    async def _stream(self, pace):
        self._streamed = True
        await pace(len(self._start))
        yield self._start
        while not self._ended:
            part = await self._read()
            if part is not None:
                await pace(len(part))
                yield part


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
    parts = []
    size = 0
    while (part := await req.read(timeout_s)) is not None:
        parts.append(part)
        size += len(part)
        if size > limit:
            raise errors.BodyTooLargeError(
                found=size, service='messages', limit=limit
            )
    return b''.join(parts)

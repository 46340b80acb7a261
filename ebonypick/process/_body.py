"""A caller's request body: its start in memory, the rest streamed once."""

from ebonypick import errors

BUFFER_BYTES = 65_536
SLOW_SENDER_S = 5.0


class RequestBody:
    """The body of a request on its way.

    Explanation
    ===========
    A small body is read whole before the request asks for a slot, so a slow
    sender cannot hold one, and it can be sent again. A large one is read
    only as it is sent, so it can be sent once.

    Parameters
    ==========
    req : CallerRequest
        The request.
    limit : int
        Largest length in bytes.
    service : str
        For messages.
    buffer_bytes : int
        Length up to which a body is small.
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
            If the caller does not send what it announced.
        errors.BodyTooLargeError
            If it is past the limit.
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
    def repeatable(self):
        """Whether it can be sent (again) from its beginning."""
        return self._ended or not self._streamed

    @property
    def whole(self):
        """Whether all of it is in memory."""
        return self._ended and not self._streamed

    def data(self, pace):
        """Return the body for one attempt: bytes, a generator or None.

        Parameters
        ==========
        pace : coroutine function
            Is awaited with each part's size before the part is sent.
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
    """Return the whole body of a message from another process of ours.

    Parameters
    ==========
    req : connection.CallerRequest
        The message.
    limit : int
        Largest length in bytes.
    timeout_s : float
        Longest time without a byte.

    Raises
    ======
    errors.BodyTooLargeError, errors.SlowSenderError, errors.BodyLengthError
        If it is longer, slower, or not what was announced.
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

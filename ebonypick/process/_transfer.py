"""Sends a request over a connection and streams its answer to the caller."""

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _job
from ebonypick import request

BODYLESS_METHODS = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS'})


async def send_request(conn, job, rows):
    """Send a request; answers to other requests will be dropped.

    Parameters
    ==========
    conn : connection.ServerConnection
        A connection without a request in progress.
    job : Job
        The request.
    rows : list of (str, str)
        The header fields to send.

    Raises
    ======
    errors.IncompleteBodyError
        If less than the body that the caller announced can be sent. Nothing
        has been sent then.
    """

    def matches(status, by_name):
        found = platform.answer_head(status, by_name).req
        if found == job.head.req:
            return True
        events.MISMATCHED_ANSWER.log(req=job.head.req, found=found)
        return False

    req = job.req
    method = req.method
    data = job.body.data(_no_pacing)
    whole = data is None or isinstance(data, bytes)
    if whole:
        length = len(data or b'')
        if req.content_length not in (None, length):
            raise errors.IncompleteBodyError(
                found=length, size=req.content_length
            )
        if method in BODYLESS_METHODS and not length:
            length = None
    else:
        length = req.content_length
        if length is None:
            rows = [*rows, ('transfer-encoding', 'chunked')]
    first = connection.request_bytes(method, req.target, rows, length)
    if whole:
        conn.start(first + (data or b''), matches, method == 'HEAD')
        return
    conn.start(first, matches, method == 'HEAD')
    await _send_streamed(conn, data, length is None)


async def _send_streamed(conn, data, chunked):
    """Stream a body that is longer than the buffer."""
    async for part in data:
        if conn.answer_started:
            # The server answered early. It does not need the rest of the
            # body, and the connection cannot be reused.
            conn.close_after()
            return
        if chunked:
            part = b'%x\r\n%b\r\n' % (len(part), part)
        conn.write(part)
        await conn.wait_until_writable()
    if chunked:
        conn.write(b'0\r\n\r\n')


async def stream_answer(node, job, conn, answer, backend=''):
    """Stream a long answer to the caller as it arrives; return the result.

    Parameters
    ==========
    node : SteeringHost
        The host.
    job : Job
        The request.
    conn : connection.ServerConnection
        The connection that the answer is read from.
    answer : connection.Answer
        The head of the answer as received.
    backend : str, optional
        The backend server that gave it.
    """
    req = job.req
    if node.leaving:
        req.close_after()
    length = answer.by_name.get('content-length')
    await req.start(
        answer.status,
        answer_headers(job, answer, backend),
        int(length) if length is not None else None,
    )
    try:
        while part := await conn.read():
            await req.write(part)
        await req.end()
    except connection.LostError as exc:
        req.abort()
        return _job.AttemptResult(
            request.Outcome.UNKNOWN, f'cut: {exc}', response_started=True
        )
    return _job.AttemptResult(
        request.Outcome.DONE,
        f'status {answer.status}',
        response_started=True,
    )


def answer_headers(job, answer, backend=''):
    """Return the header fields of an answer that is forwarded.

    Parameters
    ==========
    job : Job
        The request; another entry host is told which server answered it.
    answer : connection.Answer
        The answer.
    backend : str, optional
        The backend server that gave it.
    """
    rows = [
        (name, value)
        for name, value in connection.headers.end_to_end(answer.headers)
        if name.lower() != 'content-length'
    ]
    if job.relayed:
        rows.append((connection.headers.BACKEND, backend))
    return rows


async def _no_pacing(size):
    return None

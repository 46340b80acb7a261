"""A plain HTTP/1.1 client on asyncio streams, which can pipeline."""

import asyncio


class BrokenAnswerError(Exception):
    """The connection ended, or sent bytes that are no answer."""


def request(
    method, target, req, deadline_ms, key='', body=None, host='c.example'
):
    """Return the bytes of one request."""
    rows = [
        f'{method} {target} HTTP/1.1',
        f'Host: {host}',
        f'Attempt-Id: {req}',
        f'Deadline-Ms: {deadline_ms}',
    ]
    if key:
        rows.append(f'Cookie: Affinity-Key={key}')
    if body is not None:
        rows.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(rows) + '\r\n\r\n').encode() + (body or b'')


async def read_head(reader):
    """Return status (or request line words) and headers of a message."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise BrokenAnswerError(f'no head: {exc!r}') from exc
    first, *lines = data.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first.split(' ', 2), headers


async def read_body(reader, headers):
    """Return the whole body that belongs to the headers."""
    try:
        if 'chunked' in headers.get('transfer-encoding', '').lower():
            parts = []
            while size := int(await reader.readuntil(b'\r\n'), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
            return b''.join(parts)
        return await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError) as exc:
        raise BrokenAnswerError(f'body ends early: {exc!r}') from exc


async def read_answer(reader):
    """Return status, headers and body of the next answer.

    Interim answers are skipped.
    """
    while True:
        words, headers = await read_head(reader)
        if not words[0].startswith('HTTP/1.1'):
            raise BrokenAnswerError(f'no answer: {words[0]!r}')
        if not words[1].startswith('1'):
            break
    return int(words[1]), headers, await read_body(reader, headers)

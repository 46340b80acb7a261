"""HTTP/1.1 messages on plain streams."""

import asyncio


class Closed(Exception):
    """The peer closed the connection before the message was whole."""


async def read_head(reader):
    """Return the first line and the header fields by lower-case name."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed(f'{type(exc).__name__} in a head') from exc
    first, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length or comes in chunks."""
    parts = []
    try:
        if 'chunked' in headers.get('transfer-encoding', '').lower():
            while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(headers.get('content-length', 0))
            parts.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed(f'{type(exc).__name__} in a body') from exc
    return b''.join(parts)


def head(first, rows):
    """Return an encoded head."""
    lines = [first, *(f'{name}: {value}' for name, value in rows)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def read_answer(reader, is_head=False):
    """Return the status, the headers and the body of a whole answer."""
    while True:
        first, headers = await read_head(reader)
        status = int(first.split(' ')[1])
        if status >= 200:
            break
    body = b'' if is_head or status in (204, 304) else (
        await read_body(reader, headers)
    )
    return status, headers, body

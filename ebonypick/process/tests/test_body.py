"""Tests of bodies that an attempt after the first one asks for."""

import asyncio
import types

import pytest

from ebonypick import errors
from ebonypick.process import _body

BUFFER_BYTES = 1_000
PART_BYTES = 300
SIZES = (0, 1, BUFFER_BYTES - 1, BUFFER_BYTES, BUFFER_BYTES + 1, 5_000)


async def _no_pacing(size):
    return None


def _make_request(body, announced, parts=None):
    """Return a request whose body arrives in parts."""
    if parts is None:
        parts = [
            body[start : start + PART_BYTES]
            for start in range(0, len(body), PART_BYTES)
        ]

    async def read(timeout_s):
        return parts.pop(0) if parts else None

    length = len(body) if announced else None
    return types.SimpleNamespace(
        read=read, content_length=length, retain=lambda size: None
    )


async def _take(data, parts):
    """Return what an attempt sends of a body before it fails.

    Parameters
    ==========
    data : bytes, async generator or None
        The body as the attempt gets it.
    parts : int or None
        Number of parts after which the attempt fails; None for no failure.
    """
    if data is None or isinstance(data, bytes):
        return data or b''
    sent = []
    async for part in data:
        sent.append(part)
        if len(sent) == parts:
            break
    return b''.join(sent)


@pytest.mark.parametrize('parts', [0, 1, 2, None])
@pytest.mark.parametrize('announced', [True, False])
@pytest.mark.parametrize('size', SIZES)
def test_a_body_is_given_whole_or_not_at_all(size, announced, parts):
    """Guards against a second attempt that sends the start of a body only."""
    body = bytes(n % 251 for n in range(size))

    async def play():
        found = _body.RequestBody(
            _make_request(body, announced), 1 << 20, 's', BUFFER_BYTES
        )
        await found.read_start()
        data = found.data(_no_pacing)
        if parts != 0:
            await _take(data, parts)
        if found.repeatable:
            return await _take(found.data(_no_pacing), None)
        with pytest.raises(errors.IncompleteBodyError):
            found.data(_no_pacing)
        return None

    again = asyncio.run(play())
    assert again in (body, None)
    if size < BUFFER_BYTES or parts == 0:
        assert again == body


def test_two_attempts_never_share_a_body_that_is_streamed():
    """Guards against a hedge that takes parts of the first attempt's body."""
    body = bytes(5_000)

    async def play():
        found = _body.RequestBody(
            _make_request(body, True), 1 << 20, 's', BUFFER_BYTES
        )
        await found.read_start()
        first, second = found.data(_no_pacing), found.data(_no_pacing)
        start = await anext(first)
        with pytest.raises(errors.IncompleteBodyError):
            await anext(second)
        rest = [part async for part in first]
        return start + b''.join(rest)

    assert asyncio.run(play()) == body


@pytest.mark.parametrize('size', (0, 1, BUFFER_BYTES, 5_000))
def test_a_body_is_recognised_however_it_arrives(size):
    """A caller sends the same body again, in other parts."""

    def identity(body, part_bytes):
        parts = [
            body[start : start + part_bytes]
            for start in range(0, len(body), part_bytes)
        ]
        found = _body.RequestBody(
            _make_request(b'', False, parts), 10_000, 's', BUFFER_BYTES
        )
        asyncio.run(found.read_start())
        return found.identity

    body = bytes(n % 251 for n in range(size))
    assert len({identity(body, n) for n in (1, 300, 999, 5_000)}) == 1
    other = body[:-1] + b'!' if size <= BUFFER_BYTES else b'!' + body[1:]
    if size:
        assert identity(other, 300) != identity(body, 300)

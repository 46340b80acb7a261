"""Tests of the memory and the fidelity of received header fields."""

import tracemalloc

import pytest

from ebonypick.connection import _header_fields
from ebonypick.connection import _headers

HEAD_BYTES = 16_384
# A head is held in its own bytes, with as much again for bookkeeping.
MAX_HELD_BYTES = 2 * HEAD_BYTES
LINES = {
    'short': [(b'%x' % n, b'') for n in range(2_700)],
    'equal': [(b'a', b'')] * 4_096,
    'odd': [(b'%x' % n, b'\xff\xf0\x9f\x98\x80') for n in range(1_300)],
}


def _collect(rows):
    buffer = _header_fields.FieldBuffer()
    for name, value in rows:
        buffer.add(name, value)
    return buffer.fields()


@pytest.mark.parametrize('kind', LINES)
def test_a_head_of_many_lines_is_held_in_little_more_than_its_bytes(kind):
    tracemalloc.start()
    try:
        heads = [_collect(LINES[kind]) for _ in range(50)]
        # What one request uses is not kept for all others.
        for head in heads:
            head.by_name()
        held = tracemalloc.get_traced_memory()[0] / len(heads)
    finally:
        tracemalloc.stop()
    assert held < MAX_HELD_BYTES


@pytest.mark.parametrize('count', (1, 64, 65, 2_000))
def test_fields_keep_their_order_and_their_bytes(count):
    rows = [
        (b'X-%x' % (n % 7), b' a:b\xff\xf0\x9f\x98\x80;%x ' % n)
        for n in range(count)
    ]
    found = [
        (
            name.encode('utf-8', 'surrogateescape'),
            value.encode('utf-8', 'surrogateescape'),
        )
        for name, value in _collect(rows).by_name().items()
    ]
    assert found == rows
    assert _headers.end_to_end(_collect(rows).by_name().items())

"""Compressed messages from other hosts are bounded."""

import pytest

from ebonypick import connection

LIMIT_BYTES = 10_000


def test_a_message_that_expands_without_end_is_rejected():
    """Guards against a short message that fills the memory."""
    data = connection.coding.compress(bytes(LIMIT_BYTES + 1))
    with pytest.raises(ValueError, match='longer than 10000 bytes'):
        connection.coding.expand(data, LIMIT_BYTES)


@pytest.mark.parametrize('end', [0, 1, -1])
def test_a_truncated_message_is_rejected(end):
    data = connection.coding.compress(b'row ' * 100)[:end]
    with pytest.raises(ValueError, match='truncated'):
        connection.coding.expand(data, LIMIT_BYTES)


def test_bytes_that_are_not_compressed_are_rejected():
    with pytest.raises(ValueError, match='cannot be expanded'):
        connection.coding.expand(b'[]', LIMIT_BYTES)

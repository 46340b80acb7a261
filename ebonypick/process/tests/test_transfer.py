"""Tests of what is sent of a request's body."""

import asyncio
import types

import pytest

from ebonypick import errors
from ebonypick.process import _transfer


class _Connection:
    """Collects what is sent."""

    def __init__(self):
        self.sent = []

    def start(self, data, is_expected, head_only):
        self.sent.append(data)


def _send(body, announced):
    conn = _Connection()
    req = types.SimpleNamespace(
        method='POST', target='/1', content_length=announced
    )
    job = types.SimpleNamespace(
        req=req,
        head=types.SimpleNamespace(req='1'),
        body=types.SimpleNamespace(data=lambda pace: body),
    )
    try:
        asyncio.run(_transfer.send_request(conn, job, []))
    finally:
        sent = b''.join(conn.sent)
    return sent


@pytest.mark.parametrize('body', [b'half', None])
def test_nothing_is_sent_of_a_body_that_is_not_whole(body):
    """Guards against a length that is not the one the caller announced."""
    with pytest.raises(errors.IncompleteBodyError):
        _send(body, 8)


@pytest.mark.parametrize('announced', [4, None])
def test_a_whole_body_is_sent_with_its_length(announced):
    sent = _send(b'half', announced)
    assert sent.endswith(b'content-length: 4\r\n\r\nhalf')

"""Tests of the headers that are forwarded between hops."""

import msgspec
import multidict

from ebonypick import connection


def test_headers_passed_on_can_be_encoded():
    """The record of an answer is sent to another host as JSON."""
    found = multidict.CIMultiDict({'Accept': 'a/b', 'TE': 'trailers'})
    rows = connection.headers.end_to_end(found.items())
    assert msgspec.json.encode(rows) == b'[["Accept","a/b"]]'


def test_headers_named_by_connection_are_left_out():
    """RFC 9110, section 7.6.1."""
    rows = [('Connection', 'X-Hop'), ('X-Hop', '1'), ('X-End', '2')]
    assert connection.headers.end_to_end(rows) == [('X-End', '2')]


def test_own_headers_are_left_out():
    """A caller cannot set headers that are reserved for entry hosts."""
    rows = [('Ebonypick-Hop', 'e1'), ('X-End', '2')]
    assert connection.headers.end_to_end(rows) == [('X-End', '2')]

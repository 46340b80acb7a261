"""Parses endpoints: an IPv4 address and a TCP port."""

import ipaddress

from ebonypick import whole_numbers

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def parse_endpoint(text):
    """Return the IP address and the port of an endpoint.

    Examples
    ========
    >>> parse_endpoint('127.0.0.1:80')
    ('127.0.0.1', 80)

    Parameters
    ==========
    text : str
        An IPv4 address and a port, separated by a colon.

    Raises
    ======
    ValueError
        If the text has another form, or the port is out of range.
    """
    address, _, port = text.rpartition(':')
    ipaddress.IPv4Address(address)
    number = whole_numbers.parse_whole(port, _MAX_PORT_DIGITS)
    if number is None or not port.isascii():
        raise ValueError(f'{port[:80]!r} is not a port')
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'the port {port} is not from 1 to {MAX_PORT}')
    return address, number

"""Tests the table of client blocks against a linear search."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from ebonypick import version

BLOCKS = st.dictionaries(
    st.tuples(st.integers(0, 255), st.integers(24, 32)).map(
        lambda pair: str(
            ipaddress.ip_network((0x0A000000 + pair[0], pair[1]), strict=False)
        )
    ),
    st.sampled_from(['a', 'b', 'c']),
    max_size=12,
)


@given(BLOCKS, st.integers(0, 300))
def test_longest_prefix_wins(blocks, offset):
    """The flattened table gives the region of the longest matching block."""
    address = ipaddress.ip_address(0x0A000000 + offset)
    matching = [
        (ipaddress.ip_network(block).prefixlen, region)
        for block, region in blocks.items()
        if address in ipaddress.ip_network(block)
    ]
    expected = max(matching)[1] if matching else None
    table = version.make_block_table(blocks)
    assert table.find(str(address)) == expected


def test_both_ip_versions():
    """One table holds blocks of IPv4 and IPv6."""
    table = version.make_block_table({'::/0': 'a', '10.0.0.0/8': 'b'})
    assert table.find('2001:db8::1') == 'a'
    assert table.find('10.9.9.9') == 'b'
    assert table.find('11.0.0.0') is None

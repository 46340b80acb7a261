"""Finds the region of a caller by its IP address in sorted client blocks."""

import array
import bisect
import ipaddress


class BlockTable:
    """Client blocks as sorted disjoint address ranges.

    Explanation
    ===========
    Blocks may be nested; the longest prefix wins. They are flattened once
    into the start addresses of disjoint ranges, so that a look-up is one
    bisection and the table needs no object per block.

    Examples
    ========
    >>> table = make_block_table({'10.0.0.0/8': 'a', '10.1.0.0/16': 'b'})
    >>> table.find('10.0.0.7'), table.find('10.1.0.7'), table.find('9.0.0.1')
    ('a', 'b', None)

    Parameters
    ==========
    tables : dict of int to tuple
        By IP version, an array or list of start addresses and an array of
        indices into ``regions``; the index 0 means no region.
    regions : tuple of str or None
        The region names by index; the first one is None.
    """

    def __init__(self, tables, regions):
        self._tables = tables
        self._regions = regions

    def __len__(self):
        return sum(len(starts) for starts, _ in self._tables.values())

    def find(self, address):
        """Return the region of an IP address, or None.

        Raises
        ======
        ValueError
            If the text is not an IP address.
        """
        ip = ipaddress.ip_address(address)
        return self.find_int(int(ip), ip.version)

    def find_int(self, number, ip_version=4):
        """Return the region of an IP address given as an integer, or None."""
        starts, values = self._tables[ip_version]
        index = bisect.bisect_right(starts, number) - 1
        if index < 0:
            return None
        return self._regions[values[index]]


def _flatten(blocks):
    """Return (start, value) rows of disjoint ranges from nested blocks."""
    rows = []
    stack = []

    def append(start, value):
        if rows and rows[-1][0] == start:
            rows[-1] = (start, value)
        else:
            rows.append((start, value))

    def close_until(number):
        while stack and stack[-1][0] < number:
            end, _ = stack.pop()
            append(end + 1, stack[-1][1] if stack else 0)

    for start, end, value in blocks:
        close_until(start)
        append(start, value)
        stack.append((end, value))
    close_until(1 << 129)
    return rows


def make_block_table(blocks):
    """Return the table of a configuration's client blocks.

    Parameters
    ==========
    blocks : dict of str to str
        The region of each block, by the CIDR notation of the block.

    Returns
    =======
    BlockTable
    """
    regions = (None,) + tuple(sorted(set(blocks.values())))
    index = {name: number for number, name in enumerate(regions)}
    parts = {4: [], 6: []}
    for text, region in blocks.items():
        net = ipaddress.ip_network(text)
        first = int(net.network_address)
        last = first + net.num_addresses - 1
        parts[net.version].append((first, last, index[region]))
    tables = {}
    for ip_version, rows in parts.items():
        rows.sort(key=lambda row: (row[0], -row[1]))
        flat = _flatten(rows)
        starts = [start for start, _ in flat]
        if ip_version == 4:
            # A range may start just past the last IPv4 address, which does
            # not fit in 32 bits.
            starts = array.array('Q', starts)
        values = array.array('H', [value for _, value in flat])
        tables[ip_version] = (starts, values)
    return BlockTable(tables, regions)

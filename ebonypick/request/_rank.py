"""Ranks names for a key identically on all hosts, by rendezvous hashing."""

import heapq
import math

import xxhash

_HASH_RANGE = (1 << 64) + 1


def rendezvous(key, names, count=1):
    """Return the ``count`` names that rank highest for a key.

    Examples
    ========
    >>> rendezvous('k', ['a', 'b', 'c'], 3) == rendezvous(
    ...     'k', ['c', 'a', 'b'], 3)
    True

    References
    ==========
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking, 1998.
    """

    def rank(name):
        return xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())

    return tuple(sorted(names, key=rank, reverse=True)[:count])


def weighted_rendezvous(key, weights, count):
    """Return the ``count`` names that rank highest by weighted hashing.

    Over many keys, each name ranks first in proportion to its weight. A change
    of one weight moves only keys from or to its name.

    Examples
    ========
    >>> weights = {'a': 1.0, 'b': 3.0}
    >>> firsts = [weighted_rendezvous(str(n), weights, 1)[0]
    ...           for n in range(1000)]
    >>> 700 < firsts.count('b') < 800
    True

    Parameters
    ==========
    key : str
        The key to be placed.
    weights : dict of str to float
        Positive weights by name.
    count : int
        Number of names to return.

    References
    ==========
    .. [1] J. Mosig, C. Schindelhauer, "Weighted distributed hash tables",
       SPAA 2005.
    """

    def rank(item):
        name, weight = item
        number = xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())
        return -math.log((number + 1) / _HASH_RANGE) / weight

    best = heapq.nsmallest(count, weights.items(), key=rank)
    return tuple(name for name, _ in best)

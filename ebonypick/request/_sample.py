"""Chooses the records that fit into a message to another host."""


def newest_and_others(rows, count, rng):
    """Return at most ``count`` rows: half of them the newest, others random.

    New records spread at once, and in a few messages all of them do.

    Examples
    ========
    >>> import random
    >>> newest_and_others([5, 4, 3], 4, random.Random(1))
    [5, 4, 3]
    >>> newest_and_others(list(range(9)), 4, random.Random(1))[:2]
    [0, 1]

    Parameters
    ==========
    rows : list
        The rows, newest first.
    count : int
        Number of rows at most.
    rng : random.Random
        Chooses the others.
    """
    if len(rows) <= count:
        return rows
    newest = count // 2
    return rows[:newest] + rng.sample(rows[newest:], count - newest)

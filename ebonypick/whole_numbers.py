"""Parses whole numbers in text of other processes."""

# No valid time or count has more digits.
MAX_DIGITS = 15


def parse_whole(text, max_digits=MAX_DIGITS):
    """Return the non-negative integer in a text, or None if there is none.

    Examples
    ========
    >>> parse_whole('12'), parse_whole('-1'), parse_whole('')
    (12, None, None)
    >>> parse_whole('123', max_digits=2) is None
    True

    Parameters
    ==========
    text : str
        The text.
    max_digits : int, optional
        A number with more digits counts as none.
    """
    if text.isdecimal() and len(text) <= max_digits:
        return int(text)
    return None

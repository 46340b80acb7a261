"""Spans of time and counts as the platform writes them."""

from ebonypick import errors
from ebonypick import spans

# More digits than any time or count has.
DIGITS_MOST = 15


def parse_whole(text):
    """Return a whole number that is not negative, or None.

    Examples
    ========
    >>> parse_whole('12'), parse_whole('-1'), parse_whole('')
    (12, None, None)
    """
    if text.isdecimal() and len(text) <= DIGITS_MOST:
        return int(text)
    return None


def parse_span_s(text, field):
    """Return a span of time in seconds.

    Examples
    ========
    >>> parse_span_s('1500ms', 'timeout'), parse_span_s('2.5s', 'grace')
    (1.5, 2.5)

    Parameters
    ==========
    text : str
        A number and its unit, ``ms`` or ``s``.
    field : str
        Where it stands, for messages.

    Raises
    ======
    errors.ForeignValueError
        If it is something else.
    """
    try:
        return spans.parse_span_s(text)
    except ValueError as exc:
        raise errors.ForeignValueError(
            field=field,
            found=repr(text)[:80],
            wanted="a span such as '1500ms'",
        ) from exc

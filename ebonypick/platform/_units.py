"""Parses time spans and counts in the notation of the platform."""

from ebonypick import errors
from ebonypick import spans


def parse_span_s(text, field):
    """Return a time span in seconds.

    Examples
    ========
    >>> parse_span_s('1500ms', 'timeout'), parse_span_s('2.5s', 'grace')
    (1.5, 2.5)

    Parameters
    ==========
    text : str
        A number followed by its unit, ``ms`` or ``s``.
    field : str
        The name of the field, for the error message.

    Raises
    ======
    errors.InvalidValueError
        If the value has another form.
    """
    try:
        return spans.parse_span_s(text)
    except ValueError as exc:
        raise errors.InvalidValueError(
            field=field,
            found=repr(text)[:80],
            wanted="a time span such as '1500ms' or '2.5s'",
        ) from exc

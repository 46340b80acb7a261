"""Parses time spans in the notation of settings and configurations."""

import re

_SPAN = re.compile(r'^(\d{1,15}(?:\.\d{1,15})?)(ms|s)$', re.ASCII)
_UNITS_S = {'ms': 0.001, 's': 1.0}


def parse_span_s(text):
    """Return a time span in seconds.

    Examples
    ========
    >>> parse_span_s('1500ms'), parse_span_s('2.5s')
    (1.5, 2.5)

    Parameters
    ==========
    text : str
        A number followed by its unit, ``ms`` or ``s``.

    Raises
    ======
    ValueError
        If the value has another form.
    """
    found = _SPAN.match(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f'{text!r} is not a time span such as 1500ms or 2.5s')
    return float(found[1]) * _UNITS_S[found[2]]

"""JSON of values that hold text from outside.

Headers keep bytes that are not UTF-8 as lone surrogates, from which they can
be made again. A strict encoder refuses those.
"""

import json

import msgspec


def encode(value):
    """Return a value as JSON; what no JSON type fits is written as text.

    Examples
    ========
    >>> encode({'a': 1})
    b'{"a":1}'
    >>> encode({'id': 'a\\udcff'})
    b'{"id":"a\\\\udcff"}'
    """
    try:
        return msgspec.json.encode(value, enc_hook=str)
    except UnicodeEncodeError:
        text = json.dumps(value, default=str, separators=(',', ':'))
        return text.encode()

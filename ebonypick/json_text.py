"""Encodes values with text from external sources as JSON.

Bytes of a header that are not UTF-8 are decoded to lone surrogates, so that
the original bytes can be restored. A strict JSON encoder rejects these.
"""

import json

import msgspec


def encode(value):
    """Return a value as JSON; objects of other types become strings.

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

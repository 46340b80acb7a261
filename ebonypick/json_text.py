"""Encodes and decodes JSON with values from external sources.

Bytes of a header that are not UTF-8 are decoded to lone surrogates, so that
the original bytes can be restored. A strict JSON encoder rejects these.
"""

import json
import typing

import msgspec

# A larger number is not exact in every JSON codec, and some cannot encode it.
MAX_WHOLE = 1 << 53
Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


def decode(data, kind=typing.Any):
    """Return the value of JSON that another process wrote.

    Examples
    ========
    >>> decode(b'[1, 2]', tuple[Whole, Whole])
    (1, 2)

    Parameters
    ==========
    data : bytes
        The JSON.
    kind : type, optional
        The type of the value.

    Raises
    ======
    msgspec.MsgspecError
        If the data is not JSON of a value of that type, or is nested more
        deeply than can be read.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, UnicodeDecodeError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc


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

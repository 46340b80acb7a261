"""Sets a top-level value in the text of a file and preserves the rest."""

import json

import pyjson5

from ebonypick.version import _parse

INDENT = '    '


def _root_object(data):
    root = _parse.parse_tree(data)
    return next(n for n in root.named_children if n.type == 'object')


def set_value(text, key, value):
    """Return the text of an object with a top-level value set.

    Comments and layout outside the value are preserved.

    Examples
    ========
    >>> print(set_value('{"a": 1 /* one */}', 'a', 2))
    {"a": 2 /* one */}
    >>> print(set_value('{"a": 1}', 'b', [2]))
    {"a": 1,
        "b": [2]}

    Parameters
    ==========
    text : str
        A valid object as JSON with comments.
    key : str
        The top-level key.
    value : object
        The new value, of types that JSON can represent.

    Returns
    =======
    str
    """
    data = text.encode()
    node = _root_object(data)
    pairs = [n for n in node.named_children if n.type == 'pair']
    new = json.dumps(value).encode()
    for pair in pairs:
        name = pair.child_by_field_name('key')
        if pyjson5.loads(name.text.decode()) == key:
            old = pair.child_by_field_name('value')
            return (
                data[: old.start_byte] + new + data[old.end_byte :]
            ).decode()
    addition = f'\n{INDENT}{json.dumps(key)}: '.encode() + new
    if pairs:
        at = pairs[-1].end_byte
        return (data[:at] + b',' + addition + data[at:]).decode()
    at = node.start_byte + 1
    return (data[:at] + addition + data[at:]).decode()

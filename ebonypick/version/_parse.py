"""Parses JSON with comments and records the position of each value."""

import dataclasses
import functools

import pyjson5
import tree_sitter
import tree_sitter_json

from ebonypick import errors

# Largest nesting depth. Valid files are less deep, and the limit is well below
# the recursion limit of the interpreter.
DEPTH_LIMIT = 64


@dataclasses.dataclass(frozen=True)
class Place:
    """The position of a value: file, line and column, counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self):
        return f'{self.file}:{self.line}:{self.column}'


@dataclasses.dataclass(frozen=True)
class Source:
    """A parsed file.

    Parameters
    ==========
    file : str
        The name of the file, for messages.
    text : str
        The text of the file.
    value : dict
        The value parsed from the text.
    places : dict of tuple to Place
        The position of the value at each path of keys.
    """

    file: str
    text: str
    value: dict
    places: dict

    def place(self, path):
        """Return the position of a path, or of its nearest known parent."""
        path = tuple(path)
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, Place(self.file, 1, 1))


@functools.cache
def _parser():
    language = tree_sitter.Language(tree_sitter_json.language())
    return tree_sitter.Parser(language)


def parse_tree(data):
    """Return the root node of the syntax tree of a file's bytes."""
    return _parser().parse(data).root_node


def _first_error(node):
    if node.type == 'ERROR' or node.is_missing:
        return node
    for child in node.children:
        if child.has_error:
            found = _first_error(child)
            if found is not None:
                return found
    return None


def _content(node):
    return [
        child
        for child in node.named_children
        if child.type not in ('comment', 'ERROR')
    ]


def _walk(node, path, file, places):
    row, column = node.start_point
    places[path] = Place(file, row + 1, column + 1)
    if len(path) >= DEPTH_LIMIT:
        return
    if node.type == 'object':
        for pair in _content(node):
            key = pair.child_by_field_name('key')
            value = pair.child_by_field_name('value')
            if key is None or value is None:
                continue
            name = pyjson5.loads(key.text.decode())
            _walk(value, path + (name,), file, places)
    elif node.type == 'array':
        for index, child in enumerate(_content(node)):
            _walk(child, path + (index,), file, places)


def _syntax_error(file, root):
    node = _first_error(root)
    row, column = node.start_point if node is not None else (0, 0)
    return errors.SyntaxProblemError(
        file=file, line=row + 1, column=column + 1
    )


def parse_source(text, file):
    """Parse the text of a file of JSON with comments.

    Examples
    ========
    >>> source = parse_source('{"a": 1, // one\\n "b": [2]}', 'x.json')
    >>> source.value
    {'a': 1, 'b': [2]}
    >>> str(source.place(('b', 0)))
    'x.json:2:8'

    Parameters
    ==========
    text : str
        The text of the file.
    file : str
        The name of the file, for messages.

    Returns
    =======
    Source

    Raises
    ======
    errors.SyntaxProblemError
        If the text is not an object in JSON with comments.
    """
    data = text.encode('utf-8', 'surrogatepass')
    root = parse_tree(data)
    if root.has_error:
        raise _syntax_error(file, root)
    try:
        value = pyjson5.loads(text, maxdepth=DEPTH_LIMIT)
    except pyjson5.Json5Exception as exc:
        raise _syntax_error(file, root) from exc
    content = _content(root)
    if len(content) != 1 or not isinstance(value, dict):
        raise _syntax_error(file, root)
    places = {}
    _walk(content[0], (), file, places)
    return Source(file, text, value, places)


def read_source(path):
    """Read and parse a file.

    Raises
    ======
    errors.FileProblemError
        If the file cannot be read.
    errors.SyntaxProblemError
        If the text is not an object in JSON with comments.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileProblemError(file=str(path), reason=exc) from exc
    return parse_source(text, str(path))

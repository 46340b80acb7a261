"""Converts parsed values to immutable data classes and lists problems."""

import dataclasses
import difflib
import types
import typing

import msgspec


@dataclasses.dataclass(frozen=True)
class Problem:
    """A problem of the value at one path of a file.

    Parameters
    ==========
    place : str
        The file, line and column of the value.
    path : str
        The keys that lead to the value, joined by dots.
    text : str
        The value found and the values allowed.
    """

    place: str
    path: str
    text: str

    def __str__(self):
        return f'{self.place}: {self.path}: {self.text}'


def _nearest(name, known):
    near = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    if near:
        return f'; did you mean {near[0]!r}?'
    return f'; known are: {", ".join(sorted(known)) or "none"}'


def nearest_hint(name, known):
    """Return a hint with the known name that is closest to ``name``.

    Examples
    ========
    >>> nearest_hint('rostr', ['roster', 'photos'])
    "; did you mean 'roster'?"
    """
    return _nearest(str(name), [str(item) for item in known])


class _Converter:
    """Converts a value by its type and collects all problems."""

    def __init__(self, source):
        self.source = source
        self.problems = []

    def add_problem(self, path, text):
        dotted = '.'.join(str(key) for key in path) or '(file)'
        place = str(self.source.place(path))
        self.problems.append(Problem(place, dotted, text))

    def convert(self, value, kind, path):
        if dataclasses.is_dataclass(kind):
            return self._struct(value, kind, path)
        origin = typing.get_origin(kind)
        if origin is dict:
            return self._mapping(value, typing.get_args(kind)[1], path)
        if origin is types.UnionType:
            if value is None:
                return None
            return self.convert(value, typing.get_args(kind)[0], path)
        if origin is tuple:
            return self._sequence(value, typing.get_args(kind), path)
        return self._leaf(value, kind, path)

    def _leaf(self, value, kind, path):
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as exc:
            reason = str(exc).split(' - at ')[0]
            self.add_problem(path, f'found {value!r}; {reason}')
            return None

    def _mapping(self, value, kind, path):
        if not isinstance(value, dict):
            self.add_problem(path, f'found {value!r}; an object is expected')
            return {}
        return {
            key: self.convert(item, kind, path + (key,))
            for key, item in value.items()
        }

    def _sequence(self, value, kinds, path):
        if not isinstance(value, list):
            self.add_problem(path, f'found {value!r}; a list is expected')
            return ()
        if kinds[-1] is Ellipsis:
            kinds = kinds[:1] * len(value)
        if len(kinds) != len(value):
            self.add_problem(
                path, f'found {len(value)} items; {len(kinds)} are expected'
            )
            return ()
        return tuple(
            self.convert(item, kind, path + (index,))
            for index, (item, kind) in enumerate(zip(value, kinds))
        )

    def _struct(self, value, kind, path):
        if not isinstance(value, dict):
            self.add_problem(path, f'found {value!r}; an object is expected')
            return None
        fields = {field.name: field for field in dataclasses.fields(kind)}
        hints = typing.get_type_hints(kind, include_extras=True)
        values = {}
        for key, item in value.items():
            if key not in fields:
                self.add_problem(
                    path + (key,), f'unknown key{_nearest(key, fields)}'
                )
                continue
            values[key] = self.convert(item, hints[key], path + (key,))
        for name, field in fields.items():
            required = (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            )
            if required and name not in value:
                self.add_problem(path, f'the required key {name!r} is missing')
                values[name] = None
        return kind(**values)


def convert(source, kind):
    """Convert a parsed file to an immutable data class.

    Parameters
    ==========
    source : Source
        The parsed file.
    kind : type
        An immutable data class.

    Returns
    =======
    value : object
        An instance of ``kind``, which is valid only without problems.
    problems : tuple of Problem
        All problems of the file.
    """
    converter = _Converter(source)
    value = converter.convert(source.value, kind, ())
    return value, tuple(converter.problems)

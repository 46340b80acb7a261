"""Turns parsed values into frozen data classes and names every problem."""

import dataclasses
import difflib
import types
import typing

import msgspec


@dataclasses.dataclass(frozen=True)
class Problem:
    """What is wrong at one path of a file.

    Parameters
    ==========
    place : str
        File, line and column.
    path : str
        The keys that lead to the value, joined by dots.
    text : str
        What was found and what is allowed.
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
    """Return words that name the known name closest to ``name``.

    Examples
    ========
    >>> nearest_hint('rostr', ['roster', 'photos'])
    "; did you mean 'roster'?"
    """
    return _nearest(str(name), [str(item) for item in known])


class _Converter:
    """Walks a value beside its type and collects problems."""

    def __init__(self, source):
        self.source = source
        self.problems = []

    def note(self, path, text):
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
            self.note(path, f'found {value!r}; {reason}')
            return None

    def _mapping(self, value, kind, path):
        if not isinstance(value, dict):
            self.note(path, f'found {value!r}; an object is expected')
            return {}
        return {
            key: self.convert(item, kind, path + (key,))
            for key, item in value.items()
        }

    def _sequence(self, value, kinds, path):
        if not isinstance(value, list):
            self.note(path, f'found {value!r}; a list is expected')
            return ()
        if kinds[-1] is Ellipsis:
            kinds = kinds[:1] * len(value)
        if len(kinds) != len(value):
            self.note(path, f'{len(value)} items; {len(kinds)} are expected')
            return ()
        return tuple(
            self.convert(item, kind, path + (index,))
            for index, (item, kind) in enumerate(zip(value, kinds))
        )

    def _struct(self, value, kind, path):
        if not isinstance(value, dict):
            self.note(path, f'found {value!r}; an object is expected')
            return None
        fields = {field.name: field for field in dataclasses.fields(kind)}
        hints = typing.get_type_hints(kind, include_extras=True)
        values = {}
        for key, item in value.items():
            if key not in fields:
                self.note(path + (key,), f'unknown key{_nearest(key, fields)}')
                continue
            values[key] = self.convert(item, hints[key], path + (key,))
        for name, field in fields.items():
            required = (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            )
            if required and name not in value:
                self.note(path, f'the key {name!r} is missing')
                values[name] = None
        return kind(**values)


def convert(source, kind):
    """Turn a parsed file into a frozen data class.

    Parameters
    ==========
    source : Source
        The parsed file.
    kind : type
        A frozen data class.

    Returns
    =======
    value : object
        An instance of ``kind``; only to be used without problems.
    problems : tuple of Problem
        Everything that is wrong with the file.
    """
    converter = _Converter(source)
    value = converter.convert(source.value, kind, ())
    return value, tuple(converter.problems)

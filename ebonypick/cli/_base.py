"""The registry of sub-commands, their flags, and their output."""

import dataclasses
import getpass
import json
import sys

from absl import flags
import msgspec
from rich import console
from rich import table

from ebonypick import connection
from ebonypick import errors
from ebonypick import registry

commands = registry.Registry('command')

CONFIG = flags.DEFINE_string('config', '.', 'Folder of base.json and sites/.')
PLATFORM = flags.DEFINE_string(
    'platform', '127.0.0.1:8300', 'Address and port of the platform.'
)
ENTRY = flags.DEFINE_string(
    'entry', '127.0.0.1:8400', 'Address and port of any entry host.'
)
AS_JSON = flags.DEFINE_bool('json', False, 'Print JSON for machines.')
BY = flags.DEFINE_string('by', None, 'Who submits; the user by default.')
NOTE = flags.DEFINE_string('note', '', 'Why.')

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5


@dataclasses.dataclass(frozen=True)
class Command:
    """A sub-command.

    Parameters
    ==========
    run : coroutine function
        Takes the words after the command; returns an exit code or None.
    usage : str
        The words that it takes.
    help : str
        What it does.
    example : str
        A call of it.
    """

    run: object
    usage: str
    help: str
    example: str


def command(name, usage, example):
    """Return a decorator that registers a sub-command."""

    def decorate(function):
        text = function.__doc__.splitlines()[0]
        commands.register(name)(Command(function, usage, text, example))
        return function

    return decorate


class UsageError(errors.EbonypickError):
    """The words of a command do not fit."""

    code = 'EP6000'
    message = 'The command {command!r} is not called so.'
    remedy = 'Usage: ebonypick {command} {usage}'


class UnreachableError(errors.EbonypickError):
    """An entry host cannot be reached."""

    code = 'EP6001'
    message = 'The entry host at {address} cannot be reached: {reason}.'
    remedy = 'Name another one with --entry.'


def exit_code(exc):
    """Return the exit code of an error."""
    if isinstance(exc, errors.ConflictError):
        return EXIT_CONFLICT
    if isinstance(exc, errors.SubmitUnknownError):
        return EXIT_UNKNOWN
    if isinstance(exc, errors.ConfigError | UsageError):
        return EXIT_INVALID
    if isinstance(exc, errors.PlatformError | UnreachableError):
        return EXIT_UNREACHABLE
    return EXIT_FAILED


@dataclasses.dataclass(frozen=True)
class Table:
    """Rows under heads, for people or for machines."""

    title: str
    heads: tuple
    rows: list


def print_tables(*tables):
    """Print tables, or one JSON object with a list of objects for each."""
    if AS_JSON.value:
        plain = {
            item.title: [dict(zip(item.heads, row)) for row in item.rows]
            for item in tables
        }
        print(json.dumps(msgspec.to_builtins(plain, str_keys=True), indent=1))
        return
    width = None if sys.stdout.isatty() else 200
    out = console.Console(width=width)
    for item in tables:
        found = table.Table(title=item.title)
        for head in item.heads:
            found.add_column(head, overflow='fold')
        for row in item.rows:
            found.add_row(*(str(cell) for cell in row))
        out.print(found)


def print_result(**values):
    """Print named values as lines, or as JSON where that is asked for."""
    if AS_JSON.value:
        print(json.dumps(values))
        return
    for name, value in values.items():
        print(f'{name}: {value}')


def note_progress(text):
    """Tell a person what is going on, on standard error."""
    if not AS_JSON.value:
        print(text, file=sys.stderr, flush=True)


def submitter():
    """Return who submits."""
    return BY.value or getpass.getuser()


def split_end(text):
    """Return address and port of ``address:port``.

    Raises
    ======
    errors.RequestError
        If the text is no such pair.
    """
    address, _, port = text.rpartition(':')
    if not address or not port.isdigit():
        raise errors.RequestError(reason=f'{text!r} is no address:port')
    return address, int(port)


def make_platform():
    """Return the platform that the flags name."""
    return connection.make_platform('http', *split_end(PLATFORM.value))

"""Registry of sub-commands, common flags, and output functions."""

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

CONFIG = flags.DEFINE_string(
    'config', '.', 'Folder with base.json and sites/.'
)
PLATFORM = flags.DEFINE_string(
    'platform', '127.0.0.1:8300', 'Address and port of the platform.'
)
ENTRY = flags.DEFINE_string(
    'entry', '127.0.0.1:8400', 'Address and port of any entry host.'
)
AS_JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of tables.')
BY = flags.DEFINE_string(
    'by', None, 'Author of a submission; the login name by default.'
)
NOTE = flags.DEFINE_string('note', '', 'Reason for a submission.')

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5


@dataclasses.dataclass(frozen=True)
class Command:
    """A sub-command of the command line.

    Parameters
    ==========
    run : coroutine function
        Takes the list of positional arguments; returns an exit code, or None
        for success.
    usage : str
        Synopsis of the positional arguments.
    help : str
        One-line description.
    example : str
        An example call.
    """

    run: object
    usage: str
    help: str
    example: str


def command(name, usage, example):
    """Return a decorator that registers a coroutine as a sub-command.

    The first line of its docstring becomes the help text.
    """

    def decorate(function):
        text = function.__doc__.splitlines()[0]
        commands.register(name)(Command(function, usage, text, example))
        return function

    return decorate


class UsageError(errors.EbonypickError):
    """The arguments of a command are invalid."""

    code = 'EP6000'
    message = 'The arguments of the command {command!r} are invalid.'
    remedy = 'Usage: ebonypick {command} {usage}'


class UnreachableError(errors.EbonypickError):
    """An entry host cannot be reached."""

    code = 'EP6001'
    message = 'The entry host at {address} cannot be reached: {reason}.'
    remedy = 'Name another entry host with --entry.'


def exit_code(exc):
    """Return the exit code of the process for an error."""
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
    """Rows with column headings, printed as a table or as JSON."""

    title: str
    columns: tuple
    rows: list


def print_tables(*tables):
    """Print tables, or with ``--json`` one object that maps titles to rows."""
    if AS_JSON.value:
        plain = {
            item.title: [dict(zip(item.columns, row)) for row in item.rows]
            for item in tables
        }
        print(json.dumps(msgspec.to_builtins(plain, str_keys=True), indent=1))
        return
    width = None if sys.stdout.isatty() else 200
    out = console.Console(width=width)
    for item in tables:
        found = table.Table(title=item.title)
        for head in item.columns:
            found.add_column(head, overflow='fold')
        for row in item.rows:
            found.add_row(*(str(cell) for cell in row))
        out.print(found)


def print_result(**values):
    """Print named values, one a line, or as one JSON object."""
    if AS_JSON.value:
        print(json.dumps(values))
        return
    for name, value in values.items():
        print(f'{name}: {value}')


def print_progress(text):
    """Print a progress message on standard error, unless JSON is printed."""
    if not AS_JSON.value:
        print(text, file=sys.stderr, flush=True)


def submission_author():
    """Return the author of a submission."""
    return BY.value or getpass.getuser()


def split_address(text):
    """Return the address and the port of ``address:port``.

    Raises
    ======
    errors.RequestError
        If the text does not have this form.
    """
    address, _, port = text.rpartition(':')
    if not address or not port.isdigit():
        raise errors.RequestError(
            reason=f'{text!r} does not have the form address:port'
        )
    return address, int(port)


def make_platform():
    """Return a client of the platform at the address of ``--platform``."""
    return connection.make_platform('http', *split_address(PLATFORM.value))

"""The command-line interface ``ebonypick`` for operators."""

import asyncio
import sys

from absl import app

from ebonypick.cli import _base
from ebonypick.cli import _files
from ebonypick.cli import _live
from ebonypick.cli import _platform
from ebonypick.cli import _steering
from ebonypick import errors

__all__ = ('main', 'run')

_MODULES = (_files, _live, _platform, _steering)


def _overview():
    lines = ['usage: ebonypick COMMAND [ARGUMENTS] [--FLAGS]', '']
    for name, item in _base.commands.items():
        lines.append(f'  {name:14} {item.help}')
    lines += ['', 'ebonypick COMMAND --help prints the help of a command.']
    return '\n'.join(lines)


def _help(name):
    item = _base.commands.get(name)
    return (
        f'usage: ebonypick {name} {item.usage}\n\n{item.help}\n\n'
        f'example: {item.example}'
    )


def main(argv):
    """Run the sub-command that ``argv`` names; return its exit code."""
    args = argv[1:]
    if not args or args[0] not in _base.commands.names():
        print(_overview(), file=sys.stderr)
        return _base.EXIT_INVALID
    try:
        code = asyncio.run(_base.commands.get(args[0]).run(args[1:]))
    except errors.EbonypickError as exc:
        print(exc, file=sys.stderr)
        return _base.exit_code(exc)
    return code or 0


def run():
    """Run the command line; this is the entry point ``ebonypick``."""
    args = sys.argv[1:]
    if '--help' in args or '-h' in args:
        named = [w for w in args if w in _base.commands.names()]
        print(_help(named[0]) if named else _overview())
        return
    app.run(main)

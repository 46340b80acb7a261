"""Reads the files of a configuration from a directory."""

import pathlib

from ebonypick import errors
from ebonypick.version import _check


def _read_text(path):
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileProblemError(file=str(path), reason=exc) from exc


def read_bundle(folder):
    """Read ``base.json`` and ``sites/*.json`` in a directory.

    Parameters
    ==========
    folder : str or pathlib.Path
        The path of the directory.

    Returns
    =======
    Bundle

    Raises
    ======
    errors.FileProblemError
        If a file cannot be read.
    """
    folder = pathlib.Path(folder)
    base = _read_text(folder / 'base.json')
    overlays = {
        path.stem: _read_text(path)
        for path in sorted((folder / 'sites').glob('*.json'))
    }
    return _check.Bundle(base, overlays)

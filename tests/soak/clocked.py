"""Runs a daemon whose time of day is moved by what a file says.

``python -m tests.soak.clocked FILE MODULE FLAGS`` runs MODULE as a program.
Only the time of day moves, as where an operator sets a host's clock; the
monotonic clock stays.
"""

import pathlib
import runpy
import sys
import time

NS_PER_S = 1_000_000_000


def _move(path):
    """Let the time of day follow the seconds in a file from now on."""
    real_ns = time.time_ns

    def moved_ns():
        try:
            text = path.read_text()
        except FileNotFoundError:
            # Nothing has moved it yet.
            text = ''
        return real_ns() + round(float(text or 0) * NS_PER_S)

    time.time_ns = moved_ns
    time.time = lambda: moved_ns() / NS_PER_S


if __name__ == '__main__':
    _move(pathlib.Path(sys.argv[1]))
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name='__main__', alter_sys=True)

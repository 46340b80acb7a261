"""Runs a daemon whose wall clock is shifted by an offset from a file.

``python -m tests.soak.clocked FILE MODULE FLAGS`` runs MODULE as a program.
Only the wall clock is shifted, as when an operator sets a host's clock; the
monotonic clock is unchanged.
"""

import pathlib
import runpy
import sys
import time

NS_PER_S = 1_000_000_000


def _shift_clock(path):
    """Shift the wall clock by the number of seconds in a file."""
    real_ns = time.time_ns

    def shifted_ns():
        try:
            text = path.read_text()
        except FileNotFoundError:
            # No shift has been written yet.
            text = ''
        return real_ns() + round(float(text or 0) * NS_PER_S)

    time.time_ns = shifted_ns
    time.time = lambda: shifted_ns() / NS_PER_S


if __name__ == '__main__':
    _shift_clock(pathlib.Path(sys.argv[1]))
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name='__main__', alter_sys=True)

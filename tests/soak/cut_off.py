"""Runs a daemon that cannot open connections to some ports.

``python -m tests.soak.cut_off FILE MODULE FLAGS`` runs MODULE as a program.
FILE holds JSON with the ports and how connections to them fail. It is read
for each connection; without it, none fails.
"""

import asyncio
import json
import pathlib
import runpy
import sys

import uvloop

# New connections hang and open ones are silent; new ones are refused and open
# ones reset; new ones are refused and open ones work.
HANG, RESET, KEPT = 'hang', 'reset', 'kept'
HOW = (HANG, RESET, KEPT)
# The program gives up earlier.
HANG_S = 3_600.0


def _read_cut(path):
    """Return how connections fail, and the ports that are cut off."""
    try:
        cut = json.loads(path.read_text())
    except FileNotFoundError:
        return None, ()
    return cut['how'], cut['ports']


def write_cut(path, how, ports):
    """Let new connections to some ports fail; ``how`` may be None."""
    whole = path.with_suffix('.new')
    whole.write_text(json.dumps({'how': how, 'ports': sorted(ports)}))
    whole.replace(path)


def _cut_connections(path):
    connect = uvloop.Loop.create_connection

    async def create_connection(loop, factory, host=None, port=None, **more):
        how, ports = _read_cut(path)
        if port in ports and how in (RESET, KEPT):
            raise ConnectionRefusedError(111, 'Connection refused')
        if port in ports and how == HANG:
            await asyncio.sleep(HANG_S)
        return await connect(loop, factory, host, port, **more)

    uvloop.Loop.create_connection = create_connection


if __name__ == '__main__':
    _cut_connections(pathlib.Path(sys.argv[1]))
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name='__main__', alter_sys=True)

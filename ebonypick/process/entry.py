"""The daemon ``ebonypick-entry``: one entry host."""

import asyncio
import signal
import sys

from absl import app
from absl import flags
import eliot
import uvloop

from ebonypick import errors
from ebonypick.process import _entry_host
from ebonypick.process import _flags
from ebonypick.process import _settings

LOG = flags.DEFINE_enum(
    'log', 'stdout', ['stdout', 'none'], 'Where log lines go.'
)

EXIT_BAD_SETTINGS = 2


async def serve(settings):
    """Serve until a signal asks for a planned stop.

    Parameters
    ==========
    settings : Settings
        The settings of the entry host.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with _entry_host.make_entry_host(settings) as host:
        await stopping.wait()
        await host.stop()


def main(argv):
    """Read the settings, serve and return the exit status."""
    del argv
    if LOG.value == 'stdout':
        eliot.to_file(sys.stdout)
    try:
        settings = _settings.load_settings(_flags.SETTINGS.value)
        uvloop.run(serve(settings))
    except errors.EbonypickError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0


def run():
    """Run the daemon; the entry point of ``ebonypick-entry``."""
    app.run(main)

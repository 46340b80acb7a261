"""The daemon ``ebonypick-steering``: one steering host on the platform."""

import asyncio
import os
import signal
import sys

from absl import app
import eliot
import uvloop

from ebonypick import errors
from ebonypick import events
from ebonypick.process import _flags
from ebonypick.process import _log_sink
from ebonypick.process import _steering_host
from ebonypick.process import _steering_settings
from ebonypick.process import _tasks

EXIT_BAD_SETTINGS = 2
# Interval of checks whether the settings file has changed, which may happen
# without a signal.
RELOAD_CHECK_S = 2.0


def _file_state(path):
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size


async def _watch_settings(path, host, asked):
    """Reload the settings on a signal or when the file has changed."""
    seen = _file_state(path)
    while True:
        why = 'signal'
        try:
            async with asyncio.timeout(RELOAD_CHECK_S):
                await asked.wait()
        except TimeoutError:
            why = 'file changed'
        found = _file_state(path)
        if not asked.is_set() and found == seen:
            continue
        asked.clear()
        seen = found
        try:
            settings = _steering_settings.load_steering_settings(path)
        except errors.EbonypickError as exc:
            events.SETTINGS_REFUSED.log(why=str(exc))
            continue
        host.reload(settings, why)


async def serve(path, settings, sink):
    """Serve until a signal asks for a planned stop.

    Parameters
    ==========
    path : str
        The path of the settings file.
    settings : SteeringSettings
        The settings read from the file.
    sink : LogSink
        The destination of log lines.
    """
    stopping = asyncio.Event()
    reload_asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_asked.set)
    async with _tasks.TaskGroup() as tasks:
        tasks.start(_tasks.keep_running('log', sink.run))
        async with _steering_host.make_steering_host(settings) as host:
            tasks.start(_watch_settings(path, host, reload_asked))
            await stopping.wait()
            await host.stop()


def main(argv):
    """Read the settings, serve and return the exit status."""
    del argv
    with _log_sink.LogSink(sys.stdout.fileno()) as sink:
        eliot.add_destinations(sink)
        try:
            path = _flags.SETTINGS.value
            settings = _steering_settings.load_steering_settings(path)
            uvloop.run(serve(path, settings, sink))
        except errors.EbonypickError as exc:
            print(exc, file=sys.stderr)
            return EXIT_BAD_SETTINGS
    return 0


def run():
    """Run the daemon; the entry point of ``ebonypick-steering``."""
    app.run(main)

"""Starts daemons and ignores hang-up signals during their imports."""

import importlib
import signal


def run(module):
    """Import a daemon's module and call its ``run``.

    Explanation
    ===========
    A hang-up signal asks a daemon to read its settings again, but by default
    it ends a process. It may arrive while the modules are imported, which
    takes some tenths of a second. Ignoring it then loses nothing, because
    the settings are read after the imports.

    Parameters
    ==========
    module : str
        The full name of the daemon's module.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(module).run()

"""Tests signals that arrive while the modules of a daemon are imported."""

import signal
import sys

import pytest

from ebonypick import _daemon

MODULE = '''
import signal

AT_IMPORT = signal.getsignal(signal.SIGHUP)


def run():
    pass
'''


@pytest.fixture
def module(tmp_path, monkeypatch):
    """Return a module that records the hang-up handler during its import."""
    (tmp_path / 'slow_daemon.py').write_text(MODULE)
    monkeypatch.syspath_prepend(tmp_path)
    before = signal.getsignal(signal.SIGHUP)
    yield 'slow_daemon'
    signal.signal(signal.SIGHUP, before)
    sys.modules.pop('slow_daemon', None)


def test_a_hang_up_during_the_imports_does_not_end_the_process(module):
    _daemon.run(module)
    assert sys.modules[module].AT_IMPORT == signal.SIG_IGN

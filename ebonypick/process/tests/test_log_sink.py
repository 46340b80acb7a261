"""The log sink drops lines instead of blocking on its reader."""

import json
import os

from ebonypick.process import _log_sink


def test_lines_past_the_bound_are_dropped_and_counted():
    reader, writer = os.pipe()
    with _log_sink.LogSink(writer) as sink:
        for number in range(_log_sink.BURST + 50):
            sink({'n': number, 'pad': 'x' * 500})
        sink.flush()
        assert sink.dropped == 0
    lines = b''
    os.set_blocking(reader, False)
    while True:
        sink.flush()
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        lines += part
    os.close(writer)
    os.close(reader)
    found = [json.loads(line) for line in lines.splitlines()]
    assert len(found) == _log_sink.BURST + 1
    assert found[-1] == {'dropped_lines': 50}


def test_flush_ignores_a_closed_reader():
    reader, writer = os.pipe()
    os.close(reader)
    with _log_sink.LogSink(writer) as sink:
        sink({'n': 1})
        sink.flush()
    os.close(writer)

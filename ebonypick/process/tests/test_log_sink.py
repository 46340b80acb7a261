"""The log sink drops lines instead of blocking on its reader."""

import json
import os
import tracemalloc

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


# Far below what a host may use, and far above ordinary lines.
MAX_HELD_BYTES = 8_000_000


def test_lines_for_a_reader_that_stopped_take_bounded_memory():
    """Callers choose ids as long as a head, which the lines repeat."""
    reader, writer = os.pipe()
    tracemalloc.start()
    try:
        with _log_sink.LogSink(writer) as sink:
            for number in range(20):
                for _ in range(600):
                    sink({'n': number, 'req': 'i' * 8_000 + str(number)})
                sink.refill()
                sink.flush()
            held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        os.close(writer)
        os.close(reader)
    assert held < MAX_HELD_BYTES


def test_a_long_value_is_cut():
    reader, writer = os.pipe()
    with _log_sink.LogSink(writer) as sink:
        sink({'req': 'i' * 8_000, 'n': 1})
        sink.flush()
        found = json.loads(os.read(reader, 1 << 16))
    os.close(writer)
    os.close(reader)
    assert found['n'] == 1
    assert found['req'].startswith('iii') and len(found['req']) < 1_100

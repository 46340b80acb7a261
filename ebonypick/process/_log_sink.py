"""Writes log lines without blocking on a slow reader."""

import asyncio
import collections
import os

from ebonypick import json_text

# Lines are written in batches, so that there is not one system call per line.
FLUSH_INTERVAL_S = 0.1
# Maximum number of lines that are buffered for a slow reader.
MAX_LINES = 5_000
# Number of lines that are encoded at a time.
BATCH_LINES = 500
# Longer values are cut. Callers choose the ids that lines repeat.
MAX_VALUE_CHARS = 1_000
# Maximum average rate of lines, and maximum burst after an idle period.
RATE_PER_S = 600
BURST = 3_000


def _cut_values(message):
    """Return a message without the ends of its long texts."""
    cut = {
        key: f'{value[:MAX_VALUE_CHARS]}... ({len(value)} characters)'
        for key, value in message.items()
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARS
    }
    return {**message, **cut} if cut else message


class LogSink:
    """A bounded destination of log lines; a context manager.

    Parameters
    ==========
    fd : int
        The file descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, fd):
        self._fd = fd
        self._lines = collections.deque()
        self._unwritten = b''
        self._allowed = float(BURST)
        self.dropped = 0

    def __enter__(self):
        os.set_blocking(self._fd, False)
        return self

    def __exit__(self, *exc_info):
        self.flush()

    def __call__(self, message):
        """Accept a message of eliot, or drop and count it over the limits."""
        if self._allowed < 1 or len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._allowed -= 1
        self._lines.append(_cut_values(message))

    def flush(self):
        """Write as many lines as the file descriptor accepts now."""
        if self.dropped and self._lines and not self._unwritten:
            self._lines.append({'dropped_lines': self.dropped})
            self.dropped = 0
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._encode_lines()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end. The lines are discarded and
                # the service continues.
                self._unwritten = b''
                continue
            self._unwritten = self._unwritten[written:]

    def _encode_lines(self):
        """Remove and return some lines.

        The others stay as they are while a slow reader has not taken these,
        so that their number remains limited.
        """
        count = min(BATCH_LINES, len(self._lines))
        return b''.join(
            json_text.encode(self._lines.popleft()) + b'\n'
            for _ in range(count)
        )

    async def run(self):
        """Flush the lines at an interval until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.refill()
            self.flush()

    def refill(self):
        """Admit the lines of another interval."""
        gained = FLUSH_INTERVAL_S * RATE_PER_S
        self._allowed = min(BURST, self._allowed + gained)

"""Writes log lines without blocking on a slow reader."""

import asyncio
import collections
import os

from ebonypick import json_text

# Lines are written in batches, so that there is not one system call per line.
FLUSH_INTERVAL_S = 0.1
# Maximum number of lines that are buffered for a slow reader.
MAX_LINES = 5_000
# Maximum average rate of lines, and maximum burst after an idle period.
RATE_PER_S = 600
BURST = 3_000


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
        self._lines.append(message)

    def flush(self):
        """Write as many lines as the file descriptor accepts now."""
        if self.dropped and self._lines:
            self._lines.append({'dropped_lines': self.dropped})
            self.dropped = 0
        parts = [self._unwritten]
        while self._lines:
            line = self._lines.popleft()
            parts.append(json_text.encode(line) + b'\n')
        self._unwritten = b''.join(parts)
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end. The lines are discarded and
                # the service continues.
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    async def run(self):
        """Flush the lines at an interval until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            gained = FLUSH_INTERVAL_S * RATE_PER_S
            self._allowed = min(BURST, self._allowed + gained)
            self.flush()

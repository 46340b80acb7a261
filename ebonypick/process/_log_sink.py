"""Writes log lines without ever waiting for who reads them."""

import asyncio
import collections
import os

from ebonypick import json_text

# Lines are written together, so that a line costs no system call.
FLUSH_INTERVAL_S = 0.1
# Lines that wait for a reader that is too slow.
MAX_LINES = 5_000
# Lines a second on average, and at once after a rest.
RATE_PER_S = 600
BURST = 3_000


class LogSink:
    """A bounded destination of log lines; a context manager.

    Parameters
    ==========
    fd : int
        File descriptor; it is set not to block.
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
        """Take in a message of eliot."""
        if self._allowed < 1 or len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._allowed -= 1
        self._lines.append(message)

    def flush(self):
        """Write what the reader takes now."""
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
                # Nobody can read the log any more; the service goes on.
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    async def run(self):
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            gained = FLUSH_INTERVAL_S * RATE_PER_S
            self._allowed = min(BURST, self._allowed + gained)
            self.flush()

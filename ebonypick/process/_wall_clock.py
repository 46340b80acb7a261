"""The time of day, as other machines see it, in spite of clock steps."""

import time


class WallClock:
    """Reads the time of day; a step of the clock forward has no effect.

    The time since the start of the process comes from a clock that is never
    set and that also runs while the machine is suspended.
    """

    def __init__(self):
        self._start_ms = self._read_ms()
        self._start_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)

    @staticmethod
    def _read_ms():
        return time.time_ns() // 1_000_000

    def now_ms(self):
        """Return the milliseconds since the epoch."""
        elapsed_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        elapsed_s -= self._start_boot_s
        steady_ms = self._start_ms + round(elapsed_s * 1000)
        return min(steady_ms, self._read_ms())

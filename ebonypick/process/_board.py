"""Immutable snapshots that their owning tasks publish to other tasks."""

import asyncio


class Board:
    """The latest values of a process, each published by one task.

    Explanation
    ===========
    Readers get immutable values and never access the publisher's state.
    Each publication wakes the tasks that wait for a change.

    Examples
    ========
    >>> board = Board()
    >>> board.publish(view='v1')
    >>> board.view, board.version
    ('v1', None)
    """

    def __init__(self):
        self.version = None
        self.blocks = None
        self.view = None
        self.hosts = {}
        self.leaving_hosts = frozenset()
        self.platform_time = None
        self.leaving = False
        self._changed = asyncio.Event()

    def publish(self, **values):
        """Set values by name and wake the waiting tasks."""
        for name, value in values.items():
            setattr(self, name, value)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def changed(self):
        """Wait for the next publication."""
        await self._changed.wait()

    @property
    def number(self):
        """The number of the configuration in force, or 0 without one."""
        return self.version.number if self.version else 0

    def platform_now(self):
        """Return a lower bound of the platform's time, or None without one."""
        if self.platform_time is None:
            return None
        return self.platform_time.now()

"""Runs background tasks and restarts them after failures."""

import asyncio
import contextlib

from ebonypick import errors
from ebonypick import events

RESTART_PAUSE_S = 0.2


async def keep_running(name, work):
    """Run a coroutine function again whenever it ends; log failures."""
    while True:
        try:
            await work()
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            events.TASK_FAILED.log(task=name, why=f'{exc!r}')
        await asyncio.sleep(RESTART_PAUSE_S)


class TaskGroup:
    """Tasks that are cancelled on exit; an async context manager."""

    def __init__(self):
        self._tasks = set()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        for task in list(self._tasks):
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    def start(self, coro):
        """Start a coroutine as a task of the group."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        if not isinstance(exc, errors.EbonypickError):
            events.TASK_FAILED.log(task=task.get_name(), why=f'{exc!r}')

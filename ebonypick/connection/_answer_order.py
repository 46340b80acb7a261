"""The requests of a connection whose answers are not out, in their order."""

import asyncio
import collections
import itertools


class AnswerOrder:
    """Whose turn it is to answer; a queue of requests.

    Explanation
    ===========
    An answer that is made before its turn is held, and its bytes count. It
    leaves when all before it have left.
    """

    def __init__(self):
        self._queue = collections.deque()
        self._turns = {}
        self.held_bytes = 0

    def __len__(self):
        return len(self._queue)

    def add(self, req):
        """Add a request behind all others."""
        self._queue.append(req)

    def first(self, count):
        """Return the first requests, at most ``count`` of them."""
        return list(itertools.islice(self._queue, count))

    def is_first(self, req):
        """Return whether it is a request's turn."""
        return bool(self._queue) and self._queue[0] is req

    def is_last(self, req):
        """Return whether no request is behind this one."""
        return bool(self._queue) and self._queue[-1] is req

    async def turn(self, req):
        """Wait until it is a request's turn."""
        if self.is_first(req):
            return
        fut = asyncio.get_running_loop().create_future()
        self._turns[req] = fut
        try:
            await fut
        finally:
            del self._turns[req]

    def hold(self, req, size):
        """Count the bytes of an answer whose turn has not come."""
        req.held_size = size
        self.held_bytes += size

    def pass_on(self):
        """Send and remove all answers whose turn it is, tell who is next."""
        while self._queue and self._queue[0].answered:
            req = self._queue[0]
            # It is still the last one, where nothing is behind it.
            req.flush()
            self._queue.popleft()
            self.held_bytes -= req.held_size
        fut = self._turns.get(self._queue[0]) if self._queue else None
        if fut is not None and not fut.done():
            fut.set_result(None)

    def cancel(self):
        """Drop all requests, and cancel those that run."""
        for req in self._queue:
            if req.task is not None:
                req.task.cancel()
        self._queue.clear()

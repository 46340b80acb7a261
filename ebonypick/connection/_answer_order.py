"""The queue of a connection's requests whose answers are not sent yet."""

import asyncio
import collections
import itertools


class AnswerOrder:
    """Keeps the answers of pipelined requests in the order of the requests.

    Explanation
    ===========
    An answer that is complete before all earlier answers are sent is held,
    and its size is counted in ``held_bytes``. It is sent as soon as all
    earlier answers are sent.
    """

    def __init__(self):
        self._queue = collections.deque()
        self._waiters = {}
        self.held_bytes = 0

    def __len__(self):
        return len(self._queue)

    def add(self, req):
        """Append a request to the queue."""
        self._queue.append(req)

    def first(self, count):
        """Return the first requests, at most ``count`` of them."""
        return list(itertools.islice(self._queue, count))

    def is_first(self, req):
        """Return whether a request is the next one to be answered."""
        return bool(self._queue) and self._queue[0] is req

    def is_last(self, req):
        """Return whether a request is the last one in the queue."""
        return bool(self._queue) and self._queue[-1] is req

    async def turn(self, req):
        """Wait until all requests before this one are answered."""
        if self.is_first(req):
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters[req] = fut
        try:
            await fut
        finally:
            del self._waiters[req]

    def hold(self, req, size):
        """Count the bytes of an answer that waits for earlier ones."""
        req.held_size = size
        self.held_bytes += size

    def send_ready(self):
        """Send all complete answers at the head; wake the next request."""
        while self._queue and self._queue[0].answered:
            req = self._queue[0]
            # The request is removed after ``flush``, which checks by
            # ``is_last`` whether this answer ends the connection.
            req.flush()
            self._queue.popleft()
            self.held_bytes -= req.held_size
        fut = self._waiters.get(self._queue[0]) if self._queue else None
        if fut is not None and not fut.done():
            fut.set_result(None)

    @property
    def waiting(self):
        """Whether a request has not been started."""
        return bool(self._queue) and self._queue[-1].task is None

    def any_served(self):
        """Return whether a request is served that needs no more bytes."""
        return any(
            req.task is not None
            and not req.answered
            and (req.body_ended or not req.body_refusable)
            for req in self._queue
        )

    def drop_waiting(self):
        """Remove and return the requests that have not been started."""
        dropped = []
        while self.waiting:
            dropped.append(self._queue.pop())
        return dropped

    def request_bytes(self):
        """Return the memory of all requests, without their answers."""
        return sum(req.size for req in self._queue)

    def cancel(self):
        """Remove all requests and cancel their tasks."""
        for req in self._queue:
            if req.task is not None:
                req.task.cancel()
        self._queue.clear()

"""For how long the store has answered no call of this host.

A host cannot tell an outage of the store from being turned away by it. In a
short outage no other host should call, so time counts only between calls that
certainly fell into one: from the first failure until the latest call that
failed was sent. A call without any answer counts as a whole.
"""

import asyncio

# Shorter outages make no further host call the store.
SHORT_OUTAGE_S = 3.0


class StoreContact:
    """The failures of calls since the last answer, for all tables.

    Examples
    ========
    >>> contact = StoreContact()
    >>> contact.record_failure(1.0, 1.5)
    >>> contact.record_failure(4.4, 4.5)
    >>> round(contact.unanswered_s, 1), contact.needs_substitute
    (2.9, False)
    >>> contact.record_failure(4.6, 4.7)
    >>> contact.needs_substitute
    True
    >>> contact.record_answer(sent_at=4.8)
    >>> contact.unanswered_s
    0.0
    """

    def __init__(self):
        self._since = None
        self._until = None
        # Is set with each failure.
        self.failed = asyncio.Event()

    def reset(self):
        """Forget the failures, as this host no longer calls the store."""
        self._since = None

    def record_answer(self, sent_at):
        """Record the answer to a call that was sent at a monotonic time.

        A call from before the failures may still be answered while new ones
        are refused.
        """
        if self._since is not None and sent_at >= self._since:
            self._since = None

    def record_failure(self, sent_at, failed_at, silent=False):
        """Record a call that failed.

        Parameters
        ==========
        sent_at, failed_at : float
            When it was sent and when it failed, in monotonic time.
        silent : bool
            Whether it got no answer, also when it was sent once more.
        """
        since, until = (sent_at, failed_at) if silent else (failed_at, sent_at)
        if self._since is None:
            self._since, self._until = since, until
        self._since = min(self._since, since)
        self._until = max(self._until, until)
        self.failed.set()

    @property
    def unanswered_s(self):
        """The seconds for which the store is known not to answer."""
        if self._since is None:
            return 0.0
        return max(0.0, self._until - self._since)

    @property
    def needs_substitute(self):
        """Whether another host should read the store for this one."""
        return self.unanswered_s >= SHORT_OUTAGE_S

    @property
    def decides_at(self):
        """Monotonic time from which a failure shows the need, or None."""
        return None if self._since is None else self._since + SHORT_OUTAGE_S

"""Decides which requests a host in a planned stop still passes on.

Load: callers that use open connections until the process of a stopping host
is gone, with requests that may take several times their usual time. A request
that is passed on and still runs at the end of the stop loses its answer, while
one that is refused at once goes to another host.
"""

import dataclasses

# Requests that are received later than this after the start of the stop are
# passed on only if their own time ends before the stop does.
LATE_S = 2.5
# An earlier request needs this multiple of its usual time, since it may have
# to wait as long as it runs.
TIME_RATIO = 2.0


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """The planned stop of a host.

    Examples
    ========
    >>> stop = PlannedStop(started_at=100.0, end_at=105.6)
    >>> stop.admits(received_at=101.0, deadline=109.0, work_s=1.0, now=101.0)
    True
    >>> stop.admits(received_at=103.0, deadline=109.0, work_s=1.0, now=103.0)
    False
    >>> stop.admits(received_at=103.0, deadline=105.0, work_s=1.0, now=103.0)
    True

    Parameters
    ==========
    started_at, end_at : float
        Start of the stop, and the time at which requests that still run are
        cut off, in seconds of the monotonic clock.
    """

    started_at: float
    end_at: float

    def admits(self, received_at, deadline, work_s, now):
        """Return whether a request may be passed on.

        Parameters
        ==========
        received_at : float
            Time at which the host could first pass the request on, in
            seconds of the monotonic clock.
        deadline : float
            The time at which the request ends in any case.
        work_s : float
            The usual time of such a request in seconds.
        now : float
            The current time.
        """
        if deadline <= self.end_at:
            return True
        if received_at > self.started_at + LATE_S:
            return False
        return self.end_at - now > TIME_RATIO * work_s

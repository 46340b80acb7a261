"""Computes the share of requests that a shift may move, from the time."""

import math

from ebonypick.version import _check


def allowed_share(shift, now):
    """Return the share of requests that a shift may move at a time.

    Explanation
    ===========
    No host coordinates a shift; each host computes the share on its own.
    ``now`` has to be a lower bound of the platform's time, so that a host
    whose estimate is late uses a smaller share and never a larger one.

    Examples
    ========
    >>> from ebonypick.version import _model
    >>> shift = _model.Shift('roster', 'a', 'b', 0.3,
    ...     '1970-01-01T00:00:00Z', step_share=0.1, hold_s=10)
    >>> [round(allowed_share(shift, t), 3) for t in (-1, 0, 10, 20, 99)]
    [0.0, 0.1, 0.2, 0.3, 0.3]

    Parameters
    ==========
    shift : Shift
        The shift.
    now : float or None
        A lower bound of the platform's time, in seconds since the epoch;
        None if it is not known.

    Returns
    =======
    float
        A share from 0 to ``cap_share``.
    """
    if now is None:
        return 0.0
    elapsed_s = now - _check.parse_time(shift.start)
    if elapsed_s < 0:
        return 0.0
    if shift.hold_s == 0:
        return shift.cap_share
    steps = math.floor(elapsed_s / shift.hold_s) + 1
    return min(shift.cap_share, steps * shift.step_share)

"""Divides a rate of requests that a server accepts among the entry hosts.

Load: servers that name a limit for all hosts together, at any number of
hosts. No host can count the requests of the others, and hosts disagree for a
while about who is alive: each part of a partition goes on by itself.

If the limit leaves room for a request of every host in a window, all of them
send, whoever is alive, those in the region of the server more than others.
Otherwise a few hosts send, those that rank highest for the server, and the
bound is divided by two, as two groups of hosts may each send for a while.
"""

import dataclasses

from ebonypick.request import _rank

# All hosts together may send FACTOR times what the limit allows in any window
# of this length, and some requests more.
WINDOW_S = 4.0
FACTOR = 1.5
# One of the five extra requests is kept for requests that take different
# times from the choice of the server to their arrival there.
EXTRA_REQUESTS = 5 - 1
# All hosts send only if at least this share of the limit is used then.
MIN_USED_SHARE = 0.9
# Rate of a host in the region of the server, relative to other hosts, as most
# requests for its objects arrive there.
NEAR_WEIGHT = 4.0
# Two hosts send to a server with a low limit, so that the failure of one
# does not stop all requests. A server with a higher limit gets one more for
# this many requests per second.
MIN_SENDERS = 2
LIMIT_PER_SENDER = 2.0
# Rate of all hosts together at a limit near zero. Only the answer to a
# request tells that a limit has ended.
MIN_RATE_PER_S = 0.1


@dataclasses.dataclass(frozen=True)
class Share:
    """The part of each host in a common rate.

    Parameters
    ==========
    senders : int
        Number of hosts that may send.
    near_per_s, far_per_s : float
        Requests per second of one of them in the region of the server, and
        of one in another region.
    burst : float
        Requests that one of them may send at once after a pause.
    """

    senders: int
    near_per_s: float
    far_per_s: float
    burst: float


def divide(limit_per_s, hosts, near=0):
    """Return the part of each host in the limit of a server.

    Examples
    ========
    >>> share = divide(14.0, hosts=7)
    >>> share.senders, share.far_per_s, round(share.burst, 2)
    (7, 2.0, 4.57)
    >>> share = divide(13.0, hosts=7, near=2)
    >>> share.near_per_s, share.far_per_s
    (4.0, 1.0)
    >>> divide(2.0, hosts=77).senders
    3

    Parameters
    ==========
    limit_per_s : float
        Requests per second that the server accepts from all hosts together.
    hosts : int
        Number of entry hosts, alive or not.
    near : int
        Number of those in the region of the server.
    """
    allowed = FACTOR * WINDOW_S * limit_per_s + EXTRA_REQUESTS
    senders, groups, near_weight = hosts, 1, NEAR_WEIGHT
    if allowed - hosts < MIN_USED_SHARE * WINDOW_S * limit_per_s:
        wanted = MIN_SENDERS + int(limit_per_s / LIMIT_PER_SENDER)
        senders, groups, near_weight = min(hosts, wanted), 2, 1.0
    # Each sender may send a burst at the start of the window, of at least one
    # request.
    rate_per_s = min(limit_per_s, (allowed / groups - senders) / WINDOW_S)
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    burst = (allowed / groups - rate_per_s * WINDOW_S) / senders
    near = min(near, senders)
    far_per_s = rate_per_s / (near_weight * near + senders - near)
    return Share(senders, near_weight * far_per_s, far_per_s, max(1.0, burst))


def senders(instance, region, hosts, regions, count=1):
    """Return the entry hosts that send to a server.

    Hosts of its own region go first, as most of its requests arrive there.

    Parameters
    ==========
    instance, region : str
        The server and its region.
    hosts : dict of str to tuple of str
        The live entry hosts by data centre.
    regions : dict of str to str
        The region of each data centre.
    count : int
        Number of hosts to return, fewer if not as many are alive.
    """
    near = []
    far = []
    for centre, names in hosts.items():
        (near if regions.get(centre) == region else far).extend(names)
    found = _rank.rendezvous(instance, near, count)
    return found + _rank.rendezvous(instance, far, count - len(found))

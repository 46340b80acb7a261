"""The memory and the descriptors of a host, and what clients get of them."""

import dataclasses
import resource
import typing

import msgspec

from ebonypick import connection

Amount = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
# Those of the smallest host.
DEFAULT_MEMORY_MB = 300
DEFAULT_FDS = 4_100
# Descriptors of files, which the limit of the host includes.
FILE_FDS = 200
MIN_SOCKETS = 64
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Share:
    """The share of a host that the clients of a listener may occupy.

    Parameters
    ==========
    memory : float
        Share of the memory.
    connections : float
        Share of the descriptors that sockets may use.
    """

    memory: float
    connections: float


def memory_bytes(settings, share):
    """Return a share of the host's memory in bytes.

    Parameters
    ==========
    settings : SteeringSettings or Settings
        The settings of the host.
    share : float
        The share of the memory.
    """
    return round(settings.memory_mb * BYTES_PER_MB * share)


def capacity(settings, share):
    """Return what the clients of a listener may occupy now.

    The limit on descriptors may be changed while the process runs.

    Parameters
    ==========
    settings : SteeringSettings or Settings
        The settings of the host.
    share : Share
        The share of the listener.

    Returns
    =======
    connection.Capacity
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    fds = settings.max_fds
    if allowed != resource.RLIM_INFINITY:
        fds = min(fds, allowed)
    sockets = max(MIN_SOCKETS, fds - FILE_FDS)
    return connection.Capacity(
        memory_bytes(settings, share.memory),
        max(1, round(sockets * share.connections)),
    )

"""The settings of a steering host."""

import dataclasses
import typing

import msgspec

from ebonypick import endpoints
from ebonypick import errors
from ebonypick.process import _host_capacity
from ebonypick import version

Span = typing.Annotated[str, msgspec.Meta(pattern=r'^\d+(\.\d+)?(ms|s)$')]
Endpoint = typing.Annotated[
    str, msgspec.Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d{1,5}$')
]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
# Bandwidth that corresponds to one core: at a few kilobytes per request, a
# core serves about as many requests as a link of this bandwidth carries.
MBPS_PER_CORE = 100.0
# Default port of the metrics.
METRICS_PORT = 9464


@dataclasses.dataclass(frozen=True)
class Terms:
    """The terms agreed with the users.

    Parameters
    ==========
    grace : str
        Time between the stop signal and the kill of the process.
    lookup_ttl : str
        Maximum time that a caller may cache the answer to a look-up.
    contact : str
        Time that a host has to recover its contacts after a disturbance.
    repeat_ratio : float
        Maximum ratio of repeats to requests, over all hosts.
    repeat_window : str
        Window of the operator's bound. Hosts need no window: what they earn
        keeps the bound in windows of any length.
    repeat_slack : float
        Number of repeats allowed beyond the ratio.
    """

    grace: Span = '6s'
    lookup_ttl: Span = '5s'
    contact: Span = '3s'
    repeat_ratio: float = 0.1
    repeat_window: Span = '10s'
    repeat_slack: float = 10


@dataclasses.dataclass(frozen=True)
class SteeringSettings:
    """The identity, location and endpoints of a steering host.

    Parameters
    ==========
    host, data_centre, region : str
        Name and location of the host.
    address : str
        IP address that the host connects from.
    callers, readiness, lookups : str
        Endpoints that the host serves.
    peer_ports : (int, int)
        First and last port for the traffic between hosts; the first two
        are used.
    data_centres : dict of str to str
        The region of each data centre.
    store : str
        Endpoint of the platform's store.
    core_share, core_speed : float
        The share of a core that the host may use, and the speed of the core
        relative to a standard one.
    link_mbps : float
        Bandwidth of the host's link in Mbit/s.
    terms : Terms
        The terms agreed with the users.
    metrics_port : int
        Port of the metrics.
    memory_mb : float
        Memory that the process may use, in MB.
    max_fds : int
        Number of file descriptors that the process may have open.
    """

    host: str
    data_centre: str
    region: str
    address: version.Address
    callers: Endpoint
    readiness: Endpoint
    lookups: Endpoint
    peer_ports: tuple[version.Port, version.Port]
    data_centres: dict[str, str]
    store: Endpoint
    core_share: Positive = 1.0
    core_speed: Positive = 1.0
    link_mbps: Positive = 1000.0
    terms: Terms = Terms()
    metrics_port: version.Port = METRICS_PORT
    memory_mb: _host_capacity.Amount = _host_capacity.DEFAULT_MEMORY_MB
    max_fds: _host_capacity.Count = _host_capacity.DEFAULT_FDS

    @property
    def relays(self):
        """The endpoint for requests that other hosts pass on."""
        return f'{self.address}:{self.peer_ports[0] + 1}'

    @property
    def capacity(self):
        """Capacity in Mbit/s: the minimum of the link and the core share."""
        return min(
            self.link_mbps, MBPS_PER_CORE * self.core_share * self.core_speed
        )


def load_steering_settings(path):
    """Read and check the settings of a steering host.

    Parameters
    ==========
    path : str
        A file of JSON with comments.

    Returns
    =======
    SteeringSettings

    Raises
    ======
    errors.ConfigError
        If the file has problems; the error lists all, one per line.
    """
    source = version.read_source(path)
    settings, problems = version.convert(source, SteeringSettings)
    if not problems:
        problems = list(_range_problems(settings))
    if problems:
        lines = '\n'.join(str(problem) for problem in problems)
        raise errors.ConfigError(problems=lines)
    return settings


def _range_problems(settings):
    """Yield the problems of values that have the right form."""
    for field in ('callers', 'readiness', 'lookups', 'store'):
        try:
            endpoints.parse_endpoint(getattr(settings, field))
        except ValueError as exc:
            yield f'{field}: {exc}'
    first, last = settings.peer_ports
    if last <= first:
        yield f'peer_ports: two ports are needed, found {first} to {last}'

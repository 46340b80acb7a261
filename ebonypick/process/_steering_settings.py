"""The settings of a steering host."""

import dataclasses
import typing

import msgspec

from ebonypick import errors
from ebonypick import version

Span = typing.Annotated[str, msgspec.Meta(pattern=r'^\d+(\.\d+)?(ms|s)$')]
Endpoint = typing.Annotated[
    str, msgspec.Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d{1,5}$')
]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
# A core carries about as many requests as this bandwidth does, at some
# kilobytes for each.
MBPS_PER_CORE = 100.0
# Where metrics are served unless the settings say otherwise.
METRICS_PORT = 9464


def endpoint(text):
    """Return the IP number and the port of an endpoint.

    Examples
    ========
    >>> endpoint('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    address, _, port = text.rpartition(':')
    return address, int(port)


@dataclasses.dataclass(frozen=True)
class Terms:
    """What was agreed with the users.

    Parameters
    ==========
    grace : str
        Time between the signal to stop and the kill.
    lookup_ttl : str
        Longest time that a caller may keep the answer to a look-up.
    repeat_ratio : float
        Repeats for each request, over all hosts.
    repeat_window : str
        Window in which both are counted.
    repeat_slack : float
        Repeats beyond the ratio.
    """

    grace: Span = '6s'
    lookup_ttl: Span = '5s'
    repeat_ratio: float = 0.1
    repeat_window: Span = '10s'
    repeat_slack: float = 10


@dataclasses.dataclass(frozen=True)
class SteeringSettings:
    """Who and where a steering host is.

    Parameters
    ==========
    host, data_centre, region : str
        Its name and place.
    address : str
        IP number that it connects from.
    callers, readiness, lookups : str
        Endpoints that it serves.
    peer_ports : (int, int)
        First and last port for traffic between hosts.
    data_centres : dict of str to str
        The region of each data centre.
    store : str
        Endpoint of the platform's store.
    core_share, core_speed : float
        The part of a core that it may use, and how fast the core is
        relative to a usual one.
    link_mbps : float
        Bandwidth of the host's link.
    terms : Terms
        What was agreed.
    metrics_port : int
        Port of the metrics.
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

    @property
    def capacity(self):
        """What the host can carry: its link or its cores, in Mbit/s."""
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
        With all problems of the file, one a line.
    """
    source = version.read_source(path)
    settings, problems = version.convert(source, SteeringSettings)
    if problems:
        lines = '\n'.join(str(problem) for problem in problems)
        raise errors.ConfigError(problems=lines)
    return settings

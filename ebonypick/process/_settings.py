"""The settings of an entry host's process."""

import dataclasses
import ipaddress
import typing

import msgspec

from ebonypick import errors
from ebonypick.process import _host_capacity
from ebonypick import version


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An IP address and a TCP port."""

    address: version.Address
    port: version.Port


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings that an entry host needs before its configuration.

    Parameters
    ==========
    host : str
        The name of the host in the configuration.
    data_centre, region : str
        The location of the host.
    address : str
        IP address that the host listens on and connects from.
    port : int
        TCP port that the host listens on.
    platform : Endpoint
        The endpoint of the platform.
    seeds : tuple of Endpoint
        Other entry hosts to contact before there is a configuration.
    control_networks : tuple of str
        Networks from which operators may use the control interfaces.
    in_flight_most : int
        Maximum number of requests in flight whose body has been read.
    adapters : dict of str to str
        Adapter by interface, for interfaces that do not use ``http``.
    memory_mb : float
        Memory that the process may use, in MB.
    max_fds : int
        Number of file descriptors that the process may have open.
    """

    host: str
    data_centre: str
    region: str
    address: version.Address
    port: version.Port
    platform: Endpoint
    seeds: tuple[Endpoint, ...] = ()
    control_networks: tuple[str, ...] = ('127.0.0.0/8',)
    in_flight_most: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = (
        1_000
    )
    adapters: dict[str, str] = dataclasses.field(default_factory=dict)
    memory_mb: _host_capacity.Amount = _host_capacity.DEFAULT_MEMORY_MB
    max_fds: _host_capacity.Count = _host_capacity.DEFAULT_FDS

    def adapter(self, interface):
        """Return the name of the adapter for an interface."""
        return self.adapters.get(interface, 'http')


def load_settings(path):
    """Read and check the settings of an entry host.

    Parameters
    ==========
    path : str
        A file of JSON with comments.

    Returns
    =======
    Settings

    Raises
    ======
    errors.ConfigError
        If the file has problems; the error lists all, one per line.
    """
    source = version.read_source(path)
    settings, problems = version.convert(source, Settings)
    lines = [str(problem) for problem in problems]
    if not lines:
        for network in settings.control_networks:
            try:
                ipaddress.ip_network(network)
            except ValueError as exc:
                place = source.place(('control_networks',))
                lines.append(f'{place}: control_networks: {exc}')
    if lines:
        raise errors.ConfigError(problems='\n'.join(lines))
    return settings

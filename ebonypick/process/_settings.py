"""The settings of an entry host's process."""

import dataclasses
import ipaddress
import typing

import msgspec

from ebonypick import errors
from ebonypick import version


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An IP number and a TCP port."""

    address: version.Address
    port: version.Port


@dataclasses.dataclass(frozen=True)
class Settings:
    """What an entry host has to be told before it has a configuration.

    Parameters
    ==========
    host : str
        Its name in the configuration.
    data_centre, region : str
        Where it stands.
    address : str
        IP number that it listens on and connects from.
    port : int
        TCP port that it listens on.
    platform : Endpoint
        The platform's service.
    seeds : tuple of Endpoint
        Some other entry hosts, for the time before a configuration.
    control_networks : tuple of str
        Networks from which operators may use the control interfaces.
    in_flight_most : int
        Requests at once.
    adapters : dict of str to str
        Adapter by interface, where it is not ``http``.
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
        With all problems of the file, one a line.
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

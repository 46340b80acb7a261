"""Immutable data classes of a configuration."""

import dataclasses
import functools
import typing

import msgspec

Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
DelayMs = typing.Annotated[float, msgspec.Meta(ge=0, le=10_000)]
Mbit = typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
DeadlineMs = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Weight = typing.Annotated[int, msgspec.Meta(ge=0, le=1000)]
Address = typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]+$')]
Objective = typing.Literal['latency', 'headroom']
Once = typing.Literal['host', 'table']


def _field(doc, default=dataclasses.MISSING, factory=None):
    metadata = {'doc': doc}
    if factory is not None:
        return dataclasses.field(default_factory=factory, metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


@dataclasses.dataclass(frozen=True)
class EntryHost:
    """An entry host, to which callers send their requests."""

    address: Address = _field('IP address that the entry host listens on.')
    port: Port = _field('TCP port that the entry host listens on.')
    weight: Weight = _field(
        'Share of callers relative to the weights of other entry hosts.', 1
    )


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre of a region."""

    entry_hosts: dict[str, EntryHost] = _field(
        'Entry hosts of the data centre, by name.'
    )


@dataclasses.dataclass(frozen=True)
class Region:
    """A region and the capacity reserved for its own callers."""

    data_centres: dict[str, DataCentre] = _field(
        'Data centres of the region, by name.'
    )
    reserve_share: Share = _field(
        'Share of the slots that requests from other regions may not use.', 0.2
    )


@dataclasses.dataclass(frozen=True)
class Link:
    """The link between two regions, which is equal in both directions."""

    between: tuple[str, str] = _field('Names of the two regions.')
    limit_mbit_s: Mbit = _field('Limit of the data rate in each direction.')
    delay_ms: DelayMs = _field('One-way delay of the link.')


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """A backend server of a service at a site."""

    address: Address = _field('IP address that the server listens on.')
    port: Port = _field('TCP port that the server listens on.')
    slots: Slots | None = _field(
        "Number of concurrent requests; null means the service's value.", None
    )


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with the settings in force at a site."""

    slots: Slots = _field(
        'Number of concurrent requests on one backend server.', 3
    )
    objective: Objective = _field(
        'Quantity that the routing of the service favours.', 'latency'
    )
    once: Once = _field(
        'Where idempotency keys are stored: on an entry host or in a table.',
        'host',
    )
    deadline_ms: DeadlineMs = _field(
        'Deadline of a request that has none.', 10_000
    )
    queue_wait_ms: DeadlineMs = _field(
        'Longest time that a request waits for a slot.', 2_000
    )
    service_ms: DelayMs = _field(
        'Typical time for which a request occupies a slot.', 10
    )
    warm_s: Seconds = _field('Warm-up time of a cold server.', 10)
    body_limit_bytes: Bytes = _field(
        'Largest size of a request body.', 1 << 30
    )
    backend_servers: dict[str, BackendServer] = _field(
        'Backend servers of the service at the site, by name.', factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Site:
    """A site, which is a set of backend servers inside a data centre."""

    data_centre: str = _field('Name of the data centre of the site.')


@dataclasses.dataclass(frozen=True)
class Shift:
    """A planned move of a service's traffic between two regions."""

    service: str = _field('Name of the service whose traffic moves.')
    from_region: str = _field('Region that the requests move away from.')
    to_region: str = _field('Region that the requests move to.')
    cap_share: Share = _field('Largest share of the requests that may move.')
    start: str = _field('Start time of the shift, ISO 8601 in UTC.')
    step_share: Share = _field('Increase of the share at each step.', 0.05)
    hold_s: Seconds = _field('Duration of a step.', 30)


@dataclasses.dataclass(frozen=True)
class Drains:
    """Objects that operators drain; they get no new requests."""

    backend_servers: tuple[str, ...] = _field(
        'Names of drained backend servers.', ()
    )
    entry_hosts: tuple[str, ...] = _field('Names of drained entry hosts.', ())
    data_centres: tuple[str, ...] = _field(
        'Names of data centres that are drained as a whole.', ()
    )


@dataclasses.dataclass(frozen=True)
class Base:
    """The base file, whose settings hold at all sites."""

    deployment: str = _field('Name of the deployment.')
    regions: dict[str, Region] = _field('Regions of the deployment, by name.')
    links: tuple[Link, ...] = _field(
        'Links between regions, one for each pair.'
    )
    services: dict[str, Service] = _field(
        'Services of the deployment, by name.'
    )
    sites: dict[str, Site] = _field('Sites of the deployment, by name.')
    data_centre_delay_ms: DelayMs = _field(
        'One-way delay between two data centres of a region.', 1
    )
    lookup_ttl_ms: typing.Annotated[int, msgspec.Meta(ge=100, le=600_000)] = (
        _field('Time for which callers cache a look-up answer.', 2_000)
    )
    shifts: dict[str, Shift] = _field('Planned shifts, by name.', factory=dict)
    drains: Drains = _field('Drained objects.', factory=Drains)
    client_blocks: dict[str, str] = _field(
        "Region of the callers in each client block, by the block's CIDR.",
        factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class Overlay:
    """The overlay of a site, which holds the differences from the base."""

    services: dict[str, Service] = _field(
        'Changes to services, by name.', factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A complete configuration: the base and the effective sites.

    Parameters
    ==========
    base : Base
        The settings that hold at all sites.
    sites : dict of str to dict of str to Service
        The effective services of each site.
    """

    base: Base
    sites: dict

    # The cached values are computed once, as a configuration is immutable.

    @functools.cached_property
    def _regions(self):
        return {
            name: region
            for region, item in self.base.regions.items()
            for name in item.data_centres
        }

    @functools.cached_property
    def _hosts(self):
        return {
            name: (data_centre, host)
            for item in self.base.regions.values()
            for data_centre, centre in item.data_centres.items()
            for name, host in centre.entry_hosts.items()
        }

    @functools.cached_property
    def _backends(self):
        found = {name: [] for name in self.base.services}
        for site, services in self.sites.items():
            centre = self.base.sites[site].data_centre
            for service, settings in services.items():
                for name, server in settings.backend_servers.items():
                    row = (name, centre, settings, server)
                    found[service].append(row)
        for rows in found.values():
            rows.sort(key=lambda row: (row[1], row[0]))
        return found

    @functools.cached_property
    def _region_delays_s(self):
        delays = {}
        for link in self.base.links:
            one, other = link.between
            delays[one, other] = delays[other, one] = link.delay_ms / 1000
        return delays

    @functools.cached_property
    def _distances(self):
        return {}

    def data_centre_region(self):
        """Return the region name of each data centre, by its name."""
        return self._regions

    def entry_hosts(self):
        """Return (data centre, EntryHost) of each entry host, by its name."""
        return self._hosts

    def backends(self, service):
        """Return the backend servers of a service.

        Returns
        =======
        list of tuple
            Rows of (name, data centre, Service, BackendServer), sorted by
            data centre and name.
        """
        return self._backends.get(service, [])

    def delay_s(self, one, other):
        """Return the one-way delay between two data centres in seconds."""
        if one == other:
            return 0.0
        near, far = self._regions[one], self._regions[other]
        if near == far:
            return self.base.data_centre_delay_ms / 1000
        return self._region_delays_s.get((near, far), 1.0)

    def by_distance(self, data_centre):
        """Return all data centres by ascending delay, then by name."""
        found = self._distances.get(data_centre)
        if found is None:
            found = tuple(
                sorted(
                    self._regions,
                    key=lambda n: (self.delay_s(data_centre, n), n),
                )
            )
            self._distances[data_centre] = found
        return found

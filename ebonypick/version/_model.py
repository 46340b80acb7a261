"""Frozen data classes of a configuration."""

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
    """An entry host: where callers send their requests."""

    address: Address = _field('IP number it listens on.')
    port: Port = _field('TCP port it listens on.')
    weight: Weight = _field('Share of callers relative to the others.', 1)


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre of a region."""

    entry_hosts: dict[str, EntryHost] = _field('Its entry hosts by name.')


@dataclasses.dataclass(frozen=True)
class Region:
    """A region and what it keeps free for its own callers."""

    data_centres: dict[str, DataCentre] = _field('Data centres by name.')
    reserve_share: Share = _field(
        'Share of the slots that other regions may not use.', 0.2
    )


@dataclasses.dataclass(frozen=True)
class Link:
    """The link between two regions, the same both ways."""

    between: tuple[str, str] = _field('The two regions.')
    limit_mbit_s: Mbit = _field('Most that it carries each way.')
    delay_ms: DelayMs = _field('One-way delay.')


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """A backend server of a service at a site."""

    address: Address = _field('IP number it listens on.')
    port: Port = _field('TCP port it listens on.')
    slots: Slots | None = _field(
        "Requests at once; the service's where null.", None
    )


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, as it holds at a site."""

    slots: Slots = _field('Requests at once on one backend server.', 3)
    objective: Objective = _field('What its routing weighs most.', 'latency')
    once: Once = _field(
        'Where idempotency keys are kept: entry host or table.', 'host'
    )
    deadline_ms: DeadlineMs = _field('Deadline where none is given.', 10_000)
    queue_wait_ms: DeadlineMs = _field('Longest wait for a slot.', 2_000)
    service_ms: DelayMs = _field('Usual time of a request on a slot.', 10)
    warm_s: Seconds = _field('Time in which a cold server is warmed.', 10)
    body_limit_bytes: Bytes = _field('Largest request body.', 1 << 30)
    backend_servers: dict[str, BackendServer] = _field(
        'The backend servers at the site, by name.', factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Site:
    """A site: a set of backend servers inside a data centre."""

    data_centre: str = _field('The data centre it stands in.')


@dataclasses.dataclass(frozen=True)
class Shift:
    """A planned move of a service's traffic between two regions."""

    service: str = _field('The service that is moved.')
    from_region: str = _field('Region whose requests move.')
    to_region: str = _field('Region that takes them.')
    cap_share: Share = _field('Most of the requests that may move.')
    start: str = _field('When it starts, ISO 8601 in UTC.')
    step_share: Share = _field('Growth of the share at each step.', 0.05)
    hold_s: Seconds = _field('Length of a step.', 30)


@dataclasses.dataclass(frozen=True)
class Drains:
    """What operators drain: it gets no new work."""

    backend_servers: tuple[str, ...] = _field('Backend servers.', ())
    entry_hosts: tuple[str, ...] = _field('Entry hosts.', ())
    data_centres: tuple[str, ...] = _field('Whole data centres.', ())


@dataclasses.dataclass(frozen=True)
class Base:
    """The base file: what holds at all sites."""

    deployment: str = _field('Name of the deployment.')
    regions: dict[str, Region] = _field('Regions by name.')
    links: tuple[Link, ...] = _field('One link for each pair of regions.')
    services: dict[str, Service] = _field('Services by name.')
    sites: dict[str, Site] = _field('Sites by name.')
    data_centre_delay_ms: DelayMs = _field(
        'One-way delay between data centres of a region.', 1
    )
    lookup_ttl_ms: typing.Annotated[int, msgspec.Meta(ge=100, le=600_000)] = (
        _field('How long callers keep a look-up answer.', 2_000)
    )
    shifts: dict[str, Shift] = _field('Shifts by name.', factory=dict)
    drains: Drains = _field('What is drained.', factory=Drains)
    client_blocks: dict[str, str] = _field(
        "The region of callers, by their block's CIDR.", factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Overlay:
    """The overlay of a site: only what differs there from the base."""

    services: dict[str, Service] = _field('Changes to services.', factory=dict)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A whole configuration: the base and the effective sites.

    Parameters
    ==========
    base : Base
        What holds everywhere.
    sites : dict of str to dict of str to Service
        The effective services of each site.
    """

    base: Base
    sites: dict

    # Derived once for a version, which never changes.

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
        """Return a dict from each data centre's name to its region's."""
        return self._regions

    def entry_hosts(self):
        """Return a dict from entry host to (data centre, EntryHost)."""
        return self._hosts

    def backends(self, service):
        """Return (name, data centre, Service, BackendServer) of a service.

        Returns
        =======
        list of tuple
            Sorted by data centre and name.
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
        """Return all data centres, nearest first, ties by name."""
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

"""Builds configurations of any size with loopback addresses."""

import dataclasses
import json

from ebonypick import version

ENTRY_PORT = 8400
BACKEND_PORT = 8500


@dataclasses.dataclass(frozen=True)
class Shape:
    """The shape of a configuration.

    Parameters
    ==========
    regions, centres, hosts : int
        Regions, data centres per region, entry hosts per data centre.
    services : dict of str to tuple of int
        By service: backend servers per data centre, slots per server, and
        service time in milliseconds.
    octet : int
        Second octet of the addresses; keeps deployments apart.
    """

    regions: int = 2
    centres: int = 1
    hosts: int = 2
    services: dict = dataclasses.field(
        default_factory=lambda: {'registry': (2, 3, 5)}
    )
    octet: int = 77


def region_name(number):
    """Return the name of a region, counted from 1."""
    return f'r{number}'


def _entry_hosts(shape, centre, number):
    return {
        f'{centre}-e{k}': {
            'address': f'127.{shape.octet}.{number}.{k}',
            'port': ENTRY_PORT,
        }
        for k in range(1, shape.hosts + 1)
    }


def make_base(shape, **changes):
    """Return the base of a configuration as JSON-compatible values."""
    regions = {}
    sites = {}
    number = 0
    for r in range(1, shape.regions + 1):
        centres = {}
        for c in range(1, shape.centres + 1):
            number += 1
            centre = f'{region_name(r)}c{c}'
            hosts = _entry_hosts(shape, centre, number)
            centres[centre] = {'entry_hosts': hosts}
            sites[centre] = {'data_centre': centre}
        regions[region_name(r)] = {'data_centres': centres}
    names = sorted(regions)
    links = [
        {'between': [a, b], 'limit_mbit_s': 1000, 'delay_ms': 20}
        for i, a in enumerate(names)
        for b in names[i + 1 :]
    ]
    services = {
        name: {'slots': slots, 'service_ms': service_ms}
        for name, (_, slots, service_ms) in shape.services.items()
    }
    base = {
        'deployment': 'sample',
        'lookup_ttl_ms': 500,
        'regions': regions,
        'links': links,
        'services': services,
        'sites': sites,
        'client_blocks': {
            f'127.{shape.octet + 100}.{r}.0/24': region_name(r)
            for r in range(1, shape.regions + 1)
        },
    }
    return {**base, **changes}


def make_bundle(shape, **changes):
    """Return a configuration as a bundle of a base and site overlays."""
    base = make_base(shape, **changes)
    overlays = {}
    for number, site in enumerate(base['sites'], 1):
        services = {}
        for index, (name, spec) in enumerate(shape.services.items()):
            servers = {
                f'{site}-{name}-{k}': {
                    'address': f'127.{shape.octet}.{number}.'
                    f'{100 + 20 * index + k}',
                    'port': BACKEND_PORT,
                }
                for k in range(1, spec[0] + 1)
            }
            services[name] = {'backend_servers': servers}
        overlays[site] = json.dumps({'services': services})
    return version.Bundle(json.dumps(base, indent=1), overlays)

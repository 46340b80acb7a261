"""Finds the origin of each effective value of a site."""

import dataclasses

from ebonypick.version import _check
from ebonypick.version import _parse


@dataclasses.dataclass(frozen=True)
class Origin:
    """A value in force at a site and the place that defines it.

    Parameters
    ==========
    path : str
        The keys of the value, joined by dots.
    value : object
        The value in force.
    place : str
        ``file:line:column``, or ``default`` for a default value.
    """

    path: str
    value: object
    place: str


def _leaves(value, path=()):
    if dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            item = getattr(value, field.name)
            yield from _leaves(item, path + (field.name,))
    elif isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _leaves(item, path + (key,))
    else:
        yield path, value


def effective_values(bundle, site):
    """Return the effective values of the services of a site and their origins.

    Parameters
    ==========
    bundle : Bundle
        The files, which are valid.
    site : str
        The name of a site in the base file.

    Returns
    =======
    list of Origin
    """
    cfg = _check.build_configuration(bundle)
    base = _parse.parse_source(bundle.base, 'base.json')
    sources = [base]
    if site in bundle.overlays:
        name = f'sites/{site}.json'
        sources.insert(0, _parse.parse_source(bundle.overlays[site], name))
    found = []
    for path, value in _leaves(cfg.sites[site], ('services',)):
        place = 'default'
        for source in sources:
            if path in source.places:
                place = str(source.places[path])
                break
        found.append(Origin('.'.join(path), value, place))
    return found


def differing_values(old, new):
    """Return the values in force that differ between two bundles.

    Parameters
    ==========
    old, new : Bundle
        The files, which are valid.

    Returns
    =======
    list of tuple
        Rows of (site or ``base``, path, old value, new value); the value is
        ``-`` in a bundle without this path.
    """
    rows = []
    parts = [_values_by_site(bundle) for bundle in (old, new)]
    for site in sorted(set(parts[0]) | set(parts[1])):
        before, after = (part.get(site, {}) for part in parts)
        for path in sorted(set(before) | set(after)):
            one = before.get(path, '-')
            other = after.get(path, '-')
            if one != other:
                rows.append((site, '.'.join(path), one, other))
    return rows


def _values_by_site(bundle):
    if not bundle.base:
        return {}
    cfg = _check.build_configuration(bundle)
    found = {'base': dict(_leaves(cfg.base))}
    for site, services in cfg.sites.items():
        found[site] = dict(_leaves(services, ('services',)))
    return found

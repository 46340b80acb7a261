"""Tells where each effective value of a site comes from."""

import dataclasses

from ebonypick.version import _check
from ebonypick.version import _parse


@dataclasses.dataclass(frozen=True)
class Origin:
    """A value in force at a site and its place.

    Parameters
    ==========
    path : str
        Keys joined by dots.
    value : object
        The value in force.
    place : str
        ``file:line:column``, or ``default``.
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
    """Return the effective services of a site, each with its origin.

    Parameters
    ==========
    bundle : Bundle
        Valid files.
    site : str
        A site of the base.

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
    """Return what would change in force, per site.

    Parameters
    ==========
    old, new : Bundle
        Valid files.

    Returns
    =======
    list of tuple
        Rows of (site or ``base``, path, old value, new value).
    """
    rows = []
    parts = [_by_site(bundle) for bundle in (old, new)]
    for site in sorted(set(parts[0]) | set(parts[1])):
        before, after = (part.get(site, {}) for part in parts)
        for path in sorted(set(before) | set(after)):
            one = before.get(path, '-')
            other = after.get(path, '-')
            if one != other:
                rows.append((site, '.'.join(path), one, other))
    return rows


def _by_site(bundle):
    if not bundle.base:
        return {}
    cfg = _check.build_configuration(bundle)
    found = {'base': dict(_leaves(cfg.base))}
    for site, services in cfg.sites.items():
        found[site] = dict(_leaves(services, ('services',)))
    return found

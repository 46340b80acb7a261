"""Builds a configuration from its files and checks its consistency."""

import collections
import dataclasses
import datetime
import functools
import ipaddress
import itertools
import json

from ebonypick import errors
from ebonypick.version import _convert
from ebonypick.version import _merge
from ebonypick.version import _model
from ebonypick.version import _parse


@dataclasses.dataclass(frozen=True)
class Bundle:
    """The texts of all files of a configuration.

    Parameters
    ==========
    base : str
        The text of the base file.
    overlays : dict of str to str
        The texts of the overlays, by the name of the site.
    """

    base: str
    overlays: dict


def parse_time(text):
    """Return an ISO 8601 time in seconds since the epoch.

    Examples
    ========
    >>> parse_time('1970-01-01T00:01:00Z')
    60.0

    Raises
    ======
    ValueError
        If the text is not a time or has no time zone.
    """
    value = datetime.datetime.fromisoformat(text)
    if value.tzinfo is None:
        raise ValueError(
            f'the time {text!r} has no time zone; end it with Z for UTC'
        )
    return value.timestamp()


class _Checker:
    """Checks the parts of a configuration against each other."""

    def __init__(self, source, cfg):
        self.source = source
        self.cfg = cfg
        self.base = cfg.base
        self.problems = []

    def add_problem(self, path, text):
        dotted = '.'.join(str(key) for key in path)
        place = str(self.source.place(path))
        self.problems.append(_convert.Problem(place, dotted, text))

    def require_known(self, path, name, names, kind):
        if name in names:
            return True
        hint = _convert.nearest_hint(name, names)
        self.add_problem(path, f'there is no {kind} {name!r}{hint}')
        return False

    def check(self):
        self._check_sites()
        self._check_links()
        self._check_shifts()
        self._check_drains()
        self._check_blocks()
        self._check_addresses()
        return tuple(self.problems)

    def _check_sites(self):
        centres = self.cfg.data_centre_region()
        listed = [
            n for r in self.base.regions.values() for n in r.data_centres
        ]
        for name, count in collections.Counter(listed).items():
            if count > 1:
                self.add_problem(
                    ('regions',),
                    f'the data centre {name!r} is defined more than once',
                )
        for region, item in self.base.regions.items():
            for name, centre in item.data_centres.items():
                path = ('regions', region, 'data_centres', name)
                if not centre.entry_hosts:
                    self.add_problem(
                        path, 'the data centre has no entry hosts; add one'
                    )
                elif not any(h.weight for h in centre.entry_hosts.values()):
                    self.add_problem(
                        path, 'all weights are zero; set one above 0'
                    )
        for name, site in self.base.sites.items():
            path = ('sites', name, 'data_centre')
            self.require_known(path, site.data_centre, centres, 'data centre')

    def _check_links(self):
        pairs = set()
        for index, link in enumerate(self.base.links):
            for end in link.between:
                path = ('links', index, 'between')
                self.require_known(path, end, self.base.regions, 'region')
            pairs.add(frozenset(link.between))
        for pair in itertools.combinations(sorted(self.base.regions), 2):
            if frozenset(pair) not in pairs:
                text = (
                    f'no link with a limit between {pair[0]} and {pair[1]}; '
                    'add one'
                )
                self.add_problem(('links',), text)

    def _check_shifts(self):
        sums = collections.Counter()
        for name, shift in self.base.shifts.items():
            path = ('shifts', name)
            self.require_known(
                path + ('service',),
                shift.service,
                self.base.services,
                'service',
            )
            for end in ('from_region', 'to_region'):
                region = getattr(shift, end)
                self.require_known(
                    path + (end,), region, self.base.regions, 'region'
                )
            if shift.from_region == shift.to_region:
                self.add_problem(
                    path, 'from_region and to_region are the same'
                )
            try:
                parse_time(shift.start)
            except ValueError as exc:
                self.add_problem(path + ('start',), str(exc))
            sums[shift.service, shift.from_region] += shift.cap_share
        for (service, region), total in sums.items():
            if total > 1.0 + 1e-9:
                text = (
                    f'caps of {service!r} from {region!r} sum past 1; '
                    'lower them'
                )
                self.add_problem(('shifts',), text)

    def _check_drains(self):
        backends = {
            name
            for services in self.cfg.sites.values()
            for service in services.values()
            for name in service.backend_servers
        }
        known = {
            'backend_servers': backends,
            'entry_hosts': self.cfg.entry_hosts(),
            'data_centres': self.cfg.data_centre_region(),
        }
        for kind, names in known.items():
            for index, name in enumerate(getattr(self.base.drains, kind)):
                path = ('drains', kind, index)
                self.require_known(
                    path, name, names, kind.replace('_', ' ')[:-1]
                )

    def _check_blocks(self):
        for block, region in self.base.client_blocks.items():
            path = ('client_blocks', block)
            try:
                ipaddress.ip_network(block)
            except ValueError as exc:
                self.add_problem(path, str(exc))
            self.require_known(path, region, self.base.regions, 'region')

    def _check_addresses(self):
        seen = {}
        rows = [
            (name, host.address, host.port)
            for name, (_, host) in self.cfg.entry_hosts().items()
        ]
        for services in self.cfg.sites.values():
            for service in services.values():
                for name, server in service.backend_servers.items():
                    rows.append((name, server.address, server.port))
        names = collections.Counter(name for name, _, _ in rows)
        for name, count in names.items():
            if count > 1:
                self.add_problem(
                    (), f'the name {name!r} is used more than once'
                )
        for name, address, port in rows:
            other = seen.setdefault((address, port), name)
            if other != name:
                text = f'{name!r} and {other!r} share {address}:{port}'
                self.add_problem((), text)


def _unknown_services(source, known):
    problems = []
    services = source.value.get('services', {})
    if not isinstance(services, dict):
        return problems
    for name in services:
        if name not in known:
            path = ('services', name)
            hint = _convert.nearest_hint(name, known)
            text = f'the base file has no service {name!r}{hint}'
            place = str(source.place(path))
            problems.append(_convert.Problem(place, f'services.{name}', text))
    return problems


@functools.lru_cache(maxsize=8192)
def _site_services(services_text, site, overlay_text):
    """Return the effective services of a site and their problems.

    The results are cached by the texts, because a change to one overlay does
    not affect the other sites.
    """
    known = json.loads(services_text)
    source = _parse.parse_source(overlay_text, f'sites/{site}.json')
    problems = _unknown_services(source, known)
    _, found = _convert.convert(source, _model.Overlay)
    problems.extend(found)
    if problems:
        return {}, tuple(problems)
    patch = source.value.get('services', {})
    merged = dataclasses.replace(
        source, value={'services': _merge.merge_patch(known, patch)}
    )
    overlay, found = _convert.convert(merged, _model.Overlay)
    return overlay.services, tuple(found)


def _raise_problems(problems):
    if problems:
        lines = '\n'.join(str(problem) for problem in problems)
        raise errors.ConfigError(problems=lines)


def build_configuration(bundle):
    """Parse, merge and check the files of a configuration.

    Parameters
    ==========
    bundle : Bundle
        The texts of the files.

    Returns
    =======
    Configuration

    Raises
    ======
    errors.ConfigError
        If a file is not valid; the error lists the problems, one per line.
    """
    base_source = _parse.parse_source(bundle.base, 'base.json')
    base, problems = _convert.convert(base_source, _model.Base)
    problems = list(problems)
    _raise_problems(problems)
    sites = {}
    services_text = json.dumps(base_source.value.get('services', {}))
    for name, text in sorted(bundle.overlays.items()):
        if name not in base.sites:
            hint = _convert.nearest_hint(name, base.sites)
            problems.append(
                _convert.Problem(
                    f'sites/{name}.json:1:1',
                    '(file)',
                    f'the base file has no site {name!r}{hint}',
                )
            )
            continue
        sites[name], found = _site_services(services_text, name, text)
        problems.extend(found)
    for name in base.sites:
        sites.setdefault(name, base.services)
    _raise_problems(problems)
    cfg = _model.Configuration(base, sites)
    _raise_problems(_Checker(base_source, cfg).check())
    return cfg

"""Commands on the store tables that steering hosts read."""

import base64
import json
import pathlib

from absl import flags

from ebonypick.cli import _base
from ebonypick import connection
from ebonypick import errors
from ebonypick import platform
from ebonypick.process import _peer_directory
from ebonypick.process import _steering_settings
from ebonypick import request

DUMP = flags.DEFINE_string(
    'dump', None, 'File of a dump to read instead of the store.'
)
FROM_CENTRE = flags.DEFINE_string(
    'from_data_centre', None, 'Data centre of the steering host that routes.'
)
TABLES = (
    platform.OPERATOR_TABLE,
    platform.SERVER_TABLE,
    platform.HOST_TABLE,
)


async def _read_tables():
    """Return the stored values by table and key, from the store or a dump.

    Raises
    ======
    errors.ConfigError
        If the dump cannot be read.
    errors.PlatformError
        If the store does not answer.
    """
    if DUMP.value is None:
        found = {}
        async with connection.make_platform(
            'table', *_base.split_address(_base.PLATFORM.value)
        ) as store:
            for name in TABLES:
                state = await store.read_table(name)
                found[name] = {row.key: row.value for row in state.rows}
        return found
    try:
        text = pathlib.Path(DUMP.value).read_text(encoding='utf-8')
        return {
            name: {key: base64.b64decode(v) for key, v in rows.items()}
            for name, rows in json.loads(text).items()
        }
    except OSError as exc:
        raise errors.FileProblemError(
            file=DUMP.value, reason=exc.strerror
        ) from exc
    except (ValueError, AttributeError, TypeError) as exc:
        raise errors.InvalidValueError(
            field=DUMP.value,
            found=str(exc),
            wanted='a dump written by steer-dump',
        ) from exc


def _config(tables):
    data = tables[platform.OPERATOR_TABLE].get('config')
    if data is None:
        raise errors.InvalidValueError(
            field='op/config', found='nothing', wanted='a configuration'
        )
    return platform.decode_config(data)


def _servers(tables):
    """Return the valid server entries, and key and problem of the others."""
    entries = []
    problems = []
    for key, value in sorted(tables[platform.SERVER_TABLE].items()):
        try:
            entries.append(platform.decode_server(key, value))
        except errors.InvalidValueError as exc:
            problems.append((key, exc.detail))
    return entries, problems


def _evacuated(tables):
    keys = tables[platform.OPERATOR_TABLE]
    found = {platform.decode_evacuation(key) for key in keys}
    return sorted(found - {None})


@_base.command(
    'steer-check',
    '[SETTINGS]',
    'ebonypick steer-check settings.json --platform=10.0.0.7:8169',
)
async def check(args):
    """Check a steering host's settings, or the contents of the store."""
    if args:
        settings = _steering_settings.load_steering_settings(args[0])
        _base.print_result(valid=True, host=settings.host)
        return None
    tables = await _read_tables()
    cfg = _config(tables)
    entries, problems = _servers(tables)
    known = {share.service for r in cfg.routes for share in r.shares}
    served = {entry.service for entry in entries if not entry.draining}
    _base.print_result(
        version=cfg.number,
        routes=len(cfg.routes),
        backend_servers=len(entries),
        damaged_entries=[key for key, _ in problems],
        services_without_servers=sorted(known - served),
        evacuated=_evacuated(tables),
    )
    return None


@_base.command('steer-show', '', 'ebonypick steer-show --dump=dump.json')
async def show(args):
    """Show routes, backend servers and steering hosts in the store."""
    tables = await _read_tables()
    cfg = _config(tables)
    entries, problems = _servers(tables)
    routes = [
        (
            route.name,
            route.host + route.prefix,
            route.kind,
            ', '.join(f'{s.service}:{s.weight:g}' for s in route.shares),
            f'{route.timeout_s:g}',
            ', '.join(sorted(route.regions)) or 'all',
        )
        for route in cfg.routes
    ]
    servers = [
        (
            entry.instance,
            entry.service,
            entry.data_centre,
            ':'.join(map(str, entry.address)),
            'draining' if entry.draining else 'ready',
            f'{entry.warmup_left_s:g}',
        )
        for entry in entries
    ]
    rows = _peer_directory.decode_rows(tables[platform.HOST_TABLE])
    hosts = [
        (name, row.data_centre, row.callers, row.peers)
        for name, row in sorted(rows.items())
    ]
    columns = ('route', 'where', 'kind', 'services', 'timeout_s', 'regions')
    _base.print_tables(
        _base.Table('routes', columns, routes),
        _base.Table(
            'backend servers',
            ('instance', 'service', 'data centre', 'address', 'state', 'cold'),
            servers,
        ),
        _base.Table('damaged entries', ('key', 'problem'), problems),
        _base.Table(
            'steering hosts',
            ('host', 'data centre', 'callers', 'peers'),
            hosts,
        ),
    )


@_base.command(
    'steer-route',
    'HOST PATH [OBJECT]',
    'ebonypick steer-route certs.example /certs/4 17 --dump=dump.json',
)
async def explain_route(args):
    """Explain which server a steering host without load would choose."""
    if len(args) not in (2, 3):
        raise _base.UsageError(
            command='steer-route', usage='HOST PATH [OBJECT]'
        )
    tables = await _read_tables()
    cfg = _config(tables)
    route = cfg.find(args[0], args[1].partition('?')[0])
    if route is None:
        raise errors.NoRouteError(host=args[0], path=args[1])
    entries, _ = _servers(tables)
    rows = _peer_directory.decode_rows(tables[platform.HOST_TABLE])
    centres = sorted({e.data_centre for e in entries})
    centre = FROM_CENTRE.value or next(iter(centres), '')
    # A dump lacks the regions of data centres: each one counts as a region.
    fleet = request.Fleet('', centre, {name: name for name in centres})
    fleet.set_hosts({centre: tuple(rows)})
    fleet.set_terms(cfg.services)
    fleet.set_evacuated(_evacuated(tables))
    fleet.update(entries, 0.0)
    key = args[2] if len(args) == 3 and route.sticky else None
    choices = []
    for share in route.shares:
        ask = request.Ask(
            share.service, key, frozenset(), route.priority, route.timeout_s
        )
        found = fleet.choose(ask, 0.0)
        chosen = isinstance(found, request.Chosen)
        choices.append(
            (
                share.service,
                share.weight,
                found.entry.instance if chosen else '-',
                found.why if chosen else found.reason,
            )
        )
    _base.print_tables(
        _base.Table(
            f'route {route.name}, version {cfg.number}',
            ('service', 'weight', 'backend server', 'why'),
            choices,
        )
    )


@_base.command('steer-dump', 'FILE', 'ebonypick steer-dump dump.json')
async def dump(args):
    """Save the tables of the store to a file that --dump reads."""
    if len(args) != 1:
        raise _base.UsageError(command='steer-dump', usage='FILE')
    tables = await _read_tables()
    plain = {
        name: {k: base64.b64encode(v).decode() for k, v in rows.items()}
        for name, rows in tables.items()
    }
    pathlib.Path(args[0]).write_text(json.dumps(plain), encoding='utf-8')
    _base.print_result(rows=sum(len(rows) for rows in plain.values()))

"""Commands that query running entry hosts."""

import asyncio

from absl import flags
import msgspec

from ebonypick.cli import _base
from ebonypick.cli import _platform
from ebonypick import connection
from ebonypick import json_text
from ebonypick import version

CLIENT = flags.DEFINE_string('client', None, 'IP address of a caller.')

TIMEOUT_S = 2.0


async def _get(address, port, path):
    """Return the decoded JSON body of an entry host's answer.

    Raises
    ======
    UnreachableError
        If the host is not reached, or answers with another status than 200
        or without valid JSON.
    """
    end = f'{address}:{port}'
    try:
        async with connection.Pool(address, port) as pool:
            status, body = await pool.call_json(
                'GET', path, timeout_s=TIMEOUT_S
            )
        found = json_text.decode(body)
    except (
        connection.ConnectFailedError,
        connection.LostError,
        msgspec.MsgspecError,
    ) as exc:
        raise _base.UnreachableError(address=end, reason=exc) from exc
    if status != 200:
        reason = f'{found.get("code")}: {found.get("detail")}'
        raise _base.UnreachableError(address=end, reason=reason)
    return found


async def _configuration():
    """Return the configuration of the entry host named by ``--entry``."""
    address, port = _base.split_address(_base.ENTRY.value)
    found = await _get(address, port, '/peer/v1/config?since=0')
    delta = msgspec.convert(found, version.Delta)
    bundle = version.apply_delta(version.EMPTY_BUNDLE, delta)
    return version.build_configuration(bundle)


async def _status_or_none(host):
    try:
        return await _get(host.address, host.port, '/v1/status')
    except _base.UnreachableError:
        return None


@_base.command('status', '', 'ebonypick status --entry=127.10.1.1:8400')
async def status(args):
    """Show entry hosts, backend servers, links, load and versions."""
    cfg = await _configuration()
    hosts = cfg.entry_hosts()
    found = await asyncio.gather(
        *(_status_or_none(host) for _, host in hosts.values())
    )
    states = dict(zip(hosts, found))
    regions = cfg.data_centre_region()
    rows = [
        _host_row(name, centre, regions[centre], states[name])
        for name, (centre, _) in hosts.items()
    ]
    columns = ('entry host', 'data centre', 'region', 'state', 'version')
    _base.print_tables(
        _base.Table('entry hosts', columns + ('in flight',), rows),
        _servers_table(cfg, states),
        _regions_table(cfg, states, regions),
        _links_table(cfg),
    )


def _host_row(name, centre, region, state):
    if state is None:
        return (name, centre, region, 'no answer', '-', '-')
    word = 'leaving' if state['leaving'] else 'ready'
    if not state['ready'] and not state['leaving']:
        word = 'not ready'
    version_number = state['config_version']
    return (name, centre, region, word, version_number, state['in_flight'])


def _servers_table(cfg, states):
    owners = {}
    for host, state in states.items():
        for service, item in (state or {}).get('services', {}).items():
            for row in item['backend_servers']:
                owners[row['name']] = (service, host, row)
    rows = []
    for service in cfg.base.services:
        for name, centre, _, _ in cfg.backends(service):
            _, host, row = owners.get(name, (service, '-', None))
            if row is None:
                rows.append((name, service, centre, host, '-', '-', 'unknown'))
                continue
            word = 'leaving' if row['leaving'] else 'serving'
            if not row['capacity'] and not row['leaving']:
                word = 'unreachable'
            rows.append(
                (
                    name,
                    service,
                    centre,
                    host,
                    row['held'],
                    row['capacity'],
                    word,
                )
            )
    columns = ('backend server', 'service', 'data centre', 'owner')
    columns += ('slots held', 'slots', 'state')
    return _base.Table('backend servers', columns, rows)


def _regions_table(cfg, states, regions):
    rows = []
    hosts = cfg.entry_hosts()
    for region in cfg.base.regions:
        for service in cfg.base.services:
            free = capacity = queued = 0
            for name, state in states.items():
                if state is None or regions[hosts[name][0]] != region:
                    continue
                load = state['services'].get(service, {}).get('load', {})
                free += load.get('free', 0)
                queued += load.get('queued', 0)
                capacity += load.get('capacity', 0)
            share = round(free / capacity, 3) if capacity else 0.0
            rows.append((region, service, capacity, free, queued, share))
    columns = ('region', 'service', 'slots', 'free', 'waiting', 'headroom')
    return _base.Table('regions', columns, rows)


def _links_table(cfg):
    rows = [
        (' - '.join(link.between), link.limit_mbit_s, link.delay_ms)
        for link in cfg.base.links
    ]
    columns = ('link', 'limit Mbit/s', 'delay ms')
    return _base.Table('links', columns, rows)


@_base.command(
    'explain-route',
    '',
    'ebonypick explain-route --service=registry --client=127.110.1.9',
)
async def explain_route(args):
    """Explain how a request of a caller to a service would be routed."""
    if _platform.SERVICE.value is None or CLIENT.value is None:
        usage = '--service=S --client=IP'
        raise _base.UsageError(command='explain-route', usage=usage)
    address, port = _base.split_address(_base.ENTRY.value)
    path = (
        f'/v1/explain-route?service={_platform.SERVICE.value}'
        f'&client={CLIENT.value}'
    )
    found = await _get(address, port, path)
    if _base.AS_JSON.value:
        _base.print_result(**found)
        return
    print(f"the caller's region is {found['region']}")
    rows = [
        (item['tier'], item['name'], item['weight'])
        for item in found['entry_hosts']
    ]
    columns = ('tier', 'entry host', 'weight')
    look_up = _base.Table('look-up', columns, rows)
    rows = [
        (
            item['name'],
            item['region'],
            item['free'],
            item['queued'],
            item['capacity'],
            item['expected_ms'],
        )
        for item in found['targets']
    ]
    columns = ('owner', 'region', 'free', 'waiting', 'slots', 'expected ms')
    title = f'owners, as {found["host"]} sees them'
    _base.print_tables(look_up, _base.Table(title, columns, rows))
    print(f'policy {found["policy"]}: {found["chosen"]} would be chosen')

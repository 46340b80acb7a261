"""Commands that read or change the configuration in the platform."""

import datetime
import pathlib

from absl import flags

from ebonypick.cli import _base
from ebonypick.cli import _files
from ebonypick.cli import _submission
from ebonypick import errors
from ebonypick import version

SUBMISSION = flags.DEFINE_string(
    'submission', None, 'Identifier of a submission.'
)
LIMIT = flags.DEFINE_integer(
    'limit', 20, 'Maximum number of versions to list.'
)
SERVICE = flags.DEFINE_string('service', None, 'Name of a service.')
FROM = flags.DEFINE_string(
    'from', None, 'Region that a shift moves traffic from.'
)
TO = flags.DEFINE_string('to', None, 'Region that a shift moves traffic to.')
CAP = flags.DEFINE_float('cap_share', 0.1, 'Maximum share of a shift, 0 to 1.')
STEP = flags.DEFINE_float(
    'step_share', 0.05, 'Share that each step of a shift adds.'
)
HOLD = flags.DEFINE_float(
    'hold_s', 30.0, 'Duration of a step of a shift in seconds.'
)


@_base.command('submit', '', "ebonypick submit --note='more slots'")
async def submit(args):
    """Submit the files on top of the version that they are based on."""
    bundle = _files.read_validated_bundle()
    async with _base.make_platform() as platform:
        number = await _submit(platform, bundle, _files.based_on())
    _files.write_based_on(number)


async def _submit(platform, bundle, base_number):
    _base.print_progress(f'submitting on top of version {base_number} ...')
    number = await _submission.submit(
        platform,
        bundle,
        base_number,
        _base.submission_author(),
        _base.NOTE.value,
    )
    _base.print_result(accepted_as=number)
    return number


@_base.command('settle', '', 'ebonypick settle --submission=4-0123456789ab')
async def settle(args):
    """Find out whether a submission whose reply was lost was accepted."""
    number, _, rest = (SUBMISSION.value or '').partition('-')
    if not number.isdigit() or not rest:
        raise _base.UsageError(command='settle', usage='--submission=ID')
    async with _base.make_platform() as platform:
        found = await _submission.settle(platform, SUBMISSION.value)
        current = await platform.read_current()
    accepted = found is not None
    _base.print_result(
        accepted=accepted,
        version=found,
        newest=current.number if current else 0,
    )
    return 0 if accepted else _base.EXIT_FAILED


@_base.command('fetch', '', 'ebonypick fetch --config=files')
async def fetch(args):
    """Write the files of the newest version into the folder of --config."""
    folder = pathlib.Path(_base.CONFIG.value)
    async with _base.make_platform() as platform:
        row, bundle = await _read_current(platform)
    (folder / 'sites').mkdir(parents=True, exist_ok=True)
    (folder / 'base.json').write_text(bundle.base)
    for name, text in bundle.overlays.items():
        (folder / 'sites' / f'{name}.json').write_text(text)
    for path in (folder / 'sites').glob('*.json'):
        if path.stem not in bundle.overlays:
            path.unlink()
    _files.write_based_on(row.number)
    _base.print_result(fetched=row.number)


async def _read_current(platform):
    row = await platform.read_current()
    if row is None:
        raise errors.SubmitError(reason='there is no version yet')
    return row, await _submission.read_bundle(platform, row)


@_base.command('history', '', 'ebonypick history --limit=5')
async def history(args):
    """List the accepted versions, newest first."""
    rows = []
    async with _base.make_platform() as platform:
        current = await platform.read_current()
        number = current.number if current else 0
        while number > 0 and len(rows) < LIMIT.value:
            row = await platform.read_version_row(number)
            if row is not None:
                rows.append((row.number, row.accepted_at, row.by, row.note))
            number -= 1
    _base.print_tables(
        _base.Table('versions', ('version', 'accepted', 'by', 'note'), rows)
    )


async def _change_base(key, change):
    """Submit the newest version with one key of its base changed.

    If another operator's version is accepted in the meantime, the change is
    repeated on the value in that version.
    """
    async with _base.make_platform() as platform:
        while True:
            row, bundle = await _read_current(platform)
            base = version.parse_source(bundle.base, 'base.json').value
            value = change(base.get(key, {}))
            text = version.set_value(bundle.base, key, value)
            changed = version.Bundle(text, bundle.overlays)
            version.build_configuration(changed)
            try:
                await _submit(platform, changed, row.number)
                return
            except errors.ConflictError as exc:
                _base.print_progress(f'{exc} Retrying on the newest version.')


def _kind_of(name, cfg):
    known = {
        'backend_servers': [
            row[0]
            for service in cfg.base.services
            for row in cfg.backends(service)
        ],
        'entry_hosts': list(cfg.entry_hosts()),
        'data_centres': list(cfg.data_centre_region()),
    }
    for kind, names in known.items():
        if name in names:
            return kind
    raise errors.ConfigError(
        problems=f'there is no backend server, entry host or data centre '
        f'{name!r}'
    )


async def _find_kind(name):
    async with _base.make_platform() as platform:
        _, bundle = await _read_current(platform)
    return _kind_of(name, version.build_configuration(bundle))


@_base.command('drain', 'NAME', 'ebonypick drain rvk-1-registry-1')
async def drain(args):
    """Stop sending new requests to a server, entry host or data centre."""
    if len(args) != 1:
        raise _base.UsageError(command='drain', usage='NAME')
    kind = await _find_kind(args[0])

    def change(drains):
        names = [n for n in drains.get(kind, []) if n != args[0]]
        return {**drains, kind: [*names, args[0]]}

    await _change_base('drains', change)


@_base.command('undrain', 'NAME', 'ebonypick undrain rvk-1-registry-1')
async def undrain(args):
    """Send requests again to a drained server, host or data centre."""
    if len(args) != 1:
        raise _base.UsageError(command='undrain', usage='NAME')

    def change(drains):
        return {
            kind: [n for n in names if n != args[0]]
            for kind, names in drains.items()
        }

    await _change_base('drains', change)


@_base.command(
    'shift',
    'start NAME | stop NAME | status',
    'ebonypick shift start spring --service=roster --from=big-bend '
    '--to=piney-east --cap_share=0.3',
)
async def shift(args):
    """Start or stop a shift of traffic between regions, or list all shifts."""
    if args == ['status']:
        await _shift_status()
    elif len(args) == 2 and args[0] == 'start':
        await _shift_start(args[1])
    elif len(args) == 2 and args[0] == 'stop':
        await _change_base('shifts', lambda old: _remove_shift(old, args[1]))
    else:
        usage = 'start NAME | stop NAME | status'
        raise _base.UsageError(command='shift', usage=usage)


def _remove_shift(shifts, name):
    if name not in shifts:
        raise errors.ConfigError(problems=f'there is no shift {name!r}')
    return {key: item for key, item in shifts.items() if key != name}


async def _shift_start(name):
    if None in (SERVICE.value, FROM.value, TO.value):
        usage = 'start NAME --service=S --from=REGION --to=REGION'
        raise _base.UsageError(command='shift', usage=usage)
    async with _base.make_platform() as platform:
        await platform.read_current()
        # The platform's clock, which all hosts share, defines the start.
        start = datetime.datetime.fromtimestamp(
            platform.time.now(), datetime.UTC
        )
    item = {
        'service': SERVICE.value,
        'from_region': FROM.value,
        'to_region': TO.value,
        'cap_share': CAP.value,
        'step_share': STEP.value,
        'hold_s': HOLD.value,
        'start': start.isoformat(timespec='seconds').replace('+00:00', 'Z'),
    }
    await _change_base('shifts', lambda old: {**old, name: item})


async def _shift_status():
    async with _base.make_platform() as platform:
        _, bundle = await _read_current(platform)
        now = platform.time.now()
    base = version.build_configuration(bundle).base
    rows = [
        (
            name,
            item.service,
            item.from_region,
            item.to_region,
            round(version.allowed_share(item, now), 4),
            item.cap_share,
            item.start,
        )
        for name, item in sorted(base.shifts.items())
    ]
    columns = ('shift', 'service', 'from', 'to', 'share now', 'cap', 'start')
    _base.print_tables(_base.Table('shifts', columns, rows))

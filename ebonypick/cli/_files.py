"""Commands on the files of a configuration."""

import json
import pathlib

from absl import flags

from ebonypick.cli import _base
from ebonypick.cli import _submission
from ebonypick import errors
from ebonypick import events
from ebonypick import version

SITE = flags.DEFINE_string('site', None, 'One site; all by default.')
BASED_ON = flags.DEFINE_integer(
    'based_on', None, 'Version that the files are based on.'
)
STATE_FILE = '.ebonypick.json'


def read_checked():
    """Return the bundle in the folder of the flags, checked."""
    bundle = version.read_bundle(_base.CONFIG.value)
    version.build_configuration(bundle)
    return bundle


def based_on():
    """Return the version that the folder is based on; 0 if none."""
    if BASED_ON.value is not None:
        return BASED_ON.value
    path = pathlib.Path(_base.CONFIG.value) / STATE_FILE
    if not path.exists():
        return 0
    return json.loads(path.read_text())['based_on']


def note_based_on(number):
    """Keep the version that the folder is based on now."""
    path = pathlib.Path(_base.CONFIG.value) / STATE_FILE
    path.write_text(json.dumps({'based_on': number}) + '\n')


@_base.command(
    'validate', '', 'ebonypick validate --config=examples/trailhands'
)
async def validate(words):
    """Check the files and name every problem."""
    bundle = read_checked()
    cfg = version.build_configuration(bundle)
    _base.print_result(
        valid=True,
        deployment=cfg.base.deployment,
        sites=len(cfg.sites),
        entry_hosts=len(cfg.entry_hosts()),
        backend_servers=sum(
            len(cfg.backends(name)) for name in cfg.base.services
        ),
    )


@_base.command('show', '', 'ebonypick show --site=rvk-1')
async def show(words):
    """Show the effective settings of sites and where each comes from."""
    bundle = read_checked()
    sites = version.build_configuration(bundle).base.sites
    if SITE.value is not None and SITE.value not in sites:
        raise errors.ConfigError(
            problems=f'there is no site {SITE.value!r}; '
            f'known are: {", ".join(sites)}'
        )
    chosen = [SITE.value] if SITE.value else sorted(sites)
    rows = [
        (site, item.path, item.value, item.place)
        for site in chosen
        for item in version.effective_values(bundle, site)
    ]
    _base.print_tables(
        _base.Table('settings', ('site', 'path', 'value', 'from'), rows)
    )


@_base.command('diff', '', 'ebonypick diff --config=examples/trailhands')
async def diff(words):
    """Show what would change in force, per site, if this were accepted."""
    new = read_checked()
    old = version.EMPTY_BUNDLE
    async with _base.make_platform() as platform:
        row = await platform.read_current()
        if row is not None:
            old = await _submission.read_bundle(platform, row)
    rows = version.differing_values(old, new)
    _base.print_tables(
        _base.Table('changes', ('site', 'path', 'now', 'then'), rows)
    )


@_base.command('explain', 'CODE', 'ebonypick explain EP2101')
async def explain(words):
    """Explain a code of an error or of a log event."""
    if len(words) != 1:
        raise _base.UsageError(command='explain', usage='CODE')
    for kind in errors.catalogue():
        if kind.code == words[0].upper():
            _base.print_result(
                code=kind.code,
                meaning=kind.__doc__.splitlines()[0],
                message=kind.message,
                remedy=kind.remedy,
            )
            return None
    for event in events.catalogue():
        if event.code == words[0].upper():
            fields = ', '.join(event.fields)
            _base.print_result(
                code=event.code, meaning=event.text, fields=fields
            )
            return None
    raise _base.UsageError(command='explain', usage='CODE, see EVENTS.md')

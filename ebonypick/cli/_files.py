"""Commands that read and check the files of a configuration."""

import json
import pathlib

from absl import flags

from ebonypick.cli import _base
from ebonypick.cli import _submission
from ebonypick import errors
from ebonypick import events
from ebonypick import version

SITE = flags.DEFINE_string('site', None, 'Site to show; all sites by default.')
BASED_ON = flags.DEFINE_integer(
    'based_on', None, 'Number of the version that the files are based on.'
)
STATE_FILE = '.ebonypick.json'


def read_validated_bundle():
    """Read and validate the bundle in the folder of ``--config``."""
    bundle = version.read_bundle(_base.CONFIG.value)
    version.build_configuration(bundle)
    return bundle


def based_on():
    """Return the number of the version that the files are based on, or 0."""
    if BASED_ON.value is not None:
        return BASED_ON.value
    path = pathlib.Path(_base.CONFIG.value) / STATE_FILE
    if not path.exists():
        return 0
    return json.loads(path.read_text())['based_on']


def write_based_on(number):
    """Store the number of the version that the files are based on."""
    path = pathlib.Path(_base.CONFIG.value) / STATE_FILE
    path.write_text(json.dumps({'based_on': number}) + '\n')


@_base.command(
    'validate', '', 'ebonypick validate --config=examples/trailhands'
)
async def validate(args):
    """Validate the files and report every problem."""
    bundle = read_validated_bundle()
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
async def show(args):
    """Show the effective settings of sites and the source of each value."""
    bundle = read_validated_bundle()
    sites = version.build_configuration(bundle).base.sites
    if SITE.value is not None and SITE.value not in sites:
        raise errors.ConfigError(
            problems=f'there is no site {SITE.value!r}; '
            f'the known sites are: {", ".join(sites)}'
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
async def diff(args):
    """Show the settings that submitting the files would change, per site."""
    new = read_validated_bundle()
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
async def explain(args):
    """Explain the code of an error or of a log event."""
    if len(args) != 1:
        raise _base.UsageError(command='explain', usage='CODE')
    for kind in errors.catalogue():
        if kind.code == args[0].upper():
            _base.print_result(
                code=kind.code,
                meaning=kind.__doc__.splitlines()[0],
                message=kind.message,
                remedy=kind.remedy,
            )
            return None
    for event in events.catalogue():
        if event.code == args[0].upper():
            fields = ', '.join(event.fields)
            _base.print_result(
                code=event.code, meaning=event.text, fields=fields
            )
            return None
    raise _base.UsageError(command='explain', usage='CODE, see EVENTS.md')

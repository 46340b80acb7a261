"""Tests of the commands against a running platform and entry hosts."""

import json
import subprocess
import sys

import pytest

from ebonypick.cli import _base
from ebonypick import errors
from ebonypick import version
from standins import launch
from standins import sample

PLATFORM = '127.0.0.3'
SHAPE = sample.Shape(
    regions=2, hosts=1, services={'registry': (1, 3, 5)}, octet=91
)
ENTRY = '127.91.1.1:8400'


@pytest.fixture(scope='module')
def deployment():
    """Start a small deployment for the tests of the module."""
    with launch.Deployment(sample.make_bundle(SHAPE), PLATFORM) as found:
        found.start_all()
        yield found


@pytest.fixture
def folder(tmp_path, deployment):
    """Return a folder that holds the files of the newest version."""
    assert call(tmp_path, 'fetch')[0] == 0
    return tmp_path


def call(folder, *args):
    """Run a command in a subprocess; return its exit code and output."""
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'from ebonypick import cli; cli.run()',
            *args,
            f'--config={folder}',
            f'--platform={PLATFORM}:{launch.PLATFORM_PORT}',
            f'--entry={ENTRY}',
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert 'Traceback' not in done.stderr
    return done.returncode, done.stdout + done.stderr


def call_json(folder, *args):
    """Run a command with ``--json``; return the decoded output."""
    code, text = call(folder, *args, '--json')
    assert code == 0, text
    return json.loads(text)


def test_every_command_has_help_with_an_example():
    """Every command has a one-sentence help text and an example call."""
    for name, item in _base.commands.items():
        assert item.example.startswith(f'ebonypick {name}')
        assert item.help.endswith('.')


def test_each_code_has_one_message():
    """Error codes are unique; every error has a message and a remedy."""
    codes = [kind.code for kind in errors.catalogue()]
    assert len(codes) == len(set(codes))
    for kind in errors.catalogue():
        assert kind.message.endswith(('.', '}'))
        assert kind.remedy


def test_submit_conflict_and_history(folder, deployment):
    """A change based on the newest version is accepted, on an old one not."""
    path = folder / 'base.json'
    path.write_text(version.set_value(path.read_text(), 'lookup_ttl_ms', 700))
    before = call_json(folder, 'validate')
    assert before['valid'] is True
    changes = call_json(folder, 'diff')['changes']
    assert {row['path'] for row in changes} == {'lookup_ttl_ms'}
    code, text = call(folder, 'submit', '--by=anna', '--note=ttl')
    assert code == 0, text
    path.write_text(version.set_value(path.read_text(), 'lookup_ttl_ms', 800))
    code, text = call(folder, 'submit', '--by=carla', '--based_on=1')
    assert code == _base.EXIT_CONFLICT
    assert 'by anna' in text
    rows = call_json(folder, 'history')['versions']
    assert rows[0]['by'] == 'anna'
    assert rows[0]['note'] == 'ttl'
    assert rows[0]['accepted'].endswith('Z')


def test_invalid_files_are_reported_with_location(folder):
    """An unknown key is reported with its file and a suggestion."""
    path = folder / 'base.json'
    path.write_text(path.read_text().replace('"links"', '"linkz"'))
    code, text = call(folder, 'validate')
    assert code == _base.EXIT_INVALID
    assert "did you mean 'links'" in text
    assert 'base.json:' in text


def test_show_names_source_of_each_value(folder):
    """Values come from the base, from the overlay or from a default."""
    rows = call_json(folder, 'show', '--site=r1c1')['settings']
    places = {row['path']: row['from'] for row in rows}
    assert places['services.registry.slots'].startswith('base.json:')
    server = 'services.registry.backend_servers.r1c1-registry-1.port'
    assert places[server].startswith('sites/r1c1.json:')
    assert places['services.registry.once'] == 'default'


def test_drain_and_undrain(folder, deployment):
    """A drain is accepted as a version and makes the server leave."""
    assert call(folder, 'drain', 'r1c1-registry-1')[0] == 0
    launch.wait_until(
        lambda: any(
            row['backend server'] == 'r1c1-registry-1'
            and row['state'] == 'leaving'
            for row in _servers(folder)
        ),
        'the drain',
    )
    assert call(folder, 'undrain', 'r1c1-registry-1')[0] == 0
    code, text = call(folder, 'drain', 'nobody')
    assert code == _base.EXIT_INVALID


def _servers(folder):
    """Return the rows of the backend servers from ``status``."""
    return call_json(folder, 'status')['backend servers']


def test_shift_start_status_stop(folder):
    """A shift starts at the time of the platform and is stopped by name."""
    args = ('--service=registry', '--from=r1', '--to=r2', '--cap_share=0.2')
    assert call(folder, 'shift', 'start', 'move', *args)[0] == 0
    (row,) = call_json(folder, 'shift', 'status')['shifts']
    assert (row['shift'], row['cap']) == ('move', 0.2)
    assert 0 < row['share now'] <= 0.2
    assert call(folder, 'shift', 'stop', 'move')[0] == 0
    assert call_json(folder, 'shift', 'status') == {'shifts': []}
    code, _ = call(folder, 'shift', 'stop', 'move')
    assert code == _base.EXIT_INVALID


def test_status_and_explain_route(folder):
    """The entry host reports its status and how it would route a request."""
    code, text = call(folder, 'status')
    assert code == 0
    assert 'r2c1-e1' in text
    found = call_json(
        folder, 'explain-route', '--service=registry', '--client=127.191.2.9'
    )
    assert found['region'] == 'r2'
    assert found['chosen'] in {'r1c1-e1', 'r2c1-e1'}


def test_unreachable_platform_is_reported(folder):
    """An unreachable platform gives EP5000 and its own exit code."""
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'from ebonypick import cli; cli.run()',
            'history',
            '--platform=127.0.0.3:1',
        ],
        capture_output=True,
        text=True,
    )
    assert done.returncode == _base.EXIT_UNREACHABLE
    assert 'EP5000' in done.stderr


def test_settle_reports_outcome_of_submission(folder):
    """An unknown submission is reported as not accepted."""
    code, text = call(folder, 'settle', '--submission=1-000000000000')
    assert code == _base.EXIT_FAILED
    assert 'accepted: False' in text


def test_explain_covers_errors_and_events(folder):
    """Codes of errors and of log events are explained; others are invalid."""
    assert 'remedy' in call_json(folder, 'explain', 'EP2101')
    assert 'meaning' in call_json(folder, 'explain', 'ep1201')
    assert call(folder, 'explain', 'EP0')[0] == _base.EXIT_INVALID

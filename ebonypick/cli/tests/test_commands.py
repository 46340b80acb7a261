"""The commands against a platform and an entry host that run."""

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
    """Run a small deployment."""
    with launch.Deployment(sample.make_bundle(SHAPE), PLATFORM) as found:
        found.start_all()
        yield found


@pytest.fixture
def folder(tmp_path, deployment):
    """Give a folder with the newest version's files."""
    assert call(tmp_path, 'fetch')[0] == 0
    return tmp_path


def call(folder, *words):
    """Run a command in a process of its own; return code and output."""
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'from ebonypick import cli; cli.run()',
            *words,
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


def call_json(folder, *words):
    """Run a command with ``--json``; return what it printed."""
    code, text = call(folder, *words, '--json')
    assert code == 0, text
    return json.loads(text)


def test_every_command_has_help_with_an_example():
    """The help needs no platform."""
    for name, item in _base.commands.items():
        assert item.example.startswith(f'ebonypick {name}')
        assert item.help.endswith('.')


def test_each_code_has_one_message():
    """No two kinds of errors or events share a code."""
    codes = [kind.code for kind in errors.catalogue()]
    assert len(codes) == len(set(codes))
    for kind in errors.catalogue():
        assert kind.message.endswith(('.', '}'))
        assert kind.remedy


def test_submit_conflict_and_history(folder, deployment):
    """A change is accepted; one on top of an old version is a conflict."""
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


def test_invalid_files_are_named_with_their_place(folder):
    """The exit code and the message of a mistake."""
    path = folder / 'base.json'
    path.write_text(path.read_text().replace('"links"', '"linkz"'))
    code, text = call(folder, 'validate')
    assert code == _base.EXIT_INVALID
    assert "did you mean 'links'" in text
    assert 'base.json:' in text


def test_show_tells_where_each_value_comes_from(folder):
    """Values of the overlay, of the base, and defaults."""
    rows = call_json(folder, 'show', '--site=r1c1')['settings']
    places = {row['path']: row['from'] for row in rows}
    assert places['services.registry.slots'].startswith('base.json:')
    server = 'services.registry.backend_servers.r1c1-registry-1.port'
    assert places[server].startswith('sites/r1c1.json:')
    assert places['services.registry.once'] == 'default'


def test_drain_and_undrain(folder, deployment):
    """A drain is a version of its own, and keeps comments."""
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
    """Return the backend servers' rows of the status."""
    return call_json(folder, 'status')['backend servers']


def test_shift_start_status_stop(folder):
    """A shift starts at the platform's time and stops by its name."""
    words = ('--service=registry', '--from=r1', '--to=r2', '--cap_share=0.2')
    assert call(folder, 'shift', 'start', 'move', *words)[0] == 0
    (row,) = call_json(folder, 'shift', 'status')['shifts']
    assert (row['shift'], row['cap']) == ('move', 0.2)
    assert 0 < row['share now'] <= 0.2
    assert call(folder, 'shift', 'stop', 'move')[0] == 0
    assert call_json(folder, 'shift', 'status') == {'shifts': []}
    code, _ = call(folder, 'shift', 'stop', 'move')
    assert code == _base.EXIT_INVALID


def test_status_and_explain_route(folder):
    """The entry host tells what it sees."""
    code, text = call(folder, 'status')
    assert code == 0
    assert 'r2c1-e1' in text
    found = call_json(
        folder, 'explain-route', '--service=registry', '--client=127.191.2.9'
    )
    assert found['region'] == 'r2'
    assert found['chosen'] in {'r1c1-e1', 'r2c1-e1'}


def test_missing_platform_is_told(folder):
    """The message names the address; the exit code tells machines."""
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


def test_settle_tells_what_became_of_a_submission(folder):
    """An unknown submission was not accepted."""
    code, text = call(folder, 'settle', '--submission=1-000000000000')
    assert code == _base.EXIT_FAILED
    assert 'accepted: False' in text


def test_explain_knows_all_codes(folder):
    """Errors and events alike."""
    assert 'remedy' in call_json(folder, 'explain', 'EP2101')
    assert 'meaning' in call_json(folder, 'explain', 'ep1201')
    assert call(folder, 'explain', 'EP0')[0] == _base.EXIT_INVALID

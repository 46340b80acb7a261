"""Tests of the steering commands on a dump of the store and on settings."""

import base64
import json
import subprocess
import sys

from tests import steering_calls
from tests import steering_world


def _call(*args):
    done = subprocess.run(
        [
            sys.executable,
            '-c',
            'from ebonypick import cli; cli.run()',
            *args,
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert 'Traceback' not in done.stderr
    return done.returncode, done.stdout + done.stderr


def _dump(tmp_path, **tables):
    entry = {
        'address': '10.0.0.9:8080',
        'info': {'service': 'registry', 'zone': 'a-1', 'slots': 3},
        'status': {'state': 'ready'},
        'born': 1,
    }
    host = {
        'callers': '10.0.0.1:80',
        'peers': '10.0.0.1:81',
        'data_centre': 'a-1',
        'started_ms': 1,
    }
    plain = {
        'op': {'config': steering_world.make_config(7), 'evacuate/b-1': {}},
        'servers': {'i-1': entry, 'i-2': {'address': 4}},
        'ebonypick-hosts': {'h-1': host},
        **tables,
    }
    path = tmp_path / 'dump.json'
    encoded = {
        table: {
            key: base64.b64encode(json.dumps(value).encode()).decode()
            for key, value in rows.items()
        }
        for table, rows in plain.items()
    }
    path.write_text(json.dumps(encoded))
    return f'--dump={path}'


def test_a_dump_is_checked_and_shown(tmp_path):
    dump = _dump(tmp_path)
    code, text = _call('steer-check', dump, '--json')
    assert code == 0
    found = json.loads(text)
    assert found['version'] == 7
    assert found['damaged_entries'] == ['i-2']
    assert found['services_without_servers'] == ['evidence']
    assert found['evacuated'] == ['b-1']
    code, text = _call('steer-show', dump, '--json')
    assert code == 0
    found = json.loads(text)
    assert [r['route'] for r in found['routes']] == ['read', 'act', 'upload']
    assert found['steering hosts'][0]['callers'] == '10.0.0.1:80'


def test_a_route_is_explained(tmp_path):
    dump = _dump(tmp_path)
    args = ('steer-route', steering_calls.HOST, '/read/x')
    code, text = _call(*args, '17', dump, '--json')
    assert code == 0
    (rows,) = json.loads(text).values()
    assert (rows[0]['backend server'], rows[0]['why']) == ('i-1', 'home')
    code, text = _call('steer-route', 'nowhere.example', '/', dump)
    assert code != 0
    assert 'EP2012' in text


def test_damaged_input_is_reported_with_remedy(tmp_path):
    dump = _dump(tmp_path, op={'config': {'version': 'seven'}})
    code, text = _call('steer-check', dump)
    assert code == 2
    assert 'version' in text and 'Correct' in text
    path = tmp_path / 'settings.json'
    path.write_text('{"host": "h", "callers": "nowhere"}')
    code, text = _call('steer-check', str(path))
    assert code == 2
    assert 'callers' in text and 'settings.json:1' in text

"""Tests that each check of the soak finds a violation of its guarantee."""

import signal
import types

import pytest

from standins import limits
from standins import server_records
from standins import upstream
from tests.soak import promises
from tests.soak import world as soak_world
from tests import steering_calls

HOST = 'a-1-h0'
ADDRESS = '127.0.0.9'


class _World(soak_world.SoakWorld):
    """A world with a history but without processes."""

    def __init__(self, folder):
        super().__init__(folder, seed=1)
        self.processes = {HOST: types.SimpleNamespace(returncode=None)}
        self.server = upstream.Upstream('registry', 'a-1')
        self.upstreams = [self.server]

    def address(self, name):
        """Return the address of the only host."""
        return ADDRESS

    def arrive(self, at, req='r', cold=False):
        """Record the arrival of a request at the server."""
        self.server.arrivals.append(
            server_records.Arrival(
                req, self.server.instance, ADDRESS, at, cold, False
            )
        )

    def run(self, req, at):
        """Record a run of a request at the server."""
        self.server.runs.append(
            server_records.UpstreamRun(
                req, self.server.instance, 'registry', '/', 'GET', '', at
            )
        )

    def record_call(
        self, kind, status, sent_at, ended_at, req='r', headers=()
    ):
        """Record a finished request of a caller."""
        self.calls.append(
            steering_calls.Call(
                req,
                kind,
                '/',
                '',
                b'',
                status,
                b'',
                dict(headers),
                sent_at,
                ended_at,
                HOST,
                1,
            )
        )

    def record_disturbance(self, scope, start, end):
        """Record a disturbance."""
        self.troubles.append(soak_world.Trouble(scope, start, end))

    def record_change(self, kind, name, at):
        """Record a change that the store acknowledged."""
        self.told.append(soak_world.StoreChange(kind, name, at))


@pytest.fixture
def world(tmp_path):
    """Return a world without a history."""
    return _World(tmp_path)


def test_a_world_without_a_history_keeps_all(world):
    assert promises.broken(world) == {}


def test_late_arrivals_at_a_leaving_server(world):
    world.record_change('drain', world.server.instance, 10.0)
    world.arrive(10.0 + soak_world.DRAIN_S - 0.1)
    assert promises.check_drains(world) == []
    world.arrive(10.0 + soak_world.DRAIN_S + 0.1)
    assert len(promises.check_drains(world)) == 1
    world.record_disturbance(HOST, 10.5, 11.0)
    assert promises.check_drains(world) == []


def test_arrivals_at_a_server_that_announced_leaving(world):
    said = {'server-leaving': '1', 'server-seal': world.server.instance}
    world.record_call('read', 200, 9.0, 10.0, 'first', said)
    late = 10.0 + soak_world.DRAIN_S + 0.1
    world.record_call('read', 200, late - 0.2, late, 'crossed')
    world.arrive(late, 'crossed')
    assert promises.check_leavers(world) == []
    world.record_call('read', 200, late, late + 0.1, 'late')
    world.arrive(late, 'late')
    assert len(promises.check_leavers(world)) == 1
    world.record_disturbance(HOST, 10.5, 11.0)
    assert promises.check_leavers(world) == []


def test_arrivals_at_a_server_that_sent_retry_after(world):
    world.server.hold_offs.append(
        server_records.HoldOff(ADDRESS, world.server.instance, 10.0, 13.0)
    )
    for at in (10.4, 11.0, 12.0, 13.1):
        world.arrive(at)
    assert promises.check_hold_offs(world) == []
    world.arrive(12.5)
    assert len(promises.check_hold_offs(world)) == 1


def test_arrivals_in_an_evacuated_data_centre(world):
    world.record_change('evacuate', 'a-1', 10.0)
    world.record_change('return', 'a-1', 20.0)
    world.arrive(21.0)
    assert promises.check_evacuations(world) == []
    world.arrive(16.0)
    assert len(promises.check_evacuations(world)) == 1


def test_versions_that_go_back_or_come_late(world):
    world.record_change('config', '3', 10.0)
    world.record_call('v3', 404, 11.0, 11.1)
    assert promises.check_versions(world) == []
    late = 10.0 + soak_world.CONFIG_S + 0.1
    world.record_call('v3', 404, late, late + 0.1)
    assert len(promises.check_versions(world)) == 1
    world.calls.clear()
    world.record_change('config', '5', 20.0)
    world.record_call('v5', 200, 21.0, 21.1)
    world.record_call('v3', 200, 22.0, 22.1)
    assert len(promises.check_versions(world)) == 1


def test_routes_that_are_denied(world):
    world.record_call('read', 404, 1.0, 1.1)
    assert len(promises.check_denied(world)) == 1


def test_requests_cut_off_by_a_planned_stop(world):
    world.record_disturbance(f'stop {HOST}', 10.0, 12.0)
    world.run('r', 10.1)
    world.record_call('act', 0, 10.0, 10.5)
    assert len(promises.check_stops(world)) == 1
    world.record_disturbance('servers', 9.0, 10.2)
    assert promises.check_stops(world) == []


@pytest.mark.parametrize(
    ('code', 'served', 'broken'),
    [(0, True, 0), (-9, True, 1), (-15, True, 1), (-15, False, 0)],
)
def test_how_a_planned_stop_ended(world, code, served, broken):
    world.exits.append(
        soak_world.Exit(HOST, signal.SIGTERM, code, 1.0, served)
    )
    assert len(promises.check_stops(world)) == broken


def test_a_cold_server_that_gets_too_much(world):
    for number in range(int(promises.COLD_PER_S) + 1):
        world.arrive(5.0 + number * 0.05, req=str(number), cold=True)
    assert promises.check_cold(world) != []


def test_more_repeats_than_the_common_budget(world):
    for number in range(promises.REPEAT_SLACK + 20):
        world.arrive(5.0 + number * 0.01)
    assert promises.check_repeats(world) != []


def test_processes_that_end_or_print_a_traceback(world):
    world.processes[HOST].returncode = 1
    (world.folder / 'a.log').write_text('Traceback (most recent call last)')
    assert len(promises.check_processes(world)) == 2


def test_too_few_served_after_the_recovery():
    calls = [types.SimpleNamespace(status=s) for s in (200, 503, 503)]
    assert promises.check_recovered(calls) != []


def _name_limit(world, per_s, at):
    world.server.named_limits.append(
        limits.NamedLimit(world.server.instance, at, per_s)
    )
    headers = {'server-limit': per_s, 'server-seal': world.server.instance}
    world.record_call('read', 200, at, at + 0.1, headers=headers)


def test_requests_beyond_a_limit(world):
    _name_limit(world, 1.0, at=10.0)
    for number in range(11):
        world.arrive(13.0 + number / 10)
    assert promises.check_limits(world) == []
    world.arrive(14.5)
    assert len(promises.check_limits(world)) == 1


def test_requests_of_a_disturbed_host_beyond_a_limit(world):
    _name_limit(world, 1.0, at=10.0)
    world.record_disturbance(HOST, 12.0, 13.0)
    for number in range(40):
        world.arrive(13.0 + number / 10)
    assert promises.check_limits(world) == []

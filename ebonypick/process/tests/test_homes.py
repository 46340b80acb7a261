"""Tests of requests whose route gets another home on their way out."""

import asyncio
import contextlib
import types

import pytest

from ebonypick.process import _host_attempt
from ebonypick.process import _job
from ebonypick.process import _server_attempt
from ebonypick.process import _steering_host
from ebonypick import request
from ebonypick import version

CENTRES = {'a-1': 'a', 'b-1': 'b'}


def _config(number, home):
    route = version.Route(
        'r',
        'x',
        '/',
        version.RequestKind.SAFE,
        (version.ServiceShare('s', 1),),
        1.0,
        0.5,
        2,
        0,
        frozenset({home}),
    )
    return version.TrafficConfig(number, (route,), (), version.CallerLimits())


def _make_node(before, after):
    """Return a host that gets a version while a connection is opened."""
    node = types.SimpleNamespace(
        board=types.SimpleNamespace(version=before),
        settings=types.SimpleNamespace(data_centres=CENTRES),
        fleet=types.SimpleNamespace(withholds=lambda ticket, now: False),
        centre_of=lambda host: 'a-1',
    )
    node.in_home = types.MethodType(_steering_host.SteeringHost.in_home, node)

    @contextlib.asynccontextmanager
    async def open_connection(req):
        await asyncio.sleep(0)
        node.board.version = after
        yield None

    pool = types.SimpleNamespace(connection=open_connection)
    node.pool = lambda entry: pool
    node.relays = types.SimpleNamespace(pool=lambda host: pool)
    return node


def _make_job(cfg):
    req = types.SimpleNamespace(path='/1', headers={}, target='/1')
    head = types.SimpleNamespace(req='1', host='x')
    return _job.Job(req, head, cfg, cfg.routes[0], 's', None, 1e9, 2)


def _make_server_attempt(node, job):
    entry = types.SimpleNamespace(instance='i', data_centre='a-1')
    attempt = object.__new__(_server_attempt.ServerAttempt)
    vars(attempt).update(_node=node, _job=job, _ticket=None)
    return attempt._exchange(entry)


def _make_host_attempt(node, job):
    return _host_attempt.HostAttempt(node, job, 'h', 1)._exchange()


@pytest.mark.parametrize(
    'make_attempt', [_make_server_attempt, _make_host_attempt]
)
def test_a_request_is_withheld_from_a_former_home(monkeypatch, make_attempt):
    """Guards against sends to a home that a new version has moved."""
    before, after = _config(1, 'a'), _config(2, 'b')
    node = _make_node(before, after)
    sent = []

    async def send(conn, job, rows):
        sent.append(job)

    monkeypatch.setattr(_host_attempt._transfer, 'send_request', send)
    monkeypatch.setattr(
        _host_attempt.platform, 'relay_head', lambda req, left_s: []
    )
    result = asyncio.run(make_attempt(node, _make_job(before)))
    assert sent == []
    assert result.outcome is request.Outcome.NOT_RUN
    assert not result.may_have_arrived


def test_the_regions_are_those_of_the_version_in_force():
    before, after = _config(1, 'a'), _config(2, 'b')
    job = _make_job(before)
    dropped = version.TrafficConfig(3, (), (), version.CallerLimits())
    assert job.regions(before) == {'a'}
    assert job.regions(after) == {'b'}
    assert job.regions(dropped) == {'a'}

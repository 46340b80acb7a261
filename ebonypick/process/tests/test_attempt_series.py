"""Requests of a host that turns out to be cut off from all servers."""

import asyncio
import types

import pytest

from ebonypick import errors
from ebonypick.process import _attempt_series
from ebonypick.process import _job
from ebonypick import request

UNKNOWN = _job.AttemptResult(request.Outcome.UNKNOWN, 'connection lost')
NOT_RUN = _job.AttemptResult(
    request.Outcome.NOT_RUN, 'no connection', may_have_arrived=False
)
REFUSED = _job.AttemptResult(
    request.Outcome.NOT_RUN, 'status 503', answer=types.SimpleNamespace()
)


class _Attempt:
    """An attempt with a given result, after which the host is cut off."""

    instance = 'i-1'
    host = None
    status = 0

    def __init__(self, node, result):
        self._node = node
        self._result = result
        self.sent = int(result.may_have_arrived)

    async def run(self):
        self._node.reach.cut_off = True
        return self._result


def _run(monkeypatch, first, relayed=False, host=None, second=None):
    """Run a read whose first attempt is at a server, others at a host."""
    node = types.SimpleNamespace(
        board=types.SimpleNamespace(version=None),
        reach=types.SimpleNamespace(cut_off=False),
        has_time_for=lambda job, received_at: True,
        crashes=types.SimpleNamespace(check=lambda job: None),
        fleet=types.SimpleNamespace(
            choose=lambda ask, now: request.Chosen(None, 'home', 0.0, None),
            work_s=lambda service: 0.0,
        ),
        relays=types.SimpleNamespace(choose=lambda regions, asked: host),
        repeats=types.SimpleNamespace(take=lambda job: True),
    )
    job = types.SimpleNamespace(
        service='s',
        object_key=None,
        relayed=relayed,
        max_attempts=3,
        route=types.SimpleNamespace(
            priority=1,
            kind=types.SimpleNamespace(idempotent=True),
            objective_s=1.0,
        ),
        regions=lambda cfg: frozenset(),
        remaining_s=lambda: 1.0,
        body=types.SimpleNamespace(repeatable=True),
    )
    monkeypatch.setattr(
        _attempt_series._server_attempt,
        'ServerAttempt',
        lambda node, job, choice, number: _Attempt(node, first),
    )
    monkeypatch.setattr(
        _attempt_series._host_attempt,
        'HostAttempt',
        lambda node, job, host, attempts: _Attempt(node, second),
    )
    return asyncio.run(_attempt_series.AttemptSeries(node, job).run())


@pytest.mark.parametrize('relayed', [False, True])
def test_no_refusal_says_that_a_request_did_not_run_which_may_have(
    monkeypatch, relayed
):
    with pytest.raises(errors.UnknownOutcomeError):
        _run(monkeypatch, UNKNOWN, relayed)


def test_a_refusal_of_another_host_is_not_passed_on_after_a_lost_answer(
    monkeypatch,
):
    with pytest.raises(errors.UnknownOutcomeError):
        _run(monkeypatch, UNKNOWN, host='h2', second=REFUSED)


def test_a_refusal_of_another_host_is_passed_on_if_nothing_ran(monkeypatch):
    assert _run(monkeypatch, NOT_RUN, host='h2', second=REFUSED) is REFUSED


def test_a_host_without_servers_refuses_what_another_host_passed_on(
    monkeypatch,
):
    with pytest.raises(errors.NotReadyError):
        _run(monkeypatch, NOT_RUN, relayed=True)

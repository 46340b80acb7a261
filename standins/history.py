"""Histories of concurrent runs, and checkers of their invariants.

A checker is a pure function that returns the violations in a history.
"""

import collections
import dataclasses

# Prefix of the lines in a backend server's log that record a run.
RUN_MARK = 'RUN '


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request and the answer that it received.

    Parameters
    ==========
    mark : str
        Unique id; last segment of the request's target.
    method : str
        HTTP method.
    sent_bytes : int
        Length of its body.
    digest : str
        SHA-256 of its body.
    outcome : str
        ``done``, ``not-run`` or ``unknown``.
    status : int
        HTTP status; 0 without an answer.
    answer : dict or int or None
        The decoded answer, or the length of its body if that is not JSON.
    expected_bytes : int or None
        Length that the answer must have if it is not JSON.
    key : str or None
        Idempotency key.
    started_at, ended_at : float
        Seconds since the epoch.
    client : str
        Client address that the look-up was made for.
    """

    mark: str
    method: str
    sent_bytes: int
    digest: str
    outcome: str
    status: int
    answer: object
    expected_bytes: int | None
    key: str | None
    started_at: float
    ended_at: float
    client: str = ''


@dataclasses.dataclass(frozen=True)
class Run:
    """A backend server's record of a request."""

    server: str
    req: str
    method: str
    target: str
    key: str | None
    state: str
    at: float


@dataclasses.dataclass(frozen=True)
class ConfigObservation:
    """Observation of the configuration that is in force on a host."""

    host: str
    boot: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """A host's routing decision for one request of a service."""

    host: str
    moved: bool
    share: float


@dataclasses.dataclass(frozen=True)
class Violation:
    """Violation of an invariant by a history."""

    rule: str
    text: str


def run_of(server, row):
    """Return the run that a log line of a backend server records."""
    return Run(
        server,
        row['req'],
        row['method'],
        row['path'],
        row['key'],
        row['state'],
        row['at'],
    )


def _mark_of(target):
    return target.rpartition('/')[2]


def check_at_most_once(calls, runs):
    """Check that no request with an idempotency key starts twice."""
    starts = collections.Counter(
        run.key for run in runs if run.key and run.state == 'started'
    )
    return [
        Violation('at most once', f'{key} started {count} times')
        for key, count in starts.items()
        if count > 1
    ]


def check_not_run_outcomes(calls, runs):
    """Check that no request reported as ``not-run`` was started."""
    started = {_mark_of(run.target) for run in runs if run.state == 'started'}
    return [
        Violation('not-run', f'{call.mark} was run')
        for call in calls
        if call.outcome == 'not-run' and call.mark in started
    ]


def check_done_outcomes(calls, runs):
    """Check that each request reported as ``done`` ran to completion."""
    done = {_mark_of(run.target) for run in runs if run.state == 'done'}
    return [
        Violation('done', f'{call.mark} was not run')
        for call in calls
        if call.outcome == 'done'
        and call.status == 200
        and call.mark not in done
    ]


def check_complete_answers(calls, runs):
    """Check that each answer is complete and belongs to its request."""
    found = []
    for call in calls:
        if call.outcome != 'done' or call.status != 200:
            continue
        if call.expected_bytes is not None:
            whole = call.answer == call.expected_bytes
        else:
            whole = (
                isinstance(call.answer, dict)
                and _mark_of(call.answer['target']) == call.mark
                and call.answer['method'] == call.method
                and call.answer['bytes'] == call.sent_bytes
                and call.answer['sha256'] == call.digest
            )
        if not whole:
            found.append(Violation('whole answer', f'{call.mark} got another'))
    return found


def check_leaving(left_at, runs, limit_s=2.0):
    """Check that a leaving server starts no request after the limit.

    Parameters
    ==========
    left_at : dict of str to float
        Start of the drain by server, in seconds since the epoch.
    runs : list of Run
        Runs of all servers.
    limit_s : float
        Time that the requirements allow, in seconds.
    """
    return [
        Violation('leaving', f'{run.server} got {run.req}')
        for run in runs
        if run.state == 'started'
        and run.server in left_at
        and run.at > left_at[run.server] + limit_s
    ]


def check_never_reverts(samples):
    """Check that no host reverts to a lower version within one boot."""
    found = []
    newest = {}
    for sample in sorted(samples, key=lambda s: s.at):
        place = (sample.host, sample.boot)
        if sample.number < newest.get(place, 0):
            text = f'{sample.host} went back to {sample.number}'
            found.append(Violation('never reverts', text))
        newest[place] = max(newest.get(place, 0), sample.number)
    return found


def check_shift_cap(decisions, cap):
    """Check that the share of moved requests stays within the cap.

    The cap holds over every prefix of the decisions of all hosts together.
    In every window of its own decisions, each host moves at most ``cap``
    times the window's length, plus one.
    """
    found = []
    moved = 0
    for count, decision in enumerate(decisions, 1):
        moved += decision.moved
        if moved > cap * count + 1e-9:
            found.append(Violation('shift cap', f'{moved} of {count} moved'))
            break
    by_host = collections.defaultdict(list)
    for decision in decisions:
        by_host[decision.host].append(decision.moved)
    for host, rows in by_host.items():
        found.extend(_check_windows(host, rows, cap))
    return found


def _check_windows(host, rows, cap):
    # ``excess`` is the number of moved requests minus cap * n. A window
    # violates the rule if the excess rises by more than one within it.
    excess = lowest = 0.0
    for number, moved in enumerate(rows, 1):
        excess += moved - cap
        if excess - lowest > 1 + 1e-9:
            return [Violation('shift window', f'{host} at {number}')]
        lowest = min(lowest, excess)
    return []


CALL_CHECKS = (
    check_at_most_once,
    check_not_run_outcomes,
    check_done_outcomes,
    check_complete_answers,
)


def check_calls(calls, runs):
    """Return the violations of all invariants of requests."""
    return [
        violation for check in CALL_CHECKS for violation in check(calls, runs)
    ]

"""Histories of concurrent runs, and checkers of what must always hold.

A checker is a pure function from a history to the violations in it.
"""

import collections
import dataclasses

# Starts a line of a backend server's log that holds a run.
RUN_MARK = 'RUN '


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request and what it was told.

    Parameters
    ==========
    mark : str
        Unique; part of the request's target.
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
        The answer's JSON, or the length of its body if it is no JSON.
    expected_bytes : int or None
        The length that the answer should have, if it is no JSON.
    key : str or None
        Its idempotency key.
    started_at, ended_at : float
        Seconds since the epoch.
    client : str
        The address that it was looked up for.
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
class InForce:
    """A configuration seen in force on a host."""

    host: str
    boot: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """A routing decision of a host about a service's request."""

    host: str
    moved: bool
    share: float


@dataclasses.dataclass(frozen=True)
class Violation:
    """An invariant that a history breaks."""

    rule: str
    text: str


def run_of(server, row):
    """Return the run in a line of a backend server's log."""
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
    """No request with a key starts twice."""
    starts = collections.Counter(
        run.key for run in runs if run.key and run.state == 'started'
    )
    return [
        Violation('at most once', f'{key} started {count} times')
        for key, count in starts.items()
        if count > 1
    ]


def check_not_run_is_true(calls, runs):
    """What a caller was told was not run was not started anywhere."""
    started = {_mark_of(run.target) for run in runs if run.state == 'started'}
    return [
        Violation('not-run', f'{call.mark} was run')
        for call in calls
        if call.outcome == 'not-run' and call.mark in started
    ]


def check_done_is_true(calls, runs):
    """What a caller was told is done was run to its end."""
    done = {_mark_of(run.target) for run in runs if run.state == 'done'}
    return [
        Violation('done', f'{call.mark} was not run')
        for call in calls
        if call.outcome == 'done'
        and call.status == 200
        and call.mark not in done
    ]


def check_whole_answers(calls, runs):
    """Each answer is whole and belongs to its own request."""
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
    """A server that leaves starts nothing after the limit.

    Parameters
    ==========
    left_at : dict of str to float
        When each server was said to leave, seconds since the epoch.
    runs : list of Run
        All runs.
    limit_s : float
        What the brief allows.
    """
    return [
        Violation('leaving', f'{run.server} got {run.req}')
        for run in runs
        if run.state == 'started'
        and run.server in left_at
        and run.at > left_at[run.server] + limit_s
    ]


def check_never_reverts(samples):
    """No host goes back to a lower version while its process lives."""
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
    """Over every prefix, all hosts together, the moved share keeps the cap.

    And over every window each host moves less than its share of the
    window's requests plus one.
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
    # The excess of moved over cap * n, as a walk: a window breaks the rule
    # where the walk rises by more than one.
    walk = lowest = 0.0
    for number, moved in enumerate(rows, 1):
        walk += moved - cap
        if walk - lowest > 1 + 1e-9:
            return [Violation('shift window', f'{host} at {number}')]
        lowest = min(lowest, walk)
    return []


CALL_CHECKS = (
    check_at_most_once,
    check_not_run_is_true,
    check_done_is_true,
    check_whole_answers,
)


def check_calls(calls, runs):
    """Return the violations of all invariants about requests."""
    return [
        violation for check in CALL_CHECKS for violation in check(calls, runs)
    ]

"""Tests the choice of backend servers as a pure state machine."""

import collections
import dataclasses
import random

from ebonypick import request
from ebonypick import version

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
HOSTS = {'a1': ('h1',), 'a2': ('h2',), 'b1': ('h3', 'h4')}
SLOTS = 3
RATE_PER_S = 2.4
# Requests that all hosts together may send to a cold server in any second.
MAX_COLD_REQUESTS = RATE_PER_S * 1.5 + 5


def _entries(count=12, service='s', **more):
    centres = list(REGIONS)
    return tuple(
        request.ServerEntry(
            f'{service}-{number}',
            service,
            ('127.0.0.1', 1000 + number),
            centres[number % len(centres)],
            SLOTS,
            **more,
        )
        for number in range(count)
    )


def _fleet(host='h1', centre='a1', entries=None, hosts=HOSTS):
    fleet = request.Fleet(host, centre, REGIONS, random.Random(1))
    fleet.set_hosts(hosts)
    terms = version.ServiceTerms('s', warmup_per_s=RATE_PER_S)
    fleet.set_terms([terms])
    fleet.update(_entries() if entries is None else entries, 0.0)
    return fleet


def _ask(key, **more):
    values = {
        'service': 's',
        'object_key': key,
        'regions': frozenset(),
        'priority': 1,
        'remaining_s': 1.0,
        **more,
    }
    return request.Ask(**values)


def _homes(fleet, keys=range(400)):
    return {
        key: fleet.choose(_ask(str(key)), 0.0).entry.instance for key in keys
    }


def test_hosts_of_a_data_centre_agree_on_homes():
    assert _homes(_fleet('h3', 'b1')) == _homes(_fleet('h4', 'b1'))


def test_only_objects_of_a_removed_server_move():
    fleet = _fleet()
    before = _homes(fleet)
    removed = before[0]
    rest = [e for e in _entries() if e.instance != removed]
    fleet.update(rest, 1.0)
    after = _homes(fleet)
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == removed}


def test_a_full_home_server_is_chosen_over_a_busy_other_server():
    """A short wait at a warm server costs less than a cold server."""
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    for entry in _entries():
        for _ in range(SLOTS):
            fleet.sent(entry.instance, None, 0.0)
    assert fleet.choose(_ask('k'), 0.0).entry.instance == home


def test_requests_are_rejected_with_retry_after_if_all_are_full():
    fleet = _fleet()
    for entry in _entries():
        for _ in range(3 * SLOTS):
            fleet.sent(entry.instance, None, 0.0)
    found = fleet.choose(_ask('k'), 0.0)
    assert isinstance(found, request.Rejected)
    assert found.reason == 'full'
    assert 0 < found.retry_after_s <= 2


def test_urgent_requests_are_accepted_at_a_higher_load():
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    for entry in _entries():
        for _ in range(2 * SLOTS):
            fleet.sent(entry.instance, None, 0.0)
    later = fleet.choose(_ask('k', priority=2), 0.0)
    assert isinstance(later, request.Rejected)
    assert fleet.choose(_ask('k', priority=1), 0.0).entry.instance == home


def test_requests_that_would_miss_their_deadline_are_rejected():
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    head = request.AnswerHead('r', sealed=True)
    for now in (1.0, 2.0):
        ticket = fleet.sent(home, 'k', now - 0.4)
        fleet.answered(ticket, head, False, now)
        fleet.ended(ticket, now)
    for _ in range(2 * SLOTS):
        fleet.sent(home, 'k', 2.0)
    late = fleet.choose(_ask('k', remaining_s=0.3), 2.0)
    assert isinstance(late, request.Rejected)
    assert late.reason == 'late'
    assert isinstance(fleet.choose(_ask('k'), 2.0), request.Chosen)


def test_leaving_evacuated_and_disallowed_servers_get_no_requests():
    entries = [
        dataclasses.replace(entry, draining=number < 4)
        for number, entry in enumerate(_entries())
    ]
    fleet = _fleet(entries=entries)
    fleet.set_evacuated({'a2'})
    by_name = {entry.instance: entry for entry in entries}
    for key, name in _homes(fleet).items():
        assert not by_name[name].draining
        assert by_name[name].data_centre != 'a2'
    only_b = frozenset({'b'})
    for key in range(100):
        found = fleet.choose(_ask(str(key), regions=only_b), 0.0)
        assert REGIONS[found.entry.data_centre] == 'b'


def test_a_replaced_instance_is_excluded_until_it_registers():
    fleet = _fleet(entries=_entries(1))
    head = request.AnswerHead('r', not_run=True, other_instance=True)
    ticket = fleet.sent('s-0', 'k', 0.9)
    fleet.answered(ticket, head, False, 1.0)
    assert isinstance(fleet.choose(_ask('k'), 1.1), request.Rejected)
    fleet.update(_entries(1, started_ms=5), 2.0)
    assert fleet.choose(_ask('k'), 2.1).entry.instance == 's-0'


def test_an_unreachable_server_is_retried_after_a_backoff():
    fleet = _fleet(entries=_entries(1), hosts={'a1': ('h1',)})
    fleet.unreachable('s-0', 0.0)
    assert isinstance(fleet.choose(_ask('k'), 0.1), request.Rejected)
    assert isinstance(fleet.choose(_ask('k'), 0.5), request.Chosen)


def _answer_others(fleet, silent, took_s, now):
    """Let every server except the silent ones answer a request."""
    head = request.AnswerHead('r', sealed=True)
    for entry in _entries():
        if entry.instance not in silent:
            ticket = fleet.sent(entry.instance, 'x', now - took_s)
            fleet.answered(ticket, head, False, now)
            fleet.ended(ticket, now)


def _leave_unanswered(fleet, instance, waited_s, times, now=1.0):
    for _ in range(times):
        ticket = fleet.sent(instance, None, now - waited_s)
        fleet.ended(ticket, now)


def test_a_server_that_never_answered_is_excluded():
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    _answer_others(fleet, {home}, took_s=0.4, now=1.0)
    _leave_unanswered(fleet, home, waited_s=2.0, times=2)
    assert fleet.choose(_ask('k'), 1.0).entry.instance == home
    _leave_unanswered(fleet, home, waited_s=2.0, times=1)
    assert fleet.choose(_ask('k'), 1.0).entry.instance != home


def test_early_cancellations_do_not_exclude_a_server():
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    _answer_others(fleet, {home}, took_s=0.4, now=1.0)
    _leave_unanswered(fleet, home, waited_s=0.3, times=20)
    assert fleet.choose(_ask('k'), 1.0).entry.instance == home


def test_an_answer_resets_the_count_of_unanswered_requests():
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    for _ in range(5):
        _answer_others(fleet, (), took_s=0.4, now=1.0)
        _leave_unanswered(fleet, home, waited_s=2.0, times=2)
    assert fleet.choose(_ask('k'), 1.0).entry.instance == home


def test_no_server_is_excluded_if_most_are_silent():
    """A service that is slow as a whole keeps its home servers."""
    fleet = _fleet()
    home = fleet.choose(_ask('k'), 0.0).entry.instance
    silent = {home, *(entry.instance for entry in _entries()[:6])}
    _answer_others(fleet, silent, took_s=0.4, now=1.0)
    for name in silent:
        _leave_unanswered(fleet, name, waited_s=2.0, times=3)
    assert fleet.choose(_ask('k'), 1.0).entry.instance == home


def _cold_request_times(views, seconds=6.0, per_s=300):
    """Return the times at which hosts send requests to a cold server.

    Parameters
    ==========
    views : dict of str to dict
        The live hosts as each host sees them.
    """
    centre_of = {n: c for c, names in HOSTS.items() for n in names}
    entries = _entries(1, warmup_left_s=60.0)
    fleets = {
        name: _fleet(name, centre_of[name], entries, view)
        for name, view in views.items()
    }
    times = []
    for number in range(int(seconds * per_s)):
        now = number / per_s
        for fleet in fleets.values():
            found = fleet.choose(_ask(str(number % 50)), now)
            if isinstance(found, request.Chosen):
                times.append(now)
    return times


def _max_in_a_second(times):
    window = collections.deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


def test_all_hosts_together_respect_the_warm_up_rate():
    views = {name: HOSTS for name in ('h1', 'h2', 'h3', 'h4')}
    times = _cold_request_times(views)
    assert times
    assert _max_in_a_second(times) <= MAX_COLD_REQUESTS


def test_a_stopping_last_host_sends_nothing_to_a_cold_server():
    """The set of live hosts is empty while the last host stops."""
    fleet = _fleet(entries=_entries(1, warmup_left_s=60.0), hosts={})
    found = fleet.choose(_ask('k'), 0.0)
    assert isinstance(found, request.Rejected)
    assert found.reason == 'cold'


def test_hosts_with_different_views_respect_the_warm_up_rate():
    views = {
        'h1': {'a1': ('h1',)},
        'h2': {'a2': ('h2',)},
        'h3': HOSTS,
        'h4': HOSTS,
    }
    assert _max_in_a_second(_cold_request_times(views)) <= MAX_COLD_REQUESTS


def test_retries_of_all_hosts_stay_within_the_common_budget():
    """Windows differ, one host restarts, and all retry when allowed."""
    terms = request.RepeatTerms(ratio=0.2, slack=56)
    rng = random.Random(3)
    limits = [request.RepeatLimit(terms, hosts=7) for _ in range(7)]
    requests = []
    repeats = []
    for step in range(6000):
        now = step * 0.01
        if step == 3000:
            limits[0] = request.RepeatLimit(terms, hosts=7)
        limit = rng.choice(limits)
        limit.note_request()
        requests.append(now)
        if limit.take(7):
            repeats.append(now)
    for start in range(0, 50):
        inside = [at for at in repeats if start <= at < start + 10]
        asked = [at for at in requests if start <= at < start + 10]
        assert len(inside) <= 0.2 * len(asked) + 56
    assert len(repeats) > 0.1 * len(requests)

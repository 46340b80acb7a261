"""Tests requests that crash each server which runs them, among other ones.

Load: a request that is sent again and again at any of up to 77 hosts, beside
requests that are lost in the same crashes. Hosts exchange records as in
gossip: some at once after a crash, then two pairs of each host a second.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from ebonypick import request
from ebonypick.request import _quarantine

DEADLY = 'deadly'
ROUND_S = 0.1
GOSSIP_S = 0.5
FANOUT = 2
SPREAD = 16
RECORDS = 8
# Users' limits: sends beyond the third crash, by hosts that have had contact.
CONTACT_S = 4.0
MORE_SENDS = 3
DAY_S = 60.0


class _Deployment:
    """Quarantines of some hosts, in one or more groups that cannot talk."""

    def __init__(self, count, seed=1, groups=1):
        self.rng = random.Random(seed)
        self.names = [f'h{number}' for number in range(count)]
        self.hosts = {
            name: request.Quarantine(name, self.rng) for name in self.names
        }
        self.groups = [self.names[n::groups] for n in range(groups)]
        for group in self.groups:
            for name in group:
                self.hosts[name].set_hosts(group)
        self.now = 0.0
        self.sent_at = []

    def exchange(self, first, second):
        """Let two hosts send each other a message."""
        for sender, receiver in ((first, second), (second, first)):
            for digest, record in self.hosts[sender].to_send(RECORDS):
                self.hosts[receiver].merge(digest, record, self.now)

    def gossip(self, fanout=FANOUT, names=None):
        """Play one round of gossip for all hosts, or for some."""
        for group in self.groups:
            for name in group if names is None else names:
                if name in group:
                    others = [n for n in group if n != name]
                    for other in self.rng.sample(
                        others, min(fanout, len(others))
                    ):
                        self.exchange(name, other)

    def lose(self, name, digest, start):
        """Let a server crash with a request, and report it."""
        self.hosts[name].note_crash(digest, start, self.now)
        self.gossip(SPREAD, [name])

    def ask(self, name, crashes):
        """Let a caller send the deadly request; note the time if sent."""
        if self.hosts[name].withholds(DEADLY, self.now):
            return
        self.sent_at.append(self.now)
        self.lose(name, DEADLY, f's{len(self.sent_at)}/{crashes}')

    def play(self, seconds, pause_s=0.2):
        """Send the deadly request at random hosts for a time."""
        end = self.now + seconds
        asked = gossiped = self.now
        while self.now < end:
            if self.now >= asked:
                asked += pause_s
                self.ask(self.rng.choice(self.names), 0)
            if self.now >= gossiped:
                gossiped += GOSSIP_S
                self.gossip()
            self.now += ROUND_S


@pytest.mark.parametrize('groups', [1, 2])
@pytest.mark.parametrize('count', [1, 2, 7, 29, 77])
def test_a_request_that_crashed_three_servers_is_sent_no_more(count, groups):
    if groups > count:
        return
    deployment = _Deployment(count, groups=groups)
    deployment.play(DAY_S)
    third_at = deployment.sent_at[2]
    late = [t for t in deployment.sent_at if t > third_at + CONTACT_S]
    assert len(late) <= MORE_SENDS
    assert len(deployment.sent_at) <= 5 * groups


def test_a_request_that_an_answer_cleared_is_sent_on_all_hosts():
    deployment = _Deployment(7)
    for start in ('s1/0', 's2/0'):
        deployment.lose('h0', 'innocent', start)
    assert all(
        host.withholds('innocent', deployment.now)
        for host in deployment.hosts.values()
    )
    deployment.now += _quarantine.TRIAL_AFTER_S
    trying = [
        name
        for name, host in deployment.hosts.items()
        if not host.withholds('innocent', deployment.now)
    ]
    assert len(trying) == 1
    deployment.hosts[trying[0]].note_answer('innocent', deployment.now)
    for _ in range(4):
        deployment.gossip()
    assert not any(
        host.withholds('innocent', deployment.now)
        for host in deployment.hosts.values()
    )


def test_a_request_that_is_answered_between_crashes_is_never_withheld():
    deployment = _Deployment(1)
    host = deployment.hosts['h0']
    for number in range(20):
        host.note_crash('popular', f's{number}/0', deployment.now)
        assert not host.withholds('popular', deployment.now)
        host.note_answer('popular', deployment.now)


def test_requests_lost_in_one_crash_are_not_withheld():
    deployment = _Deployment(1)
    host = deployment.hosts['h0']
    for number in range(50):
        host.note_crash(f'r{number}', 's1/0', deployment.now)
    assert not any(host.withholds(f'r{n}', 0.0) for n in range(50))
    assert host.withheld_count == 0


def test_two_reports_of_one_crash_count_once():
    deployment = _Deployment(2)
    for name in ('h0', 'h1'):
        deployment.hosts[name].note_crash('r', 's1/0', 0.0)
    deployment.gossip()
    assert deployment.hosts['h0'].crashes('r') == 1


def test_only_one_trial_is_made_at_a_time():
    deployment = _Deployment(7)
    for start in ('s1/0', 's2/0'):
        deployment.lose('h0', DEADLY, start)
    deployment.now += _quarantine.TRIAL_AFTER_S
    sent = [
        not host.withholds(DEADLY, deployment.now)
        for host in list(deployment.hosts.values()) * 3
    ]
    assert sum(sent) == 1


def test_withheld_requests_outlast_suspected_ones_in_full_memory():
    host = request.Quarantine('h0')
    for start in ('s1/0', 's2/0'):
        host.note_crash(DEADLY, start, 0.0)
    for number in range(_quarantine.MAX_RECORDS + 10):
        host.note_crash(f'r{number}', 's1/0', 1.0)
    assert host.withholds(DEADLY, 2.0)
    assert host.crashes('r0') == 0


def test_all_withheld_requests_reach_another_host_in_some_messages():
    deployment = _Deployment(2)
    first, second = deployment.hosts.values()
    for number in range(30):
        for start in ('s1/0', 's2/0'):
            first.note_crash(f'r{number}', start, 0.0)
    for _ in range(40):
        deployment.gossip()
    assert second.withheld_count == 30


def test_a_request_is_forgotten_after_a_long_time():
    host = request.Quarantine('h0')
    for start in ('s1/0', 's2/0', 's3/0'):
        host.note_crash(DEADLY, start, 0.0)
    assert host.withholds(DEADLY, _quarantine.FORGET_AFTER_S - 1.0)
    assert not host.withholds(DEADLY, _quarantine.FORGET_AFTER_S + 1.0)
    assert host.empty


_records = strategies.builds(
    request.CrashRecord,
    strategies.integers(0, 3),
    strategies.frozensets(strategies.sampled_from('abcd'), max_size=4),
)


@hypothesis.given(strategies.lists(_records, max_size=6), strategies.data())
def test_hosts_agree_in_whatever_order_records_arrive(records, data):
    orders = [records, data.draw(strategies.permutations(records * 2))]
    found = []
    for order in orders:
        host = request.Quarantine('h0')
        for record in order:
            host.merge('r', record, 0.0)
        found.append(host.crashes('r'))
    assert found[0] == found[1]

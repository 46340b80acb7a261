"""Membership under losses, delays, repeats, pauses, kills and cuts."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ebonypick import process
from ebonypick.process import _membership

CENTRES = {
    'c1': ('a1', 'a2', 'a3'),
    'c2': ('b1', 'b2'),
    'c3': ('d1',),
}
HOSTS = {name: centre for centre, names in CENTRES.items() for name in names}


class Net:
    """Memberships that exchange messages, with faults from a schedule."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.members = {}
        self.paused = set()
        self.groups = None
        self.loss = 0.0
        self.delayed = []
        self.clock = dict.fromkeys(HOSTS, 1000)
        for name in HOSTS:
            self.start(name)

    def start(self, name):
        self.clock[name] += 1
        member = process.Membership(
            name, HOSTS[name], self.clock[name], random.Random(name)
        )
        member.configure(CENTRES)
        self.members[name] = member

    def reachable(self, one, other):
        if self.groups is None:
            return True
        return self.groups[one] == self.groups[other]

    def exchange(self, one, other):
        if other not in self.members or other in self.paused:
            return
        if not self.reachable(one, other) or self.rng.random() < self.loss:
            return
        self.deliver(one, other)
        self.deliver(other, one)

    def deliver(self, one, other):
        message = self.members[one].message(HOSTS[other], 1, None, self.now)
        if self.rng.random() < self.loss:
            # Late and repeated: it comes again with another exchange.
            self.delayed.append((other, message))
        self.members[other].receive(message, self.now)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += _membership.TICK_S
            for name in sorted(self.members):
                if name in self.paused:
                    continue
                for peer in self.members[name].tick(self.now):
                    self.exchange(name, peer)
            for name, message in self.delayed[:3]:
                if name in self.members:
                    self.members[name].receive(message, self.now)
            del self.delayed[:3]

    def live(self, name):
        view = self.members[name].view(self.now)
        return {host for names in view.alive.values() for host in names}


@given(
    st.integers(0, 10_000),
    st.lists(
        st.tuples(
            st.sampled_from(['kill', 'start', 'pause', 'wake', 'cut', 'heal']),
            st.sampled_from(sorted(HOSTS)),
        ),
        max_size=8,
    ),
    st.sampled_from([0.0, 0.1, 0.3]),
)
def test_views_agree_with_the_truth_after_faults(seed, steps, loss):
    """Whatever happened, a few calm seconds give everyone the truth."""
    net = Net(seed)
    net.loss = loss
    net.run(3)
    for step, name in steps:
        if step == 'kill':
            net.members.pop(name, None)
            net.paused.discard(name)
        elif step == 'start' and name not in net.members:
            net.start(name)
        elif step == 'pause' and name in net.members:
            net.paused.add(name)
        elif step == 'wake':
            net.paused.discard(name)
        elif step == 'cut':
            net.groups = {h: net.rng.random() < 0.5 for h in HOSTS}
        elif step == 'heal':
            net.groups = None
        net.run(1.0)
    net.groups = None
    net.paused.clear()
    net.loss = 0.0
    net.run(10)
    for name in net.members:
        assert net.live(name) == set(net.members)


def test_a_killed_host_is_gone_within_seconds():
    """Nobody routes to a dead host for longer than the suspicion takes."""
    net = Net(1)
    net.run(5)
    del net.members['a2']
    net.run(_membership.SUSPECT_S + _membership.CENTRE_SUSPECT_S)
    for name in net.members:
        assert 'a2' not in net.live(name)


def test_a_host_that_failed_a_request_is_left_out_at_once():
    """The data path tells sooner than silence does."""
    net = Net(1)
    net.run(5)
    net.members['a1'].fail('b1', net.now)
    assert 'b1' not in net.live('a1')
    net.run(_membership.FAILED_HOST_S + 2)
    assert 'b1' in net.live('a1')


def test_leaving_reaches_everyone():
    """A planned stop shows everywhere, and the host stays reachable."""
    net = Net(2)
    net.run(5)
    net.members['b1'].leaving = True
    net.run(5)
    for name in net.members:
        assert 'b1' not in net.live(name)
        assert 'b1' in net.members[name].view(net.now).leaving


@pytest.mark.parametrize('name', sorted(HOSTS))
def test_one_message_tells_every_host_that_its_sender_leaves(name):
    """Between two ticks, also to other data centres and by any host."""
    net = Net(2)
    net.run(5)
    net.members[name].leave()
    for other in HOSTS:
        if other != name:
            net.exchange(name, other)
    for other in HOSTS:
        assert name not in net.live(other)
    net.run(1)
    for other in HOSTS:
        assert name not in net.live(other)


def test_a_host_that_left_and_started_again_is_soon_used():
    net = Net(2)
    net.run(5)
    net.members['b1'].leave()
    for other in HOSTS:
        if other != 'b1':
            net.exchange('b1', other)
    net.start('b1')
    net.run(_membership.LEAVING_HOST_S + 2)
    for other in HOSTS:
        assert 'b1' in net.live(other)


def test_a_host_whose_clock_went_back_is_heard_again():
    """A start with an older incarnation outgrows its old records."""
    net = Net(3)
    net.run(5)
    net.clock['a3'] = 10
    net.start('a3')
    net.run(10)
    for name in net.members:
        assert 'a3' in net.live(name)


def test_halves_of_a_partition_both_go_on():
    """Each side sees itself and not the other."""
    net = Net(4)
    net.run(5)
    net.groups = {name: centre == 'c1' for name, centre in HOSTS.items()}
    net.run(8)
    assert net.live('a1') == {'a1', 'a2', 'a3'}
    assert net.live('b1') == {'b1', 'b2', 'd1'}


def test_no_beat_is_taken_twice():
    """Repeated old records never make a dead host look alive."""
    net = Net(5)
    net.run(5)
    old = net.members['a2'].message('c1', 1, None, net.now)
    del net.members['a2']
    for _ in range(20):
        net.run(1)
        net.members['a1'].receive(old, net.now)
    assert 'a2' not in net.live('a1')


def test_a_large_data_centre_stays_whole_at_the_slow_pace():
    """A hundred hosts at the pace of the budget suspect nobody in calm."""
    names = tuple(f'h{n}' for n in range(100))
    members = {}
    for name in names:
        found = process.Membership(name, 'c', 1, random.Random(name))
        found.configure({'c': names})
        found.slowness = 4.0
        members[name] = found
    now = 0.0
    while now < 240:
        now += _membership.TICK_S * 4
        for name in names:
            for peer in members[name].tick(now):
                sent = members[name].message('c', 1, None, now)
                members[peer].receive(sent, now)
                sent = members[peer].message('c', 1, None, now)
                members[name].receive(sent, now)
    for name in names:
        assert len(members[name].view(now).alive['c']) == 100

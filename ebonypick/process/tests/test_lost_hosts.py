"""Tests how long a lost host is named, and that live ones are not left out."""

import pytest

from ebonypick.process import _gossip_pace
from ebonypick.process.tests import gossip_play

# The users' limit: no look-up names a host later than this and ``contact``
# after it was lost, at hosts that have run for ``contact``.
LOST_HOST_S = 3.0
# What a host may spend on control, in bytes sent and received.
BYTES_PER_S = 5_000
SETTLED_S = 10.0
# Numbers of hosts in each data centre of the users' deployments, and the
# shortest ``contact`` of these.
SITES = {
    7: ((2, 1, 1, 1, 1, 1), 3.0),
    16: ((3, 3, 3, 3, 2, 2), 3.0),
    35: ((6, 6, 6, 6, 6, 5), 4.0),
    77: ((9, 9, 9, 9, 9, 8, 8, 8, 8), 5.0),
}
LOST = 'front-c0-1'
ALONE = 'front-c1-1'

of_all_sizes = pytest.mark.parametrize('site', SITES.values(), ids=SITES)


@pytest.mark.parametrize('name', (LOST, ALONE))
@pytest.mark.parametrize('limits', (0, _gossip_pace.MAX_LIMITS))
@of_all_sizes
def test_no_look_up_names_a_host_that_is_lost(site, limits, name):
    with gossip_play.Play(*site) as play:
        limit_s = play.contact_s + LOST_HOST_S
        play.limits = limits
        play.run(SETTLED_S)
        play.lose(name)
        play.run(2 * limit_s)
        assert play.named_for_s(name) <= limit_s


@of_all_sizes
def test_a_lost_host_does_not_return_while_hosts_tell_of_crashes(site):
    with gossip_play.Play(*site) as play:
        limit_s = play.contact_s + LOST_HOST_S
        play.run(SETTLED_S)
        play.lose(LOST)
        play.run(limit_s)
        play.limits = _gossip_pace.MAX_LIMITS
        play.crashes = _gossip_pace.MAX_CRASHES
        for _ in range(10):
            for host in play.hosts.values():
                host.gossip.spread()
            play.run(0.5)
        play.run(limit_s)
        assert play.named_for_s(LOST) <= limit_s


@pytest.mark.parametrize('after_s', (0.5, 2.0, 4.0, 8.0))
@of_all_sizes
def test_a_restarted_neighbour_does_not_name_a_lost_host(site, after_s):
    with gossip_play.Play(*site) as play:
        limit_s = play.contact_s + LOST_HOST_S
        play.run(SETTLED_S)
        play.lose(LOST)
        play.run(after_s)
        neighbours = ('front-c0-2', 'front-c2-1')
        for name in neighbours:
            play.lose(name)
        play.run(0.5)
        for name in neighbours:
            play.start(name)
        play.run(play.contact_s)
        play.named_at.clear()
        play.run(limit_s)
        named = {
            observer: at - play.lost_at[LOST]
            for (observer, name), at in play.named_at.items()
            if name == LOST
        }
        assert max(named.values(), default=0.0) <= limit_s


@of_all_sizes
def test_no_live_host_is_left_out_in_calm(site):
    with gossip_play.Play(*site) as play:
        play.limits = _gossip_pace.MAX_LIMITS
        play.crashes = _gossip_pace.MAX_CRASHES
        play.run(30.0)
        assert play.left_out == []


@of_all_sizes
def test_no_other_host_is_left_out_when_one_restarts(site):
    with gossip_play.Play(*site) as play:
        for name in (LOST, ALONE, 'front-c2-1'):
            play.run(SETTLED_S)
            play.left_out.clear()
            play.lose(name)
            play.run(0.2)
            play.start(name)
            play.run(play.contact_s)
            assert [row for row in play.left_out if row[2] != name] == []


@of_all_sizes
def test_no_live_host_is_left_out_on_lossy_links(site):
    with gossip_play.Play(*site, seed=2) as play:
        play.run(SETTLED_S)
        play.loss = 0.05
        play.run(30.0)
        assert play.left_out == []


@of_all_sizes
def test_no_slow_host_is_left_out(site):
    with gossip_play.Play(*site) as play:
        play.run(SETTLED_S)
        play.delay_s[LOST] = 0.1
        play.run(30.0)
        assert play.left_out == []


@of_all_sizes
def test_a_host_that_was_frozen_names_all_others_when_it_wakes(site):
    with gossip_play.Play(*site) as play:
        play.run(SETTLED_S)
        play.freeze(LOST, 8.0)
        play.run(8.0)
        play.left_out.clear()
        play.run(8.0)
        assert [row for row in play.left_out if row[2] != LOST] == []


@of_all_sizes
def test_messages_keep_the_budget_of_bytes(site):
    with gossip_play.Play(*site) as play:
        play.limits = _gossip_pace.MAX_LIMITS
        play.crashes = _gossip_pace.MAX_CRASHES
        play.run(SETTLED_S)
        assert max(play.bytes_per_s(30.0).values()) <= BYTES_PER_S

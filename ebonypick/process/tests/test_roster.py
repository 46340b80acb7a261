"""The choice of the hosts that read the store for their region."""

import types

import pytest

from ebonypick.process import _membership
from ebonypick.process import _peer_directory
from ebonypick.process import _roster


def _hosts(*counts):
    return {
        f'c{number}': tuple(f'c{number}-{n}' for n in range(count))
        for number, count in enumerate(counts)
    }


@pytest.mark.parametrize('counts', [(1,), (2,), (3,), (2, 1), (1, 1, 1)])
def test_every_host_of_a_small_region_reads_the_store(counts):
    """Load: all other hosts fail when the store changes."""
    hosts = _hosts(*counts)
    every = {name for names in hosts.values() for name in names}
    assert set(_roster.store_readers('r', hosts)) == every


@pytest.mark.parametrize('region', ['r', 's', 't', 'u'])
@pytest.mark.parametrize('counts', [(3, 2), (5, 4), (100, 100, 67)])
def test_losing_a_data_centre_leaves_a_reader(region, counts):
    hosts = _hosts(*counts)
    readers = set(_roster.store_readers(region, hosts))
    assert len(readers) == 2
    assert all(readers - set(names) for names in hosts.values())


def test_a_region_of_one_data_centre_has_two_readers():
    assert len(_roster.store_readers('r', _hosts(9))) == 2


def test_a_region_without_hosts_has_no_reader():
    assert _roster.store_readers('r', {}) == ()


def _roster_of(cut_off, hosts, host='c0-0'):
    regions = {'c0': 'r', 'c1': 'r', 'c2': 's'}
    view = _membership.View(hosts, frozenset(), frozenset(cut_off))
    rows = {
        name: _peer_directory.HostRow(f'{name}:1', '', centre, 0)
        for centre, names in hosts.items()
        for name in names
    }
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            host=host,
            region='r',
            data_centres=regions,
            terms=types.SimpleNamespace(contact='3s'),
        ),
        board=types.SimpleNamespace(view=view),
        connections=types.SimpleNamespace(rows=rows, centres=lambda: hosts),
    )
    return _roster.Roster(node)


def test_look_ups_leave_out_hosts_that_are_cut_off_from_servers():
    hosts = _hosts(2, 1, 1)
    assert _roster_of({'c0-0'}, hosts).serving() == {
        'c0': ('c0-1',),
        'c1': ('c1-0',),
        'c2': ('c2-0',),
    }
    assert _roster_of({*hosts['c0'], *hosts['c1']}, hosts).serving() == {
        'c2': ('c2-0',)
    }


def test_look_ups_name_all_hosts_if_all_are_cut_off_from_servers():
    hosts = _hosts(2, 1, 1)
    every = {name for names in hosts.values() for name in names}
    assert _roster_of(every, hosts).serving() == hosts


def test_no_host_without_servers_is_asked_to_take_requests():
    hosts = _hosts(2, 1, 1)
    every = {name for names in hosts.values() for name in names}
    assert _roster_of(every, hosts).relaying() == {}
    assert _roster_of(every - {'c2-0'}, hosts).relaying() == {'c2': ('c2-0',)}


@pytest.mark.parametrize('host', ['c0-0', 'c1-0'])
def test_a_reader_asks_nobody_where_all_hosts_are_readers(host):
    assert _roster_of((), _hosts(2, 1, 9), host).reader_candidates() == ()


def test_a_reader_may_ask_all_hosts_of_its_region_the_other_reader_first():
    hosts = _hosts(6, 5, 2)
    region = {centre: hosts[centre] for centre in ('c0', 'c1')}
    every = {name for names in region.values() for name in names}
    readers = _roster.store_readers('r', region)
    first, second = (
        _roster_of((), hosts, host).reader_candidates() for host in readers
    )
    assert (second[0], first[0]) == readers
    assert set(first) == every - {readers[0]}
    assert set(second) == every - {readers[1]}
    assert first[1] != second[1]

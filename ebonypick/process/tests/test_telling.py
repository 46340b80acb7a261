"""Trees by which changed rows reach the hosts of a region."""

import asyncio
import collections
import types

import msgspec
import pytest

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick.process import _tables
from ebonypick.process import _telling
from ebonypick import request

TABLE = 'things'
# The hosts of a region at the size of docs/CAPACITY.md.
REGION = tuple(f'host-{number}' for number in range(267))
READERS = REGION[:2]


def _rows():
    """Return a table of one row."""
    revision = platform.Revision(0, 7)
    return _row_messages.PeerRows(
        TABLE, platform.NOTHING_KNOWN, revision, (('k', revision, ''),)
    )


class _Region:
    """Hosts that reach each other without a network.

    Parameters
    ==========
    names : tuple of str
        The hosts.
    lost : set of str
        Hosts that cannot be reached.
    views : dict of str to tuple of str
        Who a host sees living, where that is not all.
    """

    def __init__(self, names, lost=(), views=()):
        self.lost = set(lost)
        self.heard = collections.Counter()
        self.told = collections.Counter()
        self.tasks = []
        self.leaving = collections.defaultdict(list)
        self.broadcasters = {
            name: self._broadcaster(name, names, dict(views).get(name, names))
            for name in names
        }

    def _broadcaster(self, name, names, view):
        follower = _tables.TableFollower(
            platform.TableStore('127.0.0.1', 1),
            TABLE,
            lambda rows: self.heard.update([name]),
            lambda: (),
        )
        pools = {n: self._pool(name, n) for n in names}
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(host=name),
            store_view=types.SimpleNamespace(
                receive_leaving=lambda *word: self.leaving[name].append(word)
            ),
            roster=types.SimpleNamespace(of_region=lambda: list(view)),
            ends=types.SimpleNamespace(peer=pools.get, rows={}),
            tasks=types.SimpleNamespace(
                start=lambda coro: self.tasks.append(
                    asyncio.ensure_future(coro)
                )
            ),
        )
        return _telling.Broadcaster(node, {TABLE: follower})

    def _pool(self, source, name):
        async def call_json(method, path, data, timeout_s):
            self.told[source] += 1
            if name in self.lost:
                raise connection.ConnectFailedError('lost')
            if path == '/peer/v1/leaving':
                self.broadcasters[name].receive_leaving(data)
            else:
                self.broadcasters[name].receive(data, '')
            return 204, b''

        return types.SimpleNamespace(call_json=call_json)

    async def _broadcast(self, readers):
        rows = _rows()
        for reader in readers:
            follower = self.broadcasters[reader]._followers[TABLE]
            follower.take_told(rows)
            await self.broadcasters[reader].broadcast(TABLE)
        while self.tasks:
            await self.tasks.pop()

    def broadcast(self, *readers):
        """Let readers learn of a change; return who does not hear of it."""
        asyncio.run(self._broadcast(readers))
        return set(self.broadcasters) - self.lost - set(self.heard)


@pytest.mark.parametrize('count', [1, 2, 9, 10, 74, 267])
def test_every_host_hears_once_and_none_tells_more_than_the_fanout(count):
    region = _Region(REGION[:count])
    assert region.broadcast(REGION[0]) == set()
    assert set(region.heard.values()) == {1}
    assert max(region.told.values(), default=0) <= _telling.FANOUT
    assert sum(region.told.values()) == count - 1


def test_a_small_region_hears_from_the_reader_itself():
    region = _Region(REGION[: _telling.FANOUT + 1])
    assert region.broadcast(REGION[0]) == set()
    assert set(region.told) == {REGION[0]}


def test_hosts_that_are_lost_cut_off_nobody():
    """Also the first ones, above most others."""
    first = request.rendezvous(READERS[0], REGION[1:], _telling.FANOUT)
    region = _Region(REGION, lost=set(first) - set(READERS))
    assert region.broadcast(READERS[0]) == set()


def test_views_that_differ_below_the_root_cut_off_nobody():
    """Half of the hosts see nobody but themselves."""
    views = {name: (name,) for name in REGION[2::2]}
    region = _Region(REGION, views=views)
    assert region.broadcast(READERS[0]) == set()


def test_two_trees_reach_who_one_reader_does_not_see():
    views = {READERS[0]: REGION[:200], READERS[1]: REGION[100:] + REGION[:2]}
    region = _Region(REGION, views=views)
    assert region.broadcast(*READERS) == set()


def test_the_same_change_is_passed_on_once_in_each_tree():
    region = _Region(REGION)
    region.broadcast(*READERS)
    assert max(region.told.values()) <= 2 * _telling.FANOUT
    assert sum(region.told.values()) == 2 * (len(REGION) - 1)


def test_a_message_without_names_is_taken_and_passed_on_to_nobody():
    region = _Region(REGION[:3])
    rows = _rows()
    data = msgspec.json.encode(_telling.Told('host-0', rows))

    async def receive():
        region.broadcasters['host-1'].receive(data, '')
        while region.tasks:
            await region.tasks.pop()

    asyncio.run(receive())
    assert set(region.heard) == {'host-1'}
    assert not region.told


@pytest.mark.parametrize('count', [2, 10, 267])
def test_every_host_hears_once_that_a_server_leaves(count):
    region = _Region(REGION[:count], lost=REGION[5:6])

    async def broadcast():
        await region.broadcasters[REGION[0]].broadcast_leaving('i-1', 5)
        while region.tasks:
            await region.tasks.pop()

    asyncio.run(broadcast())
    others = set(REGION[1:count]) - region.lost
    assert set(region.leaving) == others
    word = [('i-1', 5, REGION[0])]
    assert all(region.leaving[name] == word for name in others)
    assert max(region.told.values()) <= 2 * _telling.FANOUT

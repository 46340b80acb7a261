"""Broadcast trees over the hosts of a region."""

import asyncio
import base64
import collections
import random
import types
import zlib

import msgspec
import pytest

from ebonypick import connection
from ebonypick import platform
from ebonypick.process import _metrics
from ebonypick.process import _row_broadcast
from ebonypick.process import _row_messages
from ebonypick.process import _table_follower
from ebonypick import request

TABLE = 'things'
# The hosts of a region at the size of docs/CAPACITY.md.
REGION = tuple(f'host-{number}' for number in range(267))
READERS = REGION[:2]


def _rows():
    """Return a table of one row."""
    revision = platform.Revision(0, 7)
    return _row_messages.PeerRows(
        TABLE, platform.NO_REVISION, revision, (('k', revision, ''),)
    )


def _large_version():
    """Return the row of a version with 1,400 routes."""
    rng = random.Random(1)
    paths = [
        {
            'name': f'r-{rng.randbytes(4).hex()}',
            'prefix': f'/{rng.randbytes(4).hex()}/',
            'kind': 'safe',
            'timeout': '2000ms',
            'objective': '685ms',
            'priority': 2,
            'service': 'registry',
            'attempts': 2,
            'sticky': True,
            'regions': [],
        }
        for _ in range(1_400)
    ]
    value = base64.b64encode(msgspec.json.encode(paths)).decode()
    revision = platform.Revision(0, 7)
    return _row_messages.PeerRows(
        TABLE, platform.NO_REVISION, revision, (('config', revision, value),)
    )


def _expanded(data, headers):
    if ('content-encoding', 'deflate') in headers:
        return zlib.decompress(data)
    return data


class _Region:
    """Hosts that exchange messages without a network.

    Parameters
    ==========
    names : tuple of str
        The hosts.
    unreachable : set of str
        Hosts that cannot be reached.
    views : dict of str to tuple of str
        The hosts that a host considers alive, where these are not all.
    """

    def __init__(self, names, unreachable=(), views=(), deflates=True):
        self._deflates = deflates
        self.unreachable = set(unreachable)
        self.received = collections.Counter()
        self.sent = collections.Counter()
        self.received_bytes = collections.Counter()
        self.tasks = []
        self.leaving = collections.defaultdict(list)
        self.broadcasters = {
            name: self._broadcaster(name, names, dict(views).get(name, names))
            for name in names
        }

    def _broadcaster(self, name, names, view):
        follower = _table_follower.TableFollower(
            platform.TableStore('127.0.0.1', 1),
            TABLE,
            lambda rows: self.received.update([name]),
            lambda: (),
        )
        pools = {n: self._pool(name, n) for n in names}
        rows = {
            n: types.SimpleNamespace(peers='', deflates=self._deflates)
            for n in names
        }
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(host=name),
            metrics=_metrics.Metrics(),
            store_view=types.SimpleNamespace(
                receive_leaving=lambda *call: self.leaving[name].append(call)
            ),
            roster=types.SimpleNamespace(of_region=lambda: list(view)),
            connections=types.SimpleNamespace(peer=pools.get, rows=rows),
            tasks=types.SimpleNamespace(
                start=lambda coro: self.tasks.append(
                    asyncio.ensure_future(coro)
                )
            ),
        )
        return _row_broadcast.Broadcaster(node, {TABLE: follower})

    def _pool(self, source, name):
        async def call_json(method, path, data, timeout_s, headers=()):
            self.sent[source] += 1
            self.received_bytes[name] += len(data)
            data = _expanded(data, headers)
            if name in self.unreachable:
                raise connection.ConnectFailedError('lost')
            if path == '/peer/v1/leaving':
                self.broadcasters[name].receive_leaving(data)
            else:
                self.broadcasters[name].receive(data, '')
            return 204, b''

        return types.SimpleNamespace(call_json=call_json)

    async def _broadcast(self, readers, rows):
        for reader in readers:
            follower = self.broadcasters[reader]._followers[TABLE]
            follower.apply_peer_rows(rows)
            await self.broadcasters[reader].broadcast(TABLE)
        while self.tasks:
            await self.tasks.pop()

    def broadcast(self, *readers, rows=None):
        """Broadcast a change from readers; return the hosts it misses."""
        asyncio.run(self._broadcast(readers, rows or _rows()))
        return set(self.broadcasters) - self.unreachable - set(self.received)


@pytest.mark.parametrize('count', [1, 2, 9, 10, 74, 267])
def test_every_host_receives_a_change_once_within_the_fanout(count):
    region = _Region(REGION[:count])
    assert region.broadcast(REGION[0]) == set()
    assert set(region.received.values()) == {1}
    assert max(region.sent.values(), default=0) <= _row_broadcast.FANOUT
    assert sum(region.sent.values()) == count - 1


def test_a_small_region_receives_changes_from_the_reader_directly():
    region = _Region(REGION[: _row_broadcast.FANOUT + 1])
    assert region.broadcast(REGION[0]) == set()
    assert set(region.sent) == {REGION[0]}


def test_unreachable_hosts_cut_off_no_other_host():
    """The unreachable hosts are the roots of the largest subtrees."""
    first = request.rendezvous(READERS[0], REGION[1:], _row_broadcast.FANOUT)
    region = _Region(REGION, unreachable=set(first) - set(READERS))
    assert region.broadcast(READERS[0]) == set()


def test_differing_views_below_the_root_cut_off_no_host():
    """Half of the hosts consider only themselves alive."""
    views = {name: (name,) for name in REGION[2::2]}
    region = _Region(REGION, views=views)
    assert region.broadcast(READERS[0]) == set()


def test_two_trees_reach_hosts_missing_from_one_readers_view():
    views = {READERS[0]: REGION[:200], READERS[1]: REGION[100:] + REGION[:2]}
    region = _Region(REGION, views=views)
    assert region.broadcast(*READERS) == set()


def test_a_change_is_forwarded_once_in_each_tree():
    region = _Region(REGION)
    region.broadcast(*READERS)
    assert max(region.sent.values()) <= 2 * _row_broadcast.FANOUT
    assert sum(region.sent.values()) == 2 * (len(REGION) - 1)


def test_a_message_without_names_is_applied_but_not_forwarded():
    region = _Region(REGION[:3])
    rows = _rows()
    data = msgspec.json.encode(_row_broadcast.Told('host-0', rows))

    async def receive():
        region.broadcasters['host-1'].receive(data, '')
        while region.tasks:
            await region.tasks.pop()

    asyncio.run(receive())
    assert set(region.received) == {'host-1'}
    assert not region.sent


@pytest.mark.parametrize('count', [2, 10, 267])
def test_every_host_is_notified_once_of_a_servers_shutdown(count):
    region = _Region(REGION[:count], unreachable=REGION[5:6])

    async def broadcast():
        await region.broadcasters[REGION[0]].broadcast_leaving('i-1', 5)
        while region.tasks:
            await region.tasks.pop()

    asyncio.run(broadcast())
    others = set(REGION[1:count]) - region.unreachable
    assert set(region.leaving) == others
    expected = [('i-1', 5, REGION[0])]
    assert all(region.leaving[name] == expected for name in others)
    assert max(region.sent.values()) <= 2 * _row_broadcast.FANOUT


def test_a_large_version_takes_little_of_a_narrow_link():
    """Guards against versions that fill the links that callers share."""
    region = _Region(REGION[:9])
    assert region.broadcast(*READERS, rows=_large_version()) == set()
    # A tenth of a second of a link of 5 Mbit/s.
    assert max(region.received_bytes.values()) <= 62_500


def test_a_host_of_an_earlier_release_gets_rows_that_it_can_read():
    region = _Region(REGION[:9], deflates=False)
    assert region.broadcast(*READERS, rows=_large_version()) == set()

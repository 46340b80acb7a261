"""Hosts that read the store in place of others, on both sides."""

import asyncio
import types

import msgspec
import pytest

from ebonypick import connection
from ebonypick.process import _steering_control
from ebonypick.process import _store_contact
from ebonypick.process import _substitutes

PROBED = _substitutes.PROBED_TABLE


class _Follower:
    """A follower of a table at a store that answers or not."""

    revision = 7

    def __init__(self, answers):
        self.answers = answers
        self.unavailable = False
        self.probes = 0
        self.unavailable_s = None

    async def probe(self):
        """Return whether the store answers, after a while."""
        self.probes += 1
        await asyncio.sleep(0.01)
        return self.answers

    def assume_unavailable(self, seconds):
        """Record for how long."""
        self.unavailable_s = seconds


class _Broadcaster:
    """Records the broadcasts."""

    def __init__(self):
        self.broadcasts = []
        self.skipped_to = {}

    def skip_to(self, table, revision):
        """Record the revision."""
        self.skipped_to[table] = revision

    async def broadcast(self, table):
        """Record the broadcast."""
        self.broadcasts.append(table)


class _Scene:
    """A host that another one asks to read a table.

    Parameters
    ==========
    answers : bool
        Whether the store answers the host.
    reader : bool
        Whether the host is a reader of its region.
    """

    def __init__(self, answers=True, reader=False):
        self.follower = _Follower(answers)
        self.other = _Follower(answers)
        self.broadcaster = _Broadcaster()
        self.tasks = []
        node = types.SimpleNamespace(
            roster=types.SimpleNamespace(reads_store=lambda: reader),
            tasks=types.SimpleNamespace(
                start=lambda coro: self.tasks.append(
                    asyncio.ensure_future(coro)
                )
            ),
        )
        self.substitutes = _substitutes.Substitutes(
            node,
            _store_contact.StoreContact(),
            {PROBED: self.follower, 'servers': self.other},
            self.broadcaster,
        )

    async def ask(self):
        """Return whether the host reads the store."""
        req = _substitutes.ReadRequest(5.0)
        reads = await self.substitutes.read_for(
            msgspec.json.encode(req), '127.0.0.1'
        )
        await asyncio.gather(*self.tasks)
        return reads


def _run(play, **more):
    async def run():
        scene = _Scene(**more)
        return scene, await play(scene)

    return asyncio.run(run())


def test_a_host_that_is_served_reads_and_broadcasts_what_it_found():
    scene, reads = _run(lambda scene: scene.ask())
    assert reads
    assert scene.substitutes.active
    assert scene.broadcaster.skipped_to == {PROBED: 7, 'servers': 7}
    assert scene.broadcaster.broadcasts == [PROBED]
    assert (scene.follower.probes, scene.other.probes) == (1, 0)
    assert scene.other.unavailable_s == 5.0


def test_a_substitute_is_served_until_a_call_of_its_own_fails():
    """Guards against a lease that ends before the first long poll does."""

    async def play(scene):
        return [await scene.ask() for _ in range(3)]

    scene, reads = _run(play)
    assert reads == [True] * 3
    assert scene.follower.unavailable_s is None
    assert scene.follower.probes == 1


def test_a_host_that_is_refused_makes_one_call_and_does_not_read():
    """Guards against an outage that makes more and more hosts call."""
    scene, reads = _run(lambda scene: scene.ask(), answers=False)
    assert not reads
    assert not scene.substitutes.active
    assert scene.broadcaster.broadcasts == []
    assert (scene.follower.probes, scene.other.probes) == (1, 0)


def test_two_readers_that_ask_together_cause_one_call():
    async def play(scene):
        return await asyncio.gather(scene.ask(), scene.ask())

    scene, reads = _run(play)
    assert reads == [True, True]
    assert scene.follower.probes == 1


def test_a_substitute_that_is_turned_away_ends_its_lease():
    async def play(scene):
        before = await scene.ask()
        scene.follower.unavailable = True
        return before, await scene.ask(), scene.substitutes.active

    _, answers = _run(play)
    assert answers == (True, False, False)


def test_a_lease_ends_without_further_requests(monkeypatch):
    now = [100.0]
    clock = types.SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(_substitutes, 'time', clock)
    scene, _ = _run(lambda scene: scene.ask())
    now[0] += _substitutes.LEASE_S - 0.1
    assert scene.substitutes.active
    now[0] += 0.2
    assert not scene.substitutes.active


@pytest.mark.parametrize('unavailable', [False, True])
def test_a_reader_answers_by_what_it_knows(unavailable):
    async def play(scene):
        scene.follower.unavailable = unavailable
        return await scene.ask()

    scene, reads = _run(play, reader=True)
    assert reads is not unavailable
    assert scene.follower.probes == 0


class _Peer:
    """The connections to a host that answers with a status, or does not."""

    def __init__(self, status):
        self._status = status
        self.asked = 0

    async def call_json(self, method, path, data, timeout_s):
        """Answer with the status."""
        self.asked += 1
        if self._status is None:
            raise connection.LostError('the connection was lost')
        return self._status, b''


def _asked(statuses, seconds, monkeypatch, reader=True):
    """Return how often a host without answers asks each of some others.

    Parameters
    ==========
    statuses : dict of str to int or None
        What they answer, by host.
    seconds : float
        How long the store does not answer the host.
    monkeypatch : pytest.MonkeyPatch
        Shortens the interval of checks.
    reader : bool
        Whether the host is a reader.
    """
    monkeypatch.setattr(_substitutes, 'CHECK_S', 0.01)
    peers = {name: _Peer(status) for name, status in statuses.items()}
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(host='own'),
        roster=types.SimpleNamespace(
            readers=lambda: ('own', 'other') if reader else ('other',),
            reader_candidates=lambda: tuple(statuses),
        ),
        connections=types.SimpleNamespace(peer=peers.get),
    )
    contact = _store_contact.StoreContact()
    substitutes = _substitutes.Substitutes(node, contact, {}, None)

    async def run():
        task = asyncio.create_task(substitutes.run())
        contact.record_failure(0.0, 0.0)
        await asyncio.sleep(0.01)
        assert not any(peer.asked for peer in peers.values())
        contact.record_failure(5.0, 5.0)
        await asyncio.sleep(seconds)
        task.cancel()

    asyncio.run(run())
    return {name: peer.asked for name, peer in peers.items()}


def test_hosts_of_an_earlier_release_and_lost_ones_are_passed_over(
    monkeypatch,
):
    statuses = {'earlier': 404, 'lost': None, 'served': 204, 'spare': 204}
    assert _asked(statuses, 0.1, monkeypatch) == {
        'earlier': 1,
        'lost': 1,
        'served': 1,
        'spare': 0,
    }


def test_a_host_that_is_no_reader_asks_nobody(monkeypatch):
    assert _asked({'a': 204}, 0.1, monkeypatch, reader=False) == {'a': 0}


@pytest.mark.parametrize(('answers', 'status'), [(True, 204), (False, 503)])
def test_the_answer_tells_whether_the_store_serves_the_host(answers, status):
    async def play(scene):
        found = []
        parts = [
            msgspec.json.encode(_substitutes.ReadRequest(5.0)),
            None,
        ]

        async def read(timeout_s):
            return parts.pop(0)

        async def respond(status, headers, body=b''):
            found.append(status)

        req = types.SimpleNamespace(
            method='POST',
            path=_substitutes.PATH,
            client='127.0.0.1',
            headers={},
            read=read,
            retain=lambda size: None,
            respond=respond,
        )
        node = types.SimpleNamespace(
            store_view=types.SimpleNamespace(substitutes=scene.substitutes)
        )
        await _steering_control.Control(node).serve_peer(req)
        return found

    assert _run(play, answers=answers)[1] == [status]

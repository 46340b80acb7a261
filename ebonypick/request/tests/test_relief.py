"""Tests the choice of the server that relieves a busy home server."""

import types

from ebonypick import request
from ebonypick.request import _relief
from ebonypick.request import _server_state

SLOTS = 3
KEY = 'k'


def _server(name, in_flight=0, has_cached=False):
    entry = request.ServerEntry(name, 's', ('127.0.0.1', 1), 'a1', SLOTS)
    server = _server_state.ServerState(entry, 'a')
    for number in range(in_flight):
        server.tickets[number] = types.SimpleNamespace(warm=False)
    if has_cached:
        server.health.note_handled(KEY, 0.0)
    return server


def _choose(home, *others, cold_in_time=True):
    return _relief.choose(home, list(others), KEY, cold_in_time, 1.0)


def test_a_home_with_a_free_slot_keeps_its_requests():
    home = _server('home', SLOTS - 1)
    assert _choose(home, _server('o', has_cached=True)) is None


def test_the_least_loaded_caching_server_relieves_a_busy_home():
    home = _server('home', SLOTS)
    others = [
        _server('new'),
        _server('half', 2, has_cached=True),
        _server('free', 1, has_cached=True),
    ]
    assert _choose(home, *others).entry.instance == 'free'


def test_a_server_with_similar_load_does_not_relieve_a_busy_home():
    """The known load of other hosts lags, so small differences are noise."""
    home = _server('home', SLOTS)
    assert _choose(home, _server('o', SLOTS - 1 + 1, has_cached=True)) is None


def test_an_idle_server_caches_an_object_before_its_home_is_full():
    home = _server('home', SLOTS + 2)
    busy, idle = _server('busy', SLOTS), _server('idle', 1)
    assert _choose(home, busy, idle) is idle
    assert _choose(_server('home', SLOTS), busy, idle) is None
    assert _choose(home, busy, idle, cold_in_time=False) is None


def test_only_the_next_servers_of_the_ranking_cache_an_object():
    home = _server('home', 2 * SLOTS)
    busy = [_server(f'b{n}', SLOTS) for n in range(_relief.MAX_SPREAD_SERVERS)]
    assert _choose(home, *busy, _server('idle')) is None

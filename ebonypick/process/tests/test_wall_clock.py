"""Tests of the time of day beside steps of the machine's clock."""

import time

from ebonypick.process import _wall_clock

HOUR_S = 3600


def test_a_clock_that_was_set_forward_is_not_followed(monkeypatch):
    clock = _wall_clock.WallClock()
    before_ms = clock.now_ms()
    wall_ns = time.time_ns
    monkeypatch.setattr(time, 'time_ns', lambda: wall_ns() + HOUR_S * 10**9)
    assert 0 <= clock.now_ms() - before_ms < HOUR_S * 1000


def test_a_clock_that_was_ahead_at_the_start_is_followed_back(monkeypatch):
    wall_ns = time.time_ns
    monkeypatch.setattr(time, 'time_ns', lambda: wall_ns() + HOUR_S * 10**9)
    clock = _wall_clock.WallClock()
    ahead_ms = clock.now_ms()
    monkeypatch.setattr(time, 'time_ns', wall_ns)
    assert clock.now_ms() < ahead_ms

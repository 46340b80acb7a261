"""Tests of a short seeded soak and of schedules that failed before."""

import os
import subprocess
import sys
import time

import pytest

from tests.soak import main
from tests.soak import schedule

SECONDS = 8.0
# Two arbitrary seeds; ``make soak-faults`` runs longer soaks.
SEEDS = (101, 102)

# Schedules that broke a guarantee, by the cause of the failure.
REGRESSIONS = {
    'a hang-up during the imports ended a process (drawn from seed 9)': (
        schedule.Step(3.14, 'answers spoilt', 2.7, 363814224),
        schedule.Step(3.17, 'settings read again', 3.26, 173548139),
        schedule.Step(5.34, 'hosts killed', 0.76, 13819176),
        schedule.Step(6.06, 'settings read again', 3.44, 907497995),
    ),
    'the scene\'s callers sent a reset request again (drawn from 2015)': (
        schedule.Step(1.11, 'store turns hosts away', 3.53, 280851185),
        schedule.Step(6.39, 'clocks step', 2.93, 902602728),
        schedule.Step(6.4, 'answers spoilt', 2.18, 247960379),
        schedule.Step(6.56, 'connections reset', 2.66, 927643389),
        schedule.Step(7.65, 'configurations change', 1.61, 612976647),
        schedule.Step(7.76, 'address used again', 2.29, 983431595),
    ),
}


@pytest.mark.parametrize('seed', SEEDS)
def test_a_drawn_schedule_keeps_all_promises(seed):
    result = main.play(seed, schedule.draw(seed, SECONDS), SECONDS)
    assert result.broken == {}
    assert result.sent > 100


@pytest.mark.parametrize('cause', REGRESSIONS)
def test_a_schedule_that_failed_before_keeps_all_promises(cause):
    result = main.play(9, REGRESSIONS[cause], 12.0)
    assert result.broken == {}


def test_a_schedule_is_the_same_for_the_same_seed():
    assert schedule.draw(5, 12.0) == schedule.draw(5, 12.0)
    assert schedule.draw(5, 12.0) != schedule.draw(6, 12.0)


def test_a_host_s_clock_follows_its_file(tmp_path):
    (tmp_path / 'tell.py').write_text('import time; print(time.time())\n')
    clock = tmp_path / 'clock'
    clock.write_text('-3600')
    found = subprocess.run(
        [sys.executable, '-m', 'tests.soak.clocked', str(clock), 'tell'],
        env={**os.environ, 'PYTHONPATH': str(tmp_path)},
        capture_output=True,
        check=True,
    )
    assert float(found.stdout) < time.time() - 3000

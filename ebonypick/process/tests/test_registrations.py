"""Outdated registrations of a backend server that arrive late."""

import dataclasses

from ebonypick.process import _registrations
from ebonypick import request

READY = request.ServerEntry(
    'i-1', 's', ('10.0.0.1', 80), 'a', 3, started_ms=10, sequence=4
)
LEAVING = dataclasses.replace(READY, draining=True, sequence=6)


def test_a_late_registration_does_not_bring_a_leaving_server_back():
    registrations = _registrations.Registrations()
    assert registrations.select({'i-1': LEAVING}) == {'i-1': LEAVING}
    late = dataclasses.replace(READY, sequence=5)
    assert registrations.select({'i-1': late}) == {'i-1': LEAVING}
    assert registrations.select({}) == {}
    assert registrations.select({'i-1': late}) == {'i-1': LEAVING}


def test_a_later_registration_and_a_new_start_replace_the_entry():
    registrations = _registrations.Registrations()
    registrations.select({'i-1': LEAVING})
    stays = dataclasses.replace(READY, sequence=7)
    assert registrations.select({'i-1': stays}) == {'i-1': stays}
    again = dataclasses.replace(READY, started_ms=20, sequence=1)
    assert registrations.select({'i-1': again}) == {'i-1': again}


def test_records_of_removed_servers_are_bounded():
    registrations = _registrations.Registrations()
    for number in range(3 * _registrations.MAX_REMOVED_INSTANCES):
        name = f'i-{number}'
        registrations.select({name: dataclasses.replace(READY, instance=name)})
    assert registrations.size <= _registrations.MAX_REMOVED_INSTANCES + 1

"""Tests the limits of servers in the messages between hosts."""

import random

import msgspec

from ebonypick.process import _gossip_messages
from ebonypick.process import _gossip_pace
from ebonypick import request

REGIONS = {'a1': 'a'}


def _fleet(name):
    fleet = request.Fleet(name, 'a1', REGIONS, random.Random(1))
    fleet.update(
        [
            request.ServerEntry(f's{n}', 's', ('', 0), 'a1', 3, started_ms=5)
            for n in range(40)
        ],
        0.0,
    )
    return fleet


def test_all_limits_reach_another_host_in_a_few_messages():
    first, second = _fleet('h1'), _fleet('h2')
    for number in range(40):
        first.receive_limit(f's{number}', request.ServerLimit(5, 1, 2.0))
    for _ in range(30):
        rows = first.limits_to_send(_gossip_pace.MAX_LIMITS)
        assert len(rows) == _gossip_pace.MAX_LIMITS
        for instance, limit in rows:
            second.receive_limit(instance, limit)
    assert second.limited_count == 40


def test_a_message_of_an_earlier_release_has_no_limits():
    message = _gossip_messages.Message('h', 'a1', 4, None, (), ())
    fields = msgspec.json.decode(msgspec.json.encode(message))
    found = msgspec.json.decode(
        msgspec.json.encode(fields[:-1]), type=_gossip_messages.Message
    )
    assert found == message


def test_an_earlier_release_reads_a_message_with_limits():
    record = _gossip_messages.LimitRecord('s1', 5, 2, 1.5)
    message = _gossip_messages.Message(
        'h', 'a1', 4, None, (), (), limits=(record,)
    )

    class EarlierMessage(msgspec.Struct, array_like=True):
        sender: str
        data_centre: str
        version: int

    found = msgspec.json.decode(
        msgspec.json.encode(message), type=EarlierMessage
    )
    assert found.version == 4

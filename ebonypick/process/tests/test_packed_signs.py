"""Tests of packed signs of life, and of messages of earlier releases."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from ebonypick import json_text
from ebonypick import process
from ebonypick.process import _gossip_messages
from ebonypick.process import _packed_signs

CENTRES = {'c1': ('a1', 'a2', 'a3'), 'c2': ('b1', 'b2')}
INDEX = _packed_signs.make_index(CENTRES)
OWN_INCARNATION = 1_781_173_562_000

_numbers = st.integers(0, json_text.MAX_WHOLE)
_hosts = st.builds(
    _gossip_messages.HostRecord,
    st.sampled_from(CENTRES['c1']),
    _numbers,
    _numbers,
    st.booleans(),
    st.just({}),
    st.booleans(),
    _numbers,
)
_some = st.lists(st.sampled_from(CENTRES['c2']), unique=True).map(
    lambda names: tuple(sorted(names))
)
_digests = st.builds(
    _gossip_messages.CentreRecord,
    st.just('c2'),
    st.sampled_from(CENTRES['c2']),
    _numbers,
    _numbers,
    _some,
    _some,
    st.just({}),
    _some,
    _numbers,
    _numbers,
    _some.map(lambda names: tuple((name, 25) for name in names)),
)


@hypothesis.given(st.lists(_hosts), st.lists(_digests))
def test_packed_records_are_read_as_they_were(hosts, digests):
    signs = _packed_signs.pack(INDEX, OWN_INCARNATION, hosts, digests)
    data = msgspec.json.encode(signs)
    found = json_text.decode(data, _gossip_messages.Signs)
    assert _packed_signs.unpack(INDEX, found) == (hosts, digests)


@pytest.mark.parametrize(
    ('hosts', 'centres'),
    [
        ([(len(INDEX.names), 0, 1, 0, 0)], []),
        ([(0, -OWN_INCARNATION - 1, 1, 0, 0)], []),
        ([(0, json_text.MAX_WHOLE, 1, 0, 0)], []),
        ([], [(len(INDEX.names), 0, 1, 0, 0, ())]),
        ([], [(3, 0, 1, 0, 0, ((len(INDEX.names), 4, 0),))]),
    ],
)
def test_signs_that_name_no_host_or_start_are_rejected(hosts, centres):
    signs = _gossip_messages.Signs(
        INDEX.checksum, OWN_INCARNATION, tuple(hosts), tuple(centres)
    )
    member = _make('a1')
    message = _gossip_messages.Message(
        'a2', 'c1', 1, None, (), (), signs=signs
    )
    with pytest.raises(msgspec.ValidationError):
        member.receive(message, 1.0)


def _make(name):
    centre = INDEX.centre[name]
    member = process.Membership(
        name, centre, OWN_INCARNATION, random.Random(name)
    )
    member.configure(CENTRES)
    return member


def _earlier(message):
    """Return a message as hosts of an earlier release write it."""
    return msgspec.structs.replace(
        message,
        signs=None,
        hosts=tuple(
            msgspec.structs.replace(r, age_ds=None) for r in message.hosts
        ),
        centres=tuple(
            msgspec.structs.replace(r, age_ds=None, oldest_ds=None, late=())
            for r in message.centres
        ),
    )


def test_a_reply_is_packed_and_leaves_out_what_the_other_host_told():
    a1, a2 = _make('a1'), _make('a2')
    a1.receive(_make('a3').message('c1', 1, None, 0.0), 0.0)
    first = a1.message('c1', 1, None, 0.0, partner='a2')
    assert {record.host for record in first.hosts} == {'a1', 'a3'}
    a2.receive(first, 0.0)
    second = a2.message('c1', 1, None, 0.0, partner='a1')
    a1.receive(second, 0.0)
    reply = a1.message('c1', 1, None, 0.0, partner='a2', answered=second)
    assert second.hosts == reply.hosts == ()
    assert len(second.signs.hosts) == 3
    assert [row[0] for row in reply.signs.hosts] == [INDEX.place['a1']]


def test_a_host_of_an_earlier_release_gets_records_in_full():
    a1, a2 = _make('a1'), _make('a2')
    a1.receive(_earlier(a2.message('c1', 1, None, 0.0)), 0.0)
    sent = a1.message('c1', 1, None, 0.0, partner='a2')
    assert {record.host for record in sent.hosts} == {'a1', 'a2'}
    assert sent.signs.hosts == ()


def test_a_host_that_is_no_longer_listed_sends_records_in_full():
    a1, a2 = _make('a1'), _make('a2')
    left = {'c1': ('a2', 'a3'), 'c2': CENTRES['c2']}
    for member in (a1, a2):
        member.configure(left)
    a1.receive(a2.message('c1', 1, None, 0.0), 0.0)
    sent = a1.message('c1', 1, None, 0.0, partner='a2')
    assert [record.host for record in sent.hosts] == ['a1', 'a2']
    a2.receive(sent, 0.0)
    a2.message('c1', 1, None, 0.0, partner='a1', answered=sent)


@pytest.mark.parametrize('asked_at', (None, 4.5))
def test_an_answer_of_an_earlier_release_is_new_with_a_known_beat(asked_at):
    a1, a2 = _make('a1'), _make('a2')
    sent = _earlier(a2.message('c1', 1, None, 0.0))
    a1.receive(sent, 0.0)
    for now in range(1, 5):
        a1.view(now)
    a1.receive(sent, 5.0, asked_at)
    assert a1.sign_age_s('a2', 5.0) == (5.0 if asked_at is None else 0.5)


def test_a_record_that_an_earlier_release_passed_on_is_not_new():
    a1, a2 = _make('a1'), _make('a2')
    a2.receive(_make('a3').message('c1', 1, None, 0.0), 0.0)
    a1.receive(_earlier(a2.message('c1', 1, None, 1.0)), 1.0)
    assert a1.sign_age_s('a2', 1.0) == 0.0
    assert a1.sign_age_s('a3', 1.0) == 2.0

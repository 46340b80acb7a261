"""Signs of life in a few bytes, for hosts that know the same host names.

A host is named by its place in the sorted list of all hosts, of which both
sides have the same checksum, and an incarnation by its difference to that of
the sender.
"""

import dataclasses
import zlib

import msgspec

from ebonypick import json_text
from ebonypick.process import _gossip_messages

LEAVING = 1
CUT_OFF = 2
ABSENT = 4


@dataclasses.dataclass(frozen=True)
class HostIndex:
    """The places of all hosts in the sorted list of them.

    Examples
    ========
    >>> index = make_index({'b': ('y',), 'a': ('z', 'x')})
    >>> index.names, index.place['y']
    (('x', 'z', 'y'), 2)

    Parameters
    ==========
    names : tuple of str
        The hosts, by data centre and name.
    place : dict of str to int
        The place of each.
    centre : dict of str to str
        The data centre of each.
    checksum : int
        Equal where two hosts have the same list.
    """

    names: tuple
    place: dict
    centre: dict
    checksum: int


def make_index(centres):
    """Return the index of hosts by data centre."""
    centre = {
        name: data_centre
        for data_centre in sorted(centres)
        for name in sorted(centres[data_centre])
    }
    names = tuple(centre)
    text = '\n'.join(f'{centre[name]}/{name}' for name in names)
    return HostIndex(
        names,
        {name: place for place, name in enumerate(names)},
        centre,
        zlib.crc32(text.encode(errors='surrogateescape')),
    )


def pack(index, incarnation, hosts, centres, answered=None):
    """Return the signs of life of host records and digests.

    Parameters
    ==========
    index : HostIndex
        The hosts that both sides know.
    incarnation : int
        The sender's.
    hosts, centres : iterable of HostRecord and of CentreRecord
        The records, with their ages. Their loads are left out.
    answered : Message, optional
        The message of the receiver to which these are the reply. What it
        told itself is left out.
    """
    found = answered.signs if answered is not None else None
    known_hosts = _known(index, found.hosts, found) if found else set()
    known_centres = _known(index, found.centres, found) if found else set()
    return _gossip_messages.Signs(
        index.checksum,
        incarnation,
        tuple(
            (
                index.place[record.host],
                record.incarnation - incarnation,
                record.beat,
                record.age_ds,
                LEAVING * record.leaving + CUT_OFF * record.cut_off,
            )
            for record in hosts
            if (record.host, *record.order) not in known_hosts
        ),
        tuple(
            (
                index.place[record.speaker],
                record.incarnation - incarnation,
                record.beat,
                record.age_ds,
                record.oldest_ds,
                _pack_exceptions(index, record),
            )
            for record in centres
            if (record.speaker, *record.order) not in known_centres
        ),
    )


def _known(index, rows, signs):
    """Return what identifies each record of packed signs."""
    if signs.checksum != index.checksum:
        return set()
    return {
        (index.names[row[0]], signs.incarnation + row[1], row[2])
        for row in rows
    }


def _pack_exceptions(index, record):
    """Return the hosts of a digest that are not simply alive."""
    flags = {}
    for flag, names in (
        (ABSENT, record.absent),
        (LEAVING, record.leaving),
        (CUT_OFF, record.cut_off),
    ):
        for name in names:
            flags[name] = flags.get(name, 0) | flag
    ages = dict(record.late)
    return tuple(
        (index.place[name], flags.get(name, 0), ages.get(name, 0))
        for name in sorted(flags.keys() | ages.keys())
        if name in index.place
    )


def unpack(index, signs):
    """Return the host records and digests of packed signs, without loads.

    Raises
    ======
    msgspec.ValidationError
        If a place is beyond the list of hosts, or an incarnation out of range.
    """
    try:
        hosts = [
            _gossip_messages.HostRecord(
                index.names[place],
                _incarnation(signs, offset),
                beat,
                bool(flags & LEAVING),
                {},
                bool(flags & CUT_OFF),
                age_ds,
            )
            for place, offset, beat, age_ds, flags in signs.hosts
        ]
        centres = [_unpack_digest(index, signs, *row) for row in signs.centres]
    except IndexError as exc:
        raise msgspec.ValidationError('There is no such host.') from exc
    return hosts, centres


def _incarnation(signs, offset):
    found = signs.incarnation + offset
    if not 0 <= found <= json_text.MAX_WHOLE:
        # It could not be sent on.
        raise msgspec.ValidationError('An incarnation is out of range.')
    return found


def _unpack_digest(
    index, signs, place, offset, beat, age_ds, oldest_ds, exceptions
):
    rows = [
        (index.names[where], flags, late_ds)
        for where, flags, late_ds in exceptions
    ]

    def flagged(flag):
        return tuple(name for name, flags, _ in rows if flags & flag)

    speaker = index.names[place]
    return _gossip_messages.CentreRecord(
        index.centre[speaker],
        speaker,
        _incarnation(signs, offset),
        beat,
        flagged(ABSENT),
        flagged(LEAVING),
        {},
        flagged(CUT_OFF),
        age_ds,
        oldest_ds,
        tuple((name, late_ds) for name, _, late_ds in rows if late_ds),
    )

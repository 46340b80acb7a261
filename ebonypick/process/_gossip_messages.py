"""The gossip messages that entry hosts exchange about their membership.

They are encoded as arrays in the order of their fields.
"""

import typing

import msgspec

from ebonypick import json_text
from ebonypick import platform
from ebonypick import request

# An owner whose limit falls may have a negative number of free slots.
Loads = tuple[json_text.Integer, json_text.Integer, json_text.Integer]


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record that an entry host spreads within its data centre.

    Parameters
    ==========
    host : str
        The name of the entry host.
    incarnation : int
        Increases with each start of the process.
    beat : int
        Increases with each tick.
    leaving : bool
        Whether the host is in a planned stop.
    loads : dict of str to tuple of int
        Free slots, waiting requests and all slots, by service.
    cut_off : bool
        Whether the host reaches no backend server.
    age_ds : int, optional
        Time since the host made the record, in tenths of a second. Hosts of
        earlier releases do not tell it.
    """

    host: str
    incarnation: json_text.Whole
    beat: json_text.Whole
    leaving: bool
    loads: dict[str, Loads]
    cut_off: bool = False
    age_ds: json_text.Whole | None = None

    @property
    def key(self):
        """What identifies its author."""
        return self.host

    @property
    def order(self):
        """The sort key that orders records of one host by age."""
        return (self.incarnation, self.beat)


class CentreRecord(msgspec.Struct, frozen=True, array_like=True):
    """The digest of a data centre that its speaker sends to the others.

    Parameters
    ==========
    data_centre, speaker : str
        The data centre, and the entry host that made the digest.
    incarnation, beat : int
        Incarnation and beat of the speaker.
    absent, leaving : tuple of str
        Entry hosts of the data centre that are not alive, and those in a
        planned stop.
    loads : dict of str to tuple of int
        Free slots, waiting requests and all slots, summed over the hosts, by
        service.
    cut_off : tuple of str
        Entry hosts of the data centre that reach no backend server.
    age_ds : int, optional
        Time since the speaker made the digest, in tenths of a second. Hosts
        of earlier releases do not tell it.
    oldest_ds : int, optional
        Age of the oldest record that the speaker had of a live host, in
        tenths of a second, but for those in ``late``.
    late : tuple of (str, int)
        Live entry hosts of which the speaker had an old record, with its age
        in tenths of a second.
    """

    data_centre: str
    speaker: str
    incarnation: json_text.Whole
    beat: json_text.Whole
    absent: tuple[str, ...]
    leaving: tuple[str, ...]
    loads: dict[str, Loads]
    cut_off: tuple[str, ...] = ()
    age_ds: json_text.Whole | None = None
    oldest_ds: json_text.Whole | None = None
    late: tuple[tuple[str, json_text.Whole], ...] = ()

    @property
    def key(self):
        """What identifies its author."""
        return self.data_centre, self.speaker

    @property
    def order(self):
        """The sort key that orders digests of one speaker by age."""
        return (self.incarnation, self.beat)


class LimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """The limit of requests that a backend server named in an answer.

    Parameters
    ==========
    instance : str
        The server.
    started_ms : int
        Its start in milliseconds since the epoch.
    turn : int
        Number of changes of the limit that hosts have seen.
    per_s : float or None
        Requests per second from all hosts; None where it was withdrawn.
    """

    instance: str
    started_ms: json_text.Whole
    turn: json_text.Whole
    per_s: typing.Annotated[float, msgspec.Meta(ge=0.0)] | None


class CrashMessage(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of a request that servers crashed with.

    Parameters
    ==========
    digest : str
        The request.
    turn : int
        Number of times that an answer cleared it.
    crashed : tuple of str
        The starts of servers that crashed with it since then.
    """

    digest: typing.Annotated[str, msgspec.Meta(max_length=64)]
    turn: json_text.Whole
    crashed: typing.Annotated[
        tuple[str, ...], msgspec.Meta(max_length=2 * request.MAX_CRASHES)
    ]


# Place of a host, difference of its incarnation to that of the sender, beat,
# age of the record in tenths of a second, flags.
PackedHost = tuple[
    json_text.Whole,
    json_text.Integer,
    json_text.Whole,
    json_text.Whole,
    json_text.Whole,
]
# Place of a host of a digest, flags, age of its record in tenths of a second.
PackedException = tuple[json_text.Whole, json_text.Whole, json_text.Whole]
# Place, incarnation, beat and age of the speaker's record, age of the oldest
# other one, and hosts that are not simply alive.
PackedCentre = tuple[
    json_text.Whole,
    json_text.Integer,
    json_text.Whole,
    json_text.Whole,
    json_text.Whole,
    tuple[PackedException, ...],
]


class Signs(msgspec.Struct, frozen=True, array_like=True):
    """Host records and digests in a few bytes; see ``_packed_signs``.

    Parameters
    ==========
    checksum : int
        Of the host names that the sender knows.
    incarnation : int
        Of the sender.
    hosts, centres : tuple
        The packed records and digests.
    """

    checksum: json_text.Whole
    incarnation: json_text.Whole
    hosts: tuple[PackedHost, ...] = ()
    centres: tuple[PackedCentre, ...] = ()


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A gossip message from one entry host to another.

    Parameters
    ==========
    sender : str
        The sending host.
    data_centre : str
        Data centre of the sender.
    version : int
        Number of the configuration that the sender has in force.
    platform_s : float or None
        A lower bound of the platform's time in seconds; None if the sender
        has none.
    hosts, centres : tuple
        Host records and digests, newest first.
    revisions : dict of str to Revision
        Revision of the sender's replica of each table of the platform's
        store.
    limits : tuple of LimitRecord
        Some of the limits of backend servers that the sender knows.
    crashes : tuple of CrashMessage
        Some of the requests that servers crashed with.
    signs : Signs, optional
        Records and digests beside ``hosts`` and ``centres``. A host of an
        earlier release neither sends nor reads them.
    """

    sender: str
    data_centre: str
    version: json_text.Whole
    platform_s: float | None
    hosts: tuple[HostRecord, ...]
    centres: tuple[CentreRecord, ...]
    revisions: dict[str, platform.Revision] = {}
    limits: tuple[LimitRecord, ...] = ()
    crashes: tuple[CrashMessage, ...] = ()
    signs: Signs | None = None

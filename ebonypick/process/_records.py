"""The messages that entry hosts exchange about who lives.

They go as arrays, in the order of their fields.
"""

import msgspec

from ebonypick import platform


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an entry host says of itself to its data centre.

    Parameters
    ==========
    host : str
        Its name.
    incarnation : int
        Grows with each start of its process.
    beat : int
        Grows with each tick.
    leaving : bool
        Whether it is in a planned stop.
    loads : dict of str to tuple of int
        By service: free slots, waiting requests, slots.
    """

    host: str
    incarnation: int
    beat: int
    leaving: bool
    loads: dict[str, tuple[int, int, int]]

    @property
    def order(self):
        """Sorts records of one author by age."""
        return (self.incarnation, self.beat)


class CentreRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a speaker says of its data centre to the others.

    Parameters
    ==========
    data_centre, speaker : str
        Which one, and the entry host that says so.
    incarnation, beat : int
        The speaker's.
    absent, leaving : tuple of str
        Its entry hosts that are not heard, or in a planned stop.
    loads : dict of str to tuple of int
        By service, summed: free slots, waiting requests, slots.
    """

    data_centre: str
    speaker: str
    incarnation: int
    beat: int
    absent: tuple[str, ...]
    leaving: tuple[str, ...]
    loads: dict[str, tuple[int, int, int]]

    @property
    def order(self):
        """Sorts records of one author by age."""
        return (self.incarnation, self.beat)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What one entry host tells another at an exchange.

    Parameters
    ==========
    sender : str
        Who tells.
    data_centre : str
        Where it stands.
    version : int
        The configuration that it has in force.
    platform_s : float or None
        A lower bound of the platform's time, where it knows one.
    hosts, centres : tuple
        Records, newest first.
    revisions : dict of str to Revision
        By table of the platform's store: as of when the sender knows it.
    """

    sender: str
    data_centre: str
    version: int
    platform_s: float | None
    hosts: tuple[HostRecord, ...]
    centres: tuple[CentreRecord, ...]
    revisions: dict[str, platform.Revision] = {}

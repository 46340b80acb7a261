"""The rows of the other steering hosts and the connections to them."""

import dataclasses
import typing

import msgspec

from ebonypick import connection
from ebonypick import endpoints
from ebonypick import events
from ebonypick import json_text

# Callers are named the hosts of a region by their capacities relative to the
# largest, in Mbit/s.
MAX_CAPACITY = 1e6
Capacity = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CAPACITY)]


@dataclasses.dataclass(frozen=True)
class HostRow:
    """A steering host's own row in the store.

    Parameters
    ==========
    callers, peers : str
        Endpoints for callers and for other hosts.
    data_centre : str
        Data centre of the host.
    started_ms : int
        Time of the host's start in milliseconds since the epoch.
    capacity : float
        Capacity relative to other hosts.
    relays : str
        Endpoint for requests that other hosts pass on; empty for a host of an
        earlier release, which takes none.
    deflates : bool
        Whether the host accepts compressed messages; one of an earlier
        release does not.
    """

    callers: str
    peers: str
    data_centre: str
    started_ms: json_text.Whole
    capacity: Capacity = 1.0
    relays: str = ''
    deflates: bool = False


def decode_rows(values):
    """Return the valid rows by host; log the others.

    Parameters
    ==========
    values : dict of str to bytes
        The values of the table of hosts, by host.
    """
    rows = {}
    for name, value in values.items():
        try:
            row = json_text.decode(value, HostRow)
            endpoints.parse_endpoint(row.peers)
            endpoints.parse_endpoint(row.callers)
            if row.relays:
                endpoints.parse_endpoint(row.relays)
            rows[name] = row
        except (msgspec.MsgspecError, ValueError) as exc:
            events.ENTRY_SKIPPED.log(table='hosts', key=name, why=str(exc))
    return rows


class PeerDirectory:
    """Owns the connections to other hosts, as an async context manager.

    Parameters
    ==========
    settings : SteeringSettings
        The settings of this host.
    tasks : TaskGroup
        Runs the tasks that close old connections.
    """

    def __init__(self, settings, tasks):
        self._settings = settings
        self._tasks = tasks
        self.rows = {}
        self.peers = {}
        self.seeds = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for pool in self.peers.values():
            await pool.__aexit__(None, None, None)

    async def update(self, rows):
        """Set the rows of all hosts; open and close connections."""
        for name in set(self.peers) - set(rows):
            pool = self.peers.pop(name)
            self._tasks.start(pool.__aexit__(None, None, None))
        for name, row in rows.items():
            known = self.rows.get(name)
            if name == self._settings.host:
                continue
            if name in self.peers and known.peers == row.peers:
                continue
            if name in self.peers:
                old = self.peers.pop(name)
                self._tasks.start(old.__aexit__(None, None, None))
            pool = connection.Pool(
                *endpoints.parse_endpoint(row.peers),
                self._settings.address,
            )
            self.peers[name] = await pool.__aenter__()
        self.rows = rows

    def centres(self):
        """Return the names of all hosts by data centre."""
        found = {self._settings.data_centre: [self._settings.host]}
        for name, row in self.rows.items():
            names = found.setdefault(row.data_centre, [])
            if name not in names:
                names.append(name)
        return {
            centre: tuple(sorted(names)) for centre, names in found.items()
        }

    def peer(self, name):
        """Return the connections to a host, or None if there are none."""
        return self.peers.get(name)

    def pools(self):
        """Return the connections to all other hosts."""
        return tuple(self.peers.values())


def make_peer_directory(settings, tasks):
    """Return a ``PeerDirectory``; ``tasks`` is a ``TaskGroup``."""
    return PeerDirectory(settings, tasks)

"""The adapter for the platform's list of hosts, which lags behind."""

import dataclasses

import msgspec

from ebonypick.connection import _adapters
from ebonypick.connection import _platform_http
from ebonypick.connection import _pool
from ebonypick import json_text

TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class HostState:
    """State of a host in the list: ``live`` or ``leaving``."""

    name: str
    state: str


@_adapters.hostlist_adapters.register('http')
class HostList(_platform_http.PlatformClient):
    """Client of the platform's list of hosts."""

    async def leaving(self):
        """Return the names of the hosts in state ``leaving``.

        Raises
        ======
        errors.PlatformError
            If the list cannot be read or is malformed.
        """
        try:
            status, body = await self._pool.call_json(
                'GET', '/hosts', timeout_s=TIMEOUT_S
            )
            if status != 200:
                raise _pool.LostError(f'status {status}')
            rows = json_text.decode(body, list[HostState])
        except (
            _pool.ConnectFailedError,
            _pool.LostError,
            msgspec.MsgspecError,
        ) as exc:
            raise self._error(exc) from exc
        return frozenset(row.name for row in rows if row.state == 'leaving')


def make_host_list(kind, address, port, local_address=None):
    """Create the client of the host list with the adapter ``kind``."""
    return _adapters.hostlist_adapters.get(kind)(address, port, local_address)

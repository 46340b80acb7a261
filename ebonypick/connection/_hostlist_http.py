"""The adapter of the platform's lagging list of hosts."""

import dataclasses

import msgspec

from ebonypick.connection import _adapters
from ebonypick.connection import _pool
from ebonypick import errors

TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class HostState:
    """What the list says of a host: ``live`` or ``leaving``."""

    name: str
    state: str


@_adapters.hostlist_adapters.register('http')
class HostList:
    """The list of hosts; an async context manager.

    Parameters
    ==========
    address : str
        IP number.
    port : int
        TCP port.
    local_address : str, optional
        IP number to connect from.
    """

    def __init__(self, address, port, local_address=None):
        self._address = f'{address}:{port}'
        self._pool = _pool.Pool(address, port, local_address)

    async def __aenter__(self):
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self._pool.__aexit__(*exc_info)

    async def leaving(self):
        """Return the names of the hosts that are leaving.

        Raises
        ======
        errors.PlatformError
            If the list cannot be read.
        """
        try:
            status, body = await self._pool.call_json(
                'GET', '/hosts', timeout_s=TIMEOUT_S
            )
            if status != 200:
                raise _pool.LostError(f'status {status}')
            rows = msgspec.json.decode(body, type=list[HostState])
        except (
            _pool.ConnectFailedError,
            _pool.LostError,
            msgspec.MsgspecError,
        ) as exc:
            raise errors.PlatformError(
                address=self._address, reason=exc
            ) from exc
        return frozenset(row.name for row in rows if row.state == 'leaving')


def make_host_list(kind, address, port, local_address=None):
    """Return the host list by the adapter ``kind``."""
    return _adapters.hostlist_adapters.get(kind)(address, port, local_address)

"""The connections of a caller to all entry hosts that it met."""

from ebonypick import connection


class Pools:
    """One pool for each address and port.

    Parameters
    ==========
    local_address : str or None
        IP number to connect from.
    """

    def __init__(self, local_address):
        self._local = local_address
        self._pools = {}

    async def get(self, address, port):
        """Return the pool of an address and port."""
        end = (address, port)
        if end not in self._pools:
            pool = connection.Pool(address, port, self._local)
            self._pools[end] = await pool.__aenter__()
        return self._pools[end]

    async def close(self):
        """Close all connections."""
        for pool in self._pools.values():
            await pool.__aexit__(None, None, None)

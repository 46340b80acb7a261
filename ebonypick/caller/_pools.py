"""Connection pools of a caller, one for each entry host."""

from ebonypick import connection


class Pools:
    """Connection pools by address and port, opened on first use.

    Parameters
    ==========
    local_address : str or None
        Local IP address to connect from.
    """

    def __init__(self, local_address):
        self._local = local_address
        self._pools = {}

    async def get(self, address, port):
        """Return the pool for an address and port."""
        endpoint = (address, port)
        if endpoint not in self._pools:
            pool = connection.Pool(address, port, self._local)
            self._pools[endpoint] = await pool.__aenter__()
        return self._pools[endpoint]

    async def close(self):
        """Close all pools."""
        for pool in self._pools.values():
            await pool.__aexit__(None, None, None)

"""The connections of an entry host to other entry hosts and to servers."""

import asyncio

from ebonypick import connection
from ebonypick import events

CLOSE_AFTER_S = 120.0


class HostConnections:
    """Owns the connections to hosts and servers; an async context manager.

    Parameters
    ==========
    settings : Settings
        The settings of this host.
    tasks : TaskGroup
        Runs the tasks that close old connections.
    """

    def __init__(self, settings, tasks):
        self.peers = {}
        self.seeds = {}
        self.backends = {}
        self._settings = settings
        self._tasks = tasks
        self._addresses = {}

    async def __aenter__(self):
        for seed in self._settings.seeds:
            name = f'{seed.address}:{seed.port}'
            pool = self._make_peer(name, (seed.address, seed.port))
            self.seeds[name] = await pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        for owners in (self.seeds, self.peers, self.backends):
            for owner in owners.values():
                await owner.__aexit__(None, None, None)

    def _make_peer(self, name, end):
        return connection.Pool(*end, self._settings.address)

    def _make_backend(self, name, end):
        return connection.make_backend_link(
            self._settings.adapter('backend'),
            name,
            *end,
            self._settings.address,
        )

    async def configure(self, cfg):
        """Open and close connections as a configuration requires."""
        peers = {
            name: (host.address, host.port)
            for name, (_, host) in cfg.entry_hosts().items()
            if name != self._settings.host
        }
        backends = {
            name: (server.address, server.port)
            for service in cfg.base.services
            for name, _, _, server in cfg.backends(service)
        }
        await self._reopen(self.peers, peers, self._make_peer)
        await self._reopen(self.backends, backends, self._make_backend)

    async def _reopen(self, owners, wanted, make):
        for name in set(owners) - set(wanted):
            self._tasks.start(_close_later(owners.pop(name)))
            del self._addresses[name]
        for name, end in wanted.items():
            if name in owners and self._addresses[name] == end:
                continue
            if name in owners:
                self._tasks.start(_close_later(owners[name]))
            owners[name] = await make(name, end).__aenter__()
            self._addresses[name] = end

    def peer(self, name):
        """Return the connection pool of an entry host or seed, or None."""
        return self.peers.get(name) or self.seeds.get(name)

    def retire(self, source):
        """Retire the connections to an entry host or backend server."""
        link = self.backends.get(source)
        pool = link.pool if link is not None else self.peers.get(source)
        if pool is not None:
            events.PEER_SILENT.log(peer=source, generation=pool.retire())


async def _close_later(owner):
    """Close connections after the requests on them have had time to end."""
    await asyncio.sleep(CLOSE_AFTER_S)
    await owner.__aexit__(None, None, None)

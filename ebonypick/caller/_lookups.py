"""Cached look-ups of entry hosts and the choice of the next host."""

import asyncio
import dataclasses
import time

import msgspec

from ebonypick import connection
from ebonypick import json_text

LOOKUP_TIMEOUT_S = 0.6
AVOID_FAILED_HOST_S = 1.0
MAX_NEAR_HOSTS_QUERIED = 3


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An entry host of the bootstrap list."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class HostChoice:
    """An entry host in the answer to a look-up."""

    name: str
    address: str
    port: int
    weight: int
    tier: int


@dataclasses.dataclass(frozen=True)
class LookUp:
    """The answer to a look-up."""

    entry_hosts: tuple[HostChoice, ...]
    config_version: int
    ttl_ms: int
    key_prefix: str
    region: str = ''
    service: str = ''


class HostFinder:
    """Caches look-ups and avoids entry hosts that failed recently.

    Parameters
    ==========
    bootstrap : list of Endpoint
        Entry hosts for the first look-up and as a fallback.
    client : str or None
        IP address for which entry hosts are looked up, or None for the
        source address of the connection.
    pools : Pools
        Connection pools of the caller.
    rng : random.Random
        Source of randomness for the choice of entry hosts.
    """

    def __init__(self, bootstrap, client, pools, rng):
        self.lookups_sent = 0
        self._bootstrap = list(bootstrap)
        self._client = client
        self._pools = pools
        self._rng = rng
        self._cache = {}
        self._pending = {}
        self._prefixes = {}
        self._avoided_until = {}

    async def look_up(self, service):
        """Return the look-up for a service, from the cache while it is fresh.

        If no entry host answers, an expired look-up is returned.

        Raises
        ======
        connection.LostError
            If no entry host answered and the cache has no look-up.
        """
        found, until = self._cache.get(service, (None, 0.0))
        if found is not None and time.monotonic() < until:
            return found
        if service not in self._pending:
            task = asyncio.ensure_future(self._query_any(service))
            self._pending[service] = task
            task.add_done_callback(lambda _: self._pending.pop(service, None))
        try:
            return await asyncio.shield(self._pending[service])
        except connection.LostError:
            if found is None:
                raise
            return found

    async def _query_any(self, service):
        cached, _ = self._cache.get(service, (None, 0.0))
        endpoints = list(self._bootstrap)
        self._rng.shuffle(endpoints)
        if cached is not None:
            near = [Endpoint(h.address, h.port) for h in cached.entry_hosts]
            endpoints = near[:MAX_NEAR_HOSTS_QUERIED] + endpoints
        for endpoint in endpoints:
            found = await self._query(endpoint, service)
            if found is not None:
                until = time.monotonic() + found.ttl_ms / 1000
                self._cache[service] = (found, until)
                host = found.key_prefix.partition('~')[0]
                self._prefixes[host] = found.key_prefix
                return found
        raise connection.LostError('no entry host answered the look-up')

    async def _query(self, endpoint, service):
        path = f'/v1/entry-hosts?service={service}'
        if self._client:
            path += f'&client={self._client}'
        pool = await self._pools.get(endpoint.address, endpoint.port)
        self.lookups_sent += 1
        try:
            status, body = await pool.call_json(
                'GET', path, timeout_s=LOOKUP_TIMEOUT_S
            )
            if status != 200:
                return None
            found = json_text.decode(body, LookUp)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
        ):
            return None
        return found if found.entry_hosts else None

    def pick(self, found, failed):
        """Return a random entry host of the lowest tier, by weight.

        Hosts that failed recently are considered only if no other is left.

        Parameters
        ==========
        found : LookUp
            The look-up that lists the entry hosts.
        failed : set of str
            Names of the entry hosts that failed for this request.
        """
        now = time.monotonic()
        hosts = [
            host
            for host in found.entry_hosts
            if host.name not in failed
            and self._avoided_until.get(host.name, 0.0) <= now
        ]
        if not hosts:
            hosts = list(found.entry_hosts)
        tier = min(host.tier for host in hosts)
        nearest = [host for host in hosts if host.tier == tier]
        weights = [host.weight for host in nearest]
        return self._rng.choices(nearest, weights)[0]

    def avoid(self, host):
        """Exclude an entry host from the choice for AVOID_FAILED_HOST_S."""
        self._avoided_until[host.name] = time.monotonic() + AVOID_FAILED_HOST_S

    def set_prefix(self, host, prefix):
        """Store the key prefix that an entry host issues at present."""
        self._prefixes[host.name] = prefix

    def key_prefix(self, host, found):
        """Return the prefix for a key that is sent to an entry host."""
        return self._prefixes.get(host.name, found.key_prefix)

    def forget(self, service, key):
        """Discard the cached prefix and look-up behind an unknown key."""
        self._prefixes.pop((key or '').partition('~')[0], None)
        self._cache.pop(service, None)

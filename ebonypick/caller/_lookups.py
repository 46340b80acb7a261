"""Finds entry hosts: look-ups in memory, and which host comes next."""

import asyncio
import dataclasses
import time

import msgspec

from ebonypick import connection

LOOKUP_TIMEOUT_S = 0.6
FAILED_HOST_S = 1.0
NEAR_HOSTS_ASKED = 3


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An entry host of the bootstrap list."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class HostChoice:
    """An entry host as a look-up names it."""

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
    """Knows entry hosts by look-ups, and which of them failed lately.

    Parameters
    ==========
    bootstrap : list of Endpoint
        Some entry hosts.
    client : str or None
        The IP number to look up for; the connection's own where None.
    pools : Pools
        The caller's connections.
    rng : random.Random
        Chooses among entry hosts.
    """

    def __init__(self, bootstrap, client, pools, rng):
        self.asked = 0
        self._bootstrap = list(bootstrap)
        self._client = client
        self._pools = pools
        self._rng = rng
        self._known = {}
        self._asking = {}
        self._prefixes = {}
        self._avoided_until = {}

    async def look_up(self, service):
        """Return the look-up for a service, from memory while it is fresh.

        Raises
        ======
        connection.LostError
            If no entry host answered and nothing is in memory.
        """
        found, until = self._known.get(service, (None, 0.0))
        if found is not None and time.monotonic() < until:
            return found
        if service not in self._asking:
            task = asyncio.ensure_future(self._ask_any(service))
            self._asking[service] = task
            task.add_done_callback(lambda _: self._asking.pop(service, None))
        try:
            return await asyncio.shield(self._asking[service])
        except connection.LostError:
            if found is None:
                raise
            return found

    async def _ask_any(self, service):
        known, _ = self._known.get(service, (None, 0.0))
        ends = list(self._bootstrap)
        self._rng.shuffle(ends)
        if known is not None:
            near = [Endpoint(h.address, h.port) for h in known.entry_hosts]
            ends = near[:NEAR_HOSTS_ASKED] + ends
        for end in ends:
            found = await self._ask(end, service)
            if found is not None:
                until = time.monotonic() + found.ttl_ms / 1000
                self._known[service] = (found, until)
                host = found.key_prefix.partition('~')[0]
                self._prefixes[host] = found.key_prefix
                return found
        raise connection.LostError('no entry host answered the look-up')

    async def _ask(self, end, service):
        path = f'/v1/entry-hosts?service={service}'
        if self._client:
            path += f'&client={self._client}'
        pool = await self._pools.get(end.address, end.port)
        self.asked += 1
        try:
            status, body = await pool.call_json(
                'GET', path, timeout_s=LOOKUP_TIMEOUT_S
            )
            if status != 200:
                return None
            found = msgspec.json.decode(body, type=LookUp)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
        ):
            return None
        return found if found.entry_hosts else None

    def pick(self, found, failed):
        """Return an entry host: lowest tier, then by weight.

        Parameters
        ==========
        found : LookUp
            The look-up.
        failed : set of str
            Entry hosts that failed this request before.
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
        """Leave an entry host out for a while."""
        self._avoided_until[host.name] = time.monotonic() + FAILED_HOST_S

    def note_prefix(self, host, prefix):
        """Note the prefix of keys that an entry host issues now."""
        self._prefixes[host.name] = prefix

    def key_prefix(self, host, found):
        """Return a prefix for a key that is sent to an entry host."""
        return self._prefixes.get(host.name, found.key_prefix)

    def forget(self, service, key):
        """Forget what led to a key whose entry host is gone."""
        self._prefixes.pop((key or '').partition('~')[0], None)
        self._known.pop(service, None)

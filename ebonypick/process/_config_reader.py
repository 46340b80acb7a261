"""The task that keeps the configuration of a process up to date."""

import asyncio
import collections
import time

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text
from ebonypick import version

POLL_S = 1.0
MIN_INTERVAL_S = 0.2
PEER_TIMEOUT_S = 2.0
MAX_BUNDLES = 32
# Share of a processor core that configuration changes may use.
CPU_SHARE = 0.024
MAX_REST_S = 6.0


def encode_delta(delta):
    """Return a delta encoded for other entry hosts."""
    return msgspec.json.encode(delta)


class ConfigReader:
    """Obtains new configurations and owns the holder of the one in force.

    Explanation
    ===========
    The speakers of each data centre poll the platform's table. The other
    hosts see the number of a new version in gossip messages and fetch the
    delta from the sender. The source does not matter, since a version is put
    in force only if its number is higher than the current one.

    Parameters
    ==========
    node : EntryHost
        The process.
    """

    def __init__(self, node):
        self._node = node
        self._holder = version.Holder()
        self._bundles = collections.OrderedDict({0: version.EMPTY_BUNDLE})
        self._quoted = asyncio.Event()
        self._quoted_by = collections.deque(maxlen=8)
        self._wanted = None

    @property
    def holder(self):
        """The holder of the configuration, for reading only."""
        return self._holder

    def record_number(self, number, peer=None):
        """Note the version number that a peer or a caller sent."""
        if number <= self._holder.number:
            return
        self._holder.record_number(number)
        if peer is not None and peer not in self._quoted_by:
            self._quoted_by.append(peer)
        self._quoted.set()

    def delta_since(self, number):
        """Return the delta from a peer's version to the one in force.

        Returns
        =======
        Delta or None
            None if this host has no newer version.
        """
        current = self._holder.current
        if current is None or current.number <= number:
            return None
        since = number if number in self._bundles else 0
        old = self._bundles.get(since, version.EMPTY_BUNDLE)
        return version.make_delta(since, old, current.number, current.bundle)

    async def run(self):
        """Fetch new versions from the table and from peers until cancelled."""
        while True:
            started_at = time.thread_time()
            if self._node.polls_platform():
                await self._poll_platform()
            if self._holder.behind:
                await self._fetch_from_peers()
            self._quoted.clear()
            await self._rest(time.thread_time() - started_at)
            # Callers may send any version number. This pause limits how
            # often they can make the host poll the platform.
            await asyncio.sleep(MIN_INTERVAL_S)
            try:
                async with asyncio.timeout(POLL_S):
                    await self._quoted.wait()
            except TimeoutError:
                pass

    async def _rest(self, spent_s):
        """Pause after costly changes, so that several are applied at once.

        The pause is bounded well below the time within which a change has to
        be in force on all hosts.
        """
        pause_s = min(MAX_REST_S, spent_s / CPU_SHARE - POLL_S)
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def _poll_platform(self):
        platform = self._node.platform
        try:
            row = await platform.poll_current()
            if row is not None:
                self._wanted = row
            self._node.note_platform_time(platform.time)
            wanted = self._wanted
            if wanted is None or wanted.number <= self._holder.number:
                return
            data = await platform.get_object(f'config/{wanted.digest}')
            if data is None:
                raise errors.PlatformError(
                    address='object store', reason='the object is missing'
                )
            bundle = version.decode_bundle(data)
            self._apply(wanted.number, wanted.digest, bundle, 'platform')
        except (errors.PlatformError, msgspec.MsgspecError) as exc:
            events.PLATFORM_FAILED.log(why=str(exc))

    async def _fetch_from_peers(self):
        while self._quoted_by and self._holder.behind:
            name = self._quoted_by.popleft()
            peer = self._node.connections.peer(name)
            if peer is not None:
                await self._fetch_from(name, peer)

    async def _fetch_from(self, name, peer):
        have = self._holder.number
        since = have if have in self._bundles else 0
        try:
            status, body = await peer.call_json(
                'GET',
                f'/peer/v1/config?since={since}',
                timeout_s=PEER_TIMEOUT_S,
            )
            if status != 200:
                return
            delta = json_text.decode(body, version.Delta)
            old = self._bundles.get(delta.since)
            if old is None:
                return
            bundle = version.apply_delta(old, delta)
            self._apply(delta.number, delta.digest, bundle, name)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            events.CONFIG_IGNORED.log(
                version=None, have=have, why=f'{name}: {exc}'
            )

    def _apply(self, number, digest, bundle, source):
        if number <= self._holder.number:
            events.CONFIG_IGNORED.log(
                version=number,
                have=self._holder.number,
                why='the version is not newer',
            )
            return
        if version.bundle_digest(bundle) != digest:
            events.CONFIG_IGNORED.log(
                version=number,
                have=self._holder.number,
                why='the digest does not match',
            )
            return
        try:
            found = version.make_version(number, bundle)
        except errors.ConfigError as exc:
            events.CONFIG_IGNORED.log(
                version=number, have=self._holder.number, why=str(exc)
            )
            return
        if self._holder.offer(found):
            self._bundles[number] = bundle
            while len(self._bundles) > MAX_BUNDLES:
                # The empty bundle at number 0 stays for new hosts.
                del self._bundles[list(self._bundles)[1]]
            events.CONFIG_IN_FORCE.log(
                version=number,
                digest=digest[:12],
                source=source,
                bytes=None,
            )
            self._node.apply_configuration(found)

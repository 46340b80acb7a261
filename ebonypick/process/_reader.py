"""The task that keeps the configuration of a process up to date."""

import asyncio
import collections
import time

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import version

POLL_S = 1.0
LEAST_GAP_S = 0.2
PEER_TIMEOUT_S = 2.0
BUNDLES_KEPT = 32
# What configuration changes may take of a core.
CPU_SHARE = 0.024
REST_MOST_S = 6.0


def encode_delta(delta):
    """Return a delta as it goes between entry hosts."""
    return msgspec.json.encode(delta)


class ConfigReader:
    """Owns the holder of the configuration in force.

    Explanation
    ===========
    The hosts that speak for their data centre poll the platform's table;
    the others learn of a version from peers, who quote theirs with each
    exchange, and fetch the delta there. Any source will do, as only a
    higher number is ever put in force.

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
        """The holder; only to be read."""
        return self._holder

    def quote(self, number, peer=None):
        """Note a version that a peer, or a caller, quoted."""
        if number <= self._holder.number:
            return
        self._holder.quote(number)
        if peer is not None and peer not in self._quoted_by:
            self._quoted_by.append(peer)
        self._quoted.set()

    def delta_since(self, number):
        """Return the delta from a version that a peer has to ours.

        Returns
        =======
        Delta or None
            None where there is nothing newer here.
        """
        current = self._holder.current
        if current is None or current.number <= number:
            return None
        since = number if number in self._bundles else 0
        old = self._bundles.get(since, version.EMPTY_BUNDLE)
        return version.make_delta(since, old, current.number, current.bundle)

    async def run(self):
        """Follow the table and the peers until cancelled."""
        while True:
            started_at = time.thread_time()
            if self._node.polls_platform():
                await self._poll_platform()
            if self._holder.behind:
                await self._fetch_from_peers()
            self._quoted.clear()
            await self._rest(time.thread_time() - started_at)
            # Callers may quote anything: they cannot make this host ask
            # the platform more often than so.
            await asyncio.sleep(LEAST_GAP_S)
            try:
                async with asyncio.timeout(POLL_S):
                    await self._quoted.wait()
            except TimeoutError:
                pass

    async def _rest(self, spent_s):
        """Rest after costly changes, so that several are taken at once.

        The pause is bounded well below the time in which a change has to
        be in force everywhere.
        """
        pause_s = min(REST_MOST_S, spent_s / CPU_SHARE - POLL_S)
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
            self._take(wanted.number, wanted.digest, bundle, 'platform')
        except (errors.PlatformError, msgspec.MsgspecError) as exc:
            events.PLATFORM_FAILED.log(why=str(exc))

    async def _fetch_from_peers(self):
        while self._quoted_by and self._holder.behind:
            name = self._quoted_by.popleft()
            peer = self._node.ends.peer(name)
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
            delta = msgspec.json.decode(body, type=version.Delta)
            old = self._bundles.get(delta.since)
            if old is None:
                return
            bundle = version.apply_delta(old, delta)
            self._take(delta.number, delta.digest, bundle, name)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            events.CONFIG_IGNORED.log(
                version=None, have=have, why=f'{name}: {exc}'
            )

    def _take(self, number, digest, bundle, source):
        if number <= self._holder.number:
            events.CONFIG_IGNORED.log(
                version=number, have=self._holder.number, why='not newer'
            )
            return
        if version.bundle_digest(bundle) != digest:
            events.CONFIG_IGNORED.log(
                version=number, have=self._holder.number, why='digest'
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
            while len(self._bundles) > BUNDLES_KEPT:
                # The empty bundle at number 0 stays for new hosts.
                del self._bundles[list(self._bundles)[1]]
            events.CONFIG_IN_FORCE.log(
                version=number, digest=digest[:12], source=source
            )
            self._node.put_in_force(found)

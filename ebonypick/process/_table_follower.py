"""Replicates tables of the platform's store, also through its outages.

A table is first read whole; then its changes are followed. While the store
is unavailable, the last rows stay in use, and newer ones are requested from
other entry hosts.
"""

import asyncio
import random
import time

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text
from ebonypick import platform
from ebonypick.process import _row_messages
from ebonypick.process import _store_contact
from ebonypick.process import _table_rows

# Upper limit of the wait of a long poll.
WATCH_TIMEOUT_S = 4.0
# Lower limit, which bounds the number of calls.
MIN_WATCH_TIMEOUT_S = 0.5
# Time that one more call on a new connection, and the broadcast of its rows
# to other hosts over silent connections, may take.
SPREAD_S = 1.0
# Pause after an update, so that changes in quick succession are read at once.
COALESCE_S = 0.25
INITIAL_RETRY_S = 0.3
MAX_RETRY_S = 2.0
PEER_INTERVAL_S = 0.7
# Longest transfer of a table from another host. A megabyte takes a second on
# the narrowest links of hosts, and requests of callers share them.
TRANSFER_S = 4.0
# Entries that expired during an outage are written again within this time
# after it.
LAPSED_HOLD_S = 2.0
# Rows that a restored older copy lacks are written again within two seconds
# after the restore; one more second allows for their propagation.
RESTORE_HOLD_S = 3.0
# Limit of keys in one log line.
MAX_LOGGED_KEYS = 20
# No entry expires in an outage that is shorter than this.
MIN_LAPSE_OUTAGE_S = 1.0
# Interval at which a host that does not read the store checks whether it has
# become a reader.
ROLE_CHECK_S = 0.25
# Shortest long poll, when it is cut short because a retention ends.
MIN_EXPIRY_WAIT_S = 0.1


def watch_timeout_s(contact_s):
    """Return the wait of a long poll that keeps hosts informed in time.

    The open connections of all hosts may go silent just after their long
    polls were sent. Hosts notice it when these time out, and have to be
    informed again within ``contact_s``.

    Examples
    ========
    >>> round(watch_timeout_s(3.0), 2), watch_timeout_s(60.0)
    (1.2, 4.0)

    Parameters
    ==========
    contact_s : float
        Time in seconds that hosts have to recover from a disturbance.
    """
    wait_s = contact_s - platform.FEED_MARGIN_S - SPREAD_S
    return min(WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, wait_s))


class TableFollower:
    """Maintains the replica of one table and publishes each change.

    Parameters
    ==========
    store : platform.TableStore
        The store.
    table : str
        The name of the table.
    publish : callable
        Is called with a dict of key to value after each change.
    peers : callable
        Returns the connection pools of other hosts, nearest first.
    reads : callable, optional
        Returns whether this host reads the store for itself and others; by
        default it always does.
    retain_lapsed : bool
        Whether rows that expire in an outage are retained for
        LAPSED_HOLD_S.
    retention_s : float
        How long rows are retained that a restored older copy of the store
        lacks.
    is_later : callable, optional
        Returns whether a row's contents show that the store's value was
        written after the earlier one (see ``TableRows``).
    watch_s : float
        The wait of a long poll in seconds.
    contact : StoreContact, optional
        Records the failures of calls for all tables of this host.
    """

    def __init__(
        self,
        store,
        table,
        publish,
        peers,
        reads=lambda: True,
        retain_lapsed=False,
        retention_s=RESTORE_HOLD_S,
        is_later=lambda key, old, new: False,
        watch_s=WATCH_TIMEOUT_S,
        contact=None,
    ):
        self._store = store
        self._table = table
        self._publish = publish
        self._peers = peers
        self._reads = reads
        self._retain_lapsed = retain_lapsed
        self._retention_s = retention_s
        self._watch_s = watch_s
        self._contact = contact or _store_contact.StoreContact()
        self._rows = _table_rows.TableRows(table, retention_s, is_later)
        self._unavailable_since = None
        self._recovered_at = None
        self._answered_at = None
        self._is_fetching = False

    @property
    def rows(self):
        """The effective values by key."""
        return self._rows.values()

    @property
    def revision(self):
        """The store's revision that the replica reflects."""
        return self._rows.revision

    def stored_revision(self, key):
        """Return the revision of the store's row, or None without a row."""
        return self._rows.stored_revision(key)

    def effective_revision(self, key):
        """Return the revision of the effective value, or None without one."""
        return self._rows.effective_revision(key)

    def is_retained(self, key):
        """Return whether a retained row is used in place of the store's."""
        return self._rows.is_retained(key)

    @property
    def unavailable(self):
        """Whether the last call to the store failed."""
        return self._unavailable_since is not None

    def rows_since(self, after=platform.NO_REVISION):
        """Return the changes after a revision as a message to a peer."""
        return self._rows.rows_since(after, time.monotonic())

    async def run(self):
        """Keep the replica up to date until cancelled."""
        pause_s = INITIAL_RETRY_S
        known = False
        while True:
            if self.revision != platform.NO_REVISION and not self._reads():
                self._unavailable_since = None
                self._contact.reset()
                await asyncio.sleep(ROLE_CHECK_S)
                self._expire_retained()
                continue
            called_at = time.monotonic()
            try:
                if known:
                    known = await self._watch_through_silence()
                else:
                    await self._read()
                    known = True
                pause_s = INITIAL_RETRY_S
            except platform.HistoryExpiredError:
                self._log_expired()
                known = False
            except errors.PlatformError as exc:
                self._note_unavailable(exc, called_at)
                # After a long outage the store's history may no longer hold
                # the changes since.
                known = False
                await self._poll_peers_for(pause_s)
                pause_s = min(MAX_RETRY_S, 2 * pause_s)

    async def probe(self):
        """Read the changes by one call; return whether the store answered."""
        try:
            await self._catch_up()
        except errors.PlatformError as exc:
            events.PLATFORM_FAILED.log(why=str(exc))
            return False
        return True

    def assume_unavailable(self, seconds):
        """Treat the next answer as the first one after an outage.

        Parameters
        ==========
        seconds : float
            For how long the store was unavailable, so that rows which lapsed
            meanwhile are retained.
        """
        if self._unavailable_since is None:
            self._unavailable_since = time.monotonic() - seconds

    async def _catch_up(self):
        """Apply the changes so far, without a wait for further ones."""
        try:
            if await self._watch(0.0, pause_s=0.0):
                return
        except platform.HistoryExpiredError:
            self._log_expired()
        await self._read(pause_s=0.0)

    async def _read(self, pause_s=COALESCE_S):
        """Read the whole table and publish it, then pause."""
        called_at = time.monotonic()
        state = await self._store.read_table(self._table)
        self._note_recovered(called_at)
        before = self.revision
        self._rows.apply_snapshot(
            state, time.monotonic(), self._lapsed_until()
        )
        self._log_restored(before)
        self._publish(self.rows)
        await asyncio.sleep(pause_s)

    async def _watch_through_silence(self):
        """Do the same as ``_watch``, also if its connection is silent.

        An open connection may go silent for good while new ones work, so the
        changes since are requested once more before the store counts as
        unavailable.
        """
        try:
            return await self._watch(self._wait_s())
        except errors.SilentPlatformError:
            events.FEED_SILENT.log(
                table=self._table,
                revision=self.revision,
                answer_age_s=self._answer_age_s(),
            )
            return await self._watch(0.0)

    async def _watch(self, wait_s, pause_s=COALESCE_S):
        """Wait for changes and apply them.

        Parameters
        ==========
        wait_s : float
            Longest time in seconds that the store waits for a change.
        pause_s : float
            Pause in seconds after a change.

        Returns
        =======
        bool
            False where the store is in another era, so that the whole table
            has to be read again.
        """
        called_at = time.monotonic()
        state = await self._store.watch(self._table, self.revision, wait_s)
        self._note_recovered(called_at)
        if state.revision.era != self.revision.era:
            return False
        self._rows.apply_changes(state, self._lapsed_until())
        if state.rows:
            self._publish(self.rows)
            await asyncio.sleep(pause_s)
        self._expire_retained()
        return True

    def _wait_s(self):
        until = self._rows.retained_until
        if until is None:
            return self._watch_s
        return min(
            self._watch_s, max(MIN_EXPIRY_WAIT_S, until - time.monotonic())
        )

    def _log_expired(self):
        events.HISTORY_EXPIRED.log(table=self._table, revision=self.revision)

    def _note_unavailable(self, exc, called_at):
        now = time.monotonic()
        silent = isinstance(exc, errors.SilentPlatformError)
        self._contact.record_failure(called_at, now, silent)
        if self._unavailable_since is None:
            self._unavailable_since = now
            events.STORE_LOST.log(
                table=self._table,
                revision=self.revision,
                answer_age_s=self._answer_age_s(),
                why=str(exc),
            )

    def _answer_age_s(self):
        """Return the seconds since the store's last answer, or None."""
        if self._answered_at is None:
            return None
        return round(time.monotonic() - self._answered_at, 2)

    def _note_recovered(self, called_at):
        self._contact.record_answer(called_at)
        self._answered_at = time.monotonic()
        if self._unavailable_since is None:
            return
        now = time.monotonic()
        away_s = now - self._unavailable_since
        events.STORE_REGAINED.log(
            table=self._table, revision=self.revision, away_s=round(away_s, 2)
        )
        if self._retain_lapsed and away_s > MIN_LAPSE_OUTAGE_S:
            self._recovered_at = now
        # Writers could not write anything again during the outage.
        self._rows.extend_retention(
            now + min(LAPSED_HOLD_S, self._retention_s)
        )
        self._unavailable_since = None

    def _lapsed_until(self):
        """Return the time until which missing rows are retained, or None."""
        if self._recovered_at is None:
            return None
        until = self._recovered_at + LAPSED_HOLD_S
        return until if time.monotonic() < until else None

    def _log_restored(self, before):
        if before == platform.NO_REVISION:
            return
        if self.revision.era > before.era:
            events.STORE_RESTORED.log(
                table=self._table,
                known=before,
                revision=self.revision,
                kept=self._rows.retained_count,
            )

    def _expire_retained(self):
        """End retentions that are due; publish the store's rows instead."""
        ended = self._rows.expire_retained(time.monotonic())
        if ended:
            events.RETAINED_ROWS_EXPIRED.log(
                table=self._table,
                revision=self.revision,
                keys=ended[:MAX_LOGGED_KEYS],
            )
            self._publish(self.rows)

    def apply_peer_rows(self, message):
        """Apply a peer's rows; return whether they could be applied.

        Raises
        ======
        ValueError
            If a value is not valid base64.
        """
        before = self._rows.state
        used = self._rows.apply_peer_rows(message, time.monotonic())
        self._store.record_era(self.revision.era)
        if self._rows.state != before:
            self._log_restored(before[0])
            self._publish(self.rows)
        return used

    async def _poll_peers_for(self, pause_s):
        """Fetch newer rows from peers, repeatedly, for a jittered pause.

        It ends early where the next call decides whether this host needs a
        substitute.
        """
        now = time.monotonic()
        end = now + pause_s * random.uniform(0.7, 1.3)
        decides_at = self._contact.decides_at
        if decides_at is not None and now < decides_at:
            end = min(end, decides_at)
        await self.fetch_from_peer()
        while (left_s := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, PEER_INTERVAL_S))
            if left_s > PEER_INTERVAL_S:
                await self.fetch_from_peer()

    async def fetch_from_peer(self, pool=None, whole=False):
        """Fetch newer rows from another host.

        Parameters
        ==========
        pool : Pool, optional
            The connections to that host; by default a random host is chosen.
        whole : bool
            Whether to fetch the whole table, which includes the rows that
            the peer retains since a restore of the store, even if it has no
            newer revision.
        """
        if self._is_fetching:
            # A second transfer would slow down the first one. Gossip shows
            # again that a host has newer rows, if the first has not brought
            # them.
            return
        if pool is None:
            pools = self._peers()
            if not pools:
                return
            pool = random.choice(pools)
        self._is_fetching = True
        try:
            await self._fetch(pool, whole)
        finally:
            self._is_fetching = False

    async def _fetch(self, pool, whole):
        after = platform.NO_REVISION if whole else self.revision
        try:
            status, body = await pool.call_json(
                'GET',
                f'/peer/v1/rows?table={self._table}'
                f'&era={after.era}&after={after.number}',
                transfer_s=TRANSFER_S,
                headers=[('accept-encoding', connection.coding.CODING)],
            )
            if status != 200:
                return
            self.apply_peer_rows(
                json_text.decode(body, _row_messages.PeerRows)
            )
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
            # Raised for a value that is not valid base64.
            ValueError,
        ) as exc:
            events.PEER_FAILED.log(
                table=self._table, peer=None, why=repr(exc), bytes=None
            )

"""Stores idempotency keys, so that each request runs at most once."""

import collections
import dataclasses
import re

EPOCH_S = 60
RETAINED_EPOCHS = 30
KEY_LIMIT = 200
_KEY = re.compile(r'^([\w.-]+)~(\w+)~(\d{1,9})~([\w.:-]+)$', re.ASCII)


@dataclasses.dataclass(frozen=True)
class Key:
    """A parsed idempotency key.

    Parameters
    ==========
    text : str
        The whole key.
    host : str
        The entry host that issued its prefix.
    boot : str
        The id of the start of that host's process.
    epoch : int
        Minutes from that start to the issue of the prefix.
    """

    text: str
    host: str
    boot: str
    epoch: int


def parse_key(text):
    """Return the parts of a key that an entry host issued, or None.

    Examples
    ========
    >>> parse_key('entry-1~a1b2~3~mine').epoch
    3
    >>> parse_key('mine') is None
    True
    """
    if len(text) > KEY_LIMIT:
        return None
    found = _KEY.match(text)
    if found is None:
        return None
    return Key(text, found[1], found[2], int(found[3]))


@dataclasses.dataclass(frozen=True)
class Record:
    """The stored answer of a request that ran.

    Parameters
    ==========
    status : int
        HTTP status.
    headers : tuple of (str, str)
        The headers to send with a repeated answer.
    body : str or None
        Base64 of the body, or None if it was too large to be stored.
    """

    status: int
    headers: tuple
    body: str | None


@dataclasses.dataclass(frozen=True)
class Granted:
    """The holder may run the request; no other holder may."""


@dataclasses.dataclass(frozen=True)
class Running:
    """Another holder has the claim; it may be running or have failed."""


@dataclasses.dataclass(frozen=True)
class Finished:
    """The request ran; its answer is included."""

    record: Record


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """Whether the request ran can no longer be determined."""

    reason: str


@dataclasses.dataclass
class _Entry:
    holder: str
    record: Record | None = None


class ClaimLedger:
    """The idempotency keys that one entry host issued, held in memory.

    Explanation
    ===========
    A claim never expires by itself; only its holder releases it. A holder that
    was paused therefore cannot run a request that another holder has been
    granted meanwhile. Each key contains the time at which its prefix was
    issued. A key older than the retention period is refused, as its request
    may have run before.

    Examples
    ========
    >>> ledger = ClaimLedger('entry-1', 'b00t', started=0.0)
    >>> key = parse_key(ledger.prefix(0.0) + 'x')
    >>> ledger.claim(key, 'holder-1', 0.0)
    Granted()
    >>> ledger.claim(key, 'holder-2', 0.0)
    Running()

    Parameters
    ==========
    host : str
        The name of the entry host.
    boot : str
        Unique for each start of the process.
    started : float
        The monotonic time of the start in seconds.
    """

    def __init__(self, host, boot, started):
        self._host = host
        self._boot = boot
        self._started = started
        self._epochs = collections.OrderedDict()

    def __len__(self):
        return sum(len(keys) for keys in self._epochs.values())

    def _epoch(self, now):
        return int((now - self._started) // EPOCH_S)

    def prefix(self, now):
        """Return the prefix of keys issued now."""
        return f'{self._host}~{self._boot}~{self._epoch(now)}~'

    def _drop_expired(self, now):
        oldest = self._epoch(now) - RETAINED_EPOCHS
        for epoch in [e for e in self._epochs if e < oldest]:
            del self._epochs[epoch]

    def claim(self, key, holder, now):
        """Request the exclusive right to run the request of a key.

        Parameters
        ==========
        key : Key
            The parsed key.
        holder : str
            Unique for each attempt. The same holder may repeat its claim.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        Granted, Running, Finished or Forgotten
        """
        if key.host != self._host or key.boot != self._boot:
            return Forgotten('its entry host was restarted')
        self._drop_expired(now)
        current = self._epoch(now)
        if key.epoch < current - RETAINED_EPOCHS or key.epoch > current:
            return Forgotten('its prefix is too old')
        entries = self._epochs.setdefault(key.epoch, {})
        entry = entries.get(key.text)
        if entry is None:
            entries[key.text] = _Entry(holder)
            return Granted()
        if entry.record is not None:
            return Finished(entry.record)
        return Granted() if entry.holder == holder else Running()

    def _held_entry(self, key, holder):
        entry = self._epochs.get(key.epoch, {}).get(key.text)
        if entry is None or entry.holder != holder:
            return None
        return entry

    def finish(self, key, holder, record):
        """Store the answer of a request that ran."""
        entry = self._held_entry(key, holder)
        if entry is not None:
            entry.record = record

    def release(self, key, holder):
        """Release a claim of a request that certainly has not run."""
        entry = self._held_entry(key, holder)
        if entry is not None and entry.record is None:
            del self._epochs[key.epoch][key.text]

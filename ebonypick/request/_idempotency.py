"""Stores idempotency keys, so that each request runs at most once."""

import collections
import dataclasses
import re

EPOCH_S = 60
RETAINED_EPOCHS = 30
KEY_LIMIT = 200
# Memory that the keys of a host may take, and that of a key without an answer.
LEDGER_BYTES = 32 << 20
KEY_BYTES = 600
# Memory of a header field besides its characters.
FIELD_BYTES = 160
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

    @property
    def size(self):
        """Memory in bytes."""
        fields = sum(
            FIELD_BYTES + len(name) + len(value)
            for name, value in self.headers
        )
        return fields + len(self.body or '')


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


@dataclasses.dataclass(frozen=True)
class NoRoom:
    """The keys issued last take all memory; the request was not run."""


@dataclasses.dataclass
class _Entry:
    holder: str
    record: Record | None = None


@dataclasses.dataclass
class _Epoch:
    """The keys whose prefix was issued in the same minute."""

    entries: dict = dataclasses.field(default_factory=dict)
    size: int = 0


class ClaimLedger:
    """The idempotency keys that one entry host issued, held in memory.

    Explanation
    ===========
    A claim never expires by itself; only its holder releases it. A holder that
    was paused therefore cannot run a request that another holder has been
    granted meanwhile. Each key contains the time at which its prefix was
    issued. A key older than the retention period is refused, as its request
    may have run before. While clients use so many keys that they exceed
    ``max_bytes``, the period is shorter.

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
    max_bytes : int
        Maximum memory of the keys and their answers in bytes.
    """

    def __init__(self, host, boot, started, max_bytes=LEDGER_BYTES):
        self._host = host
        self._boot = boot
        self._started = started
        self._max_bytes = max_bytes
        self._epochs = collections.OrderedDict()
        # Keys of earlier epochs have been forgotten.
        self._oldest = 0

    def __len__(self):
        return sum(len(epoch.entries) for epoch in self._epochs.values())

    def _epoch(self, now):
        return int((now - self._started) // EPOCH_S)

    def prefix(self, now):
        """Return the prefix of keys issued now."""
        return f'{self._host}~{self._boot}~{self._epoch(now)}~'

    def _drop_expired(self, now):
        self._oldest = max(self._oldest, self._epoch(now) - RETAINED_EPOCHS)
        while self._size() >= self._max_bytes and min(self._epochs) < (
            self._epoch(now)
        ):
            self._oldest = min(self._epochs) + 1
            del self._epochs[self._oldest - 1]
        for epoch in [e for e in self._epochs if e < self._oldest]:
            del self._epochs[epoch]

    def _size(self):
        return sum(epoch.size for epoch in self._epochs.values())

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
        Granted, Running, Finished, Forgotten or NoRoom
        """
        if key.host != self._host or key.boot != self._boot:
            return Forgotten('its entry host was restarted')
        self._drop_expired(now)
        current = self._epoch(now)
        if key.epoch < self._oldest or key.epoch > current:
            return Forgotten('its prefix is too old')
        epoch = self._epochs.setdefault(key.epoch, _Epoch())
        entry = epoch.entries.get(key.text)
        if entry is None:
            if self._size() >= self._max_bytes:
                return NoRoom()
            epoch.entries[key.text] = _Entry(holder)
            epoch.size += KEY_BYTES
            return Granted()
        if entry.record is not None:
            return Finished(entry.record)
        return Granted() if entry.holder == holder else Running()

    def _held_entry(self, key, holder):
        """Return the epoch and the entry of a claim, or two times None."""
        epoch = self._epochs.get(key.epoch)
        entry = epoch.entries.get(key.text) if epoch else None
        if entry is None or entry.holder != holder:
            return None, None
        return epoch, entry

    def finish(self, key, holder, record):
        """Store the answer of a request that ran."""
        epoch, entry = self._held_entry(key, holder)
        if entry is not None:
            before = entry.record.size if entry.record else 0
            epoch.size += record.size - before
            entry.record = record

    def release(self, key, holder):
        """Release a claim of a request that certainly has not run."""
        epoch, entry = self._held_entry(key, holder)
        if entry is not None and entry.record is None:
            del epoch.entries[key.text]
            epoch.size -= KEY_BYTES

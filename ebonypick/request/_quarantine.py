"""Withholds requests that crash the backend servers which run them.

Load: a request crashes each server that begins to run it, and callers send it
again and again, at any entry host. A crash takes all requests with it that the
server was running, so a single loss says little. A request that was lost with
two servers and was answered by none in between is withheld on all hosts. As
chance can do that too, one host tries it once more after a while; after the
third crash it is not sent again.
"""

import collections
import dataclasses
import random

import xxhash

from ebonypick.request import _rank
from ebonypick.request import _sample

# Number of crashed servers from which on only one host tries a request.
WITHHELD_FROM = 2
# Number from which on no host sends it.
CONVICTED_FROM = 3
# Time after the last crash, or the last trial, before a trial.
TRIAL_AFTER_S = 10.0
# Time after which a withheld request is forgotten: operators may have mended
# the servers by then.
FORGET_AFTER_S = 3_600.0
# Crashes that are recorded of one request. More of them change nothing.
MAX_CRASHES = 6
# Requests that are recorded in each of the two groups, some 200 bytes each.
MAX_RECORDS = 5_000
# A peer's record with a higher turn would never be superseded.
MAX_TURN = 1 << 40


def fingerprint(*parts):
    """Return a digest of a request's identity.

    Examples
    ========
    >>> fingerprint(b'GET', b'/a') == fingerprint(b'GET', b'/a')
    True
    >>> fingerprint(b'ab', b'c') == fingerprint(b'a', b'bc')
    False

    Parameters
    ==========
    parts : bytes
        All that tells the request from others, in a fixed order.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """What is known of a request that servers crashed with.

    Parameters
    ==========
    turn : int
        Number of times that an answer cleared the request.
    crashed : frozenset of str
        The starts of servers that crashed with it since then.
    """

    turn: int = 0
    crashed: frozenset = frozenset()

    def merge(self, other):
        """Return what two hosts know together."""
        if self.turn != other.turn:
            return max(self, other, key=lambda record: record.turn)
        return CrashRecord(self.turn, self.crashed | other.crashed)


@dataclasses.dataclass
class _Known:
    """A record and the times of its last change and last trial."""

    record: CrashRecord
    changed_at: float
    tried_at: float = float('-inf')


class Quarantine:
    """The requests that servers crashed with, as one host knows them.

    Examples
    ========
    >>> quarantine = Quarantine('h1')
    >>> for start in ('i-1/5', 'i-2/5'):
    ...     _ = quarantine.note_crash('d', start, 0.0)
    >>> quarantine.withholds('d', 1.0), quarantine.withholds('e', 1.0)
    (True, False)

    Parameters
    ==========
    host : str
        The name of this entry host.
    rng : random.Random, optional
        Chooses the records that are sent to other hosts.
    """

    def __init__(self, host, rng=None):
        self._host = host
        self._rng = rng or random.Random(0)
        self._hosts = (host,)
        self._suspected = collections.OrderedDict()
        self._withheld = collections.OrderedDict()

    def set_hosts(self, hosts):
        """Set the names of the live entry hosts."""
        self._hosts = tuple(hosts) or (self._host,)

    @property
    def empty(self):
        """Whether no request is recorded."""
        return not (self._suspected or self._withheld)

    @property
    def withheld_count(self):
        """The number of requests that are withheld."""
        return len(self._withheld)

    def _find(self, digest):
        return self._withheld.get(digest) or self._suspected.get(digest)

    def crashes(self, digest):
        """Return the number of known servers that a request crashed."""
        known = self._find(digest)
        return 0 if known is None else len(known.record.crashed)

    def note_crash(self, digest, start, now):
        """Record that a server crashed while it ran a request.

        Parameters
        ==========
        digest : str
            The request.
        start : str
            The start of the server.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        int
            The number of crashes that are known now.
        """
        known = self._find(digest)
        record = CrashRecord() if known is None else known.record
        found = dataclasses.replace(record, crashed=record.crashed | {start})
        self.merge(digest, found, now)
        return len(found.crashed)

    def note_answer(self, digest, now):
        """Clear a request that a server ran to its end."""
        known = self._find(digest)
        if known is not None and known.record.crashed:
            self.merge(digest, CrashRecord(known.record.turn + 1), now)

    def merge(self, digest, record, now):
        """Apply what another host knows; return whether it was news.

        Parameters
        ==========
        digest : str
            The request.
        record : CrashRecord
            What the other host knows of it.
        now : float
            Monotonic time in seconds.
        """
        known = self._find(digest)
        before = CrashRecord() if known is None else known.record
        after = before.merge(record)
        if record.turn > MAX_TURN or after == before:
            return False
        if len(before.crashed) >= MAX_CRASHES and before.turn == after.turn:
            return False
        self._store(digest, after, known, now)
        return True

    def _store(self, digest, record, known, now):
        self._suspected.pop(digest, None)
        self._withheld.pop(digest, None)
        tried_at = float('-inf') if known is None else known.tried_at
        withheld = len(record.crashed) >= WITHHELD_FROM
        group = self._withheld if withheld else self._suspected
        group[digest] = _Known(record, now, tried_at)
        while len(group) > MAX_RECORDS:
            group.popitem(last=False)

    def _expire(self, now):
        """Forget the records that have not changed for a long time."""
        for group in (self._suspected, self._withheld):
            while group:
                digest, known = next(iter(group.items()))
                if now < known.changed_at + FORGET_AFTER_S:
                    break
                del group[digest]

    def withholds(self, digest, now):
        """Return whether a request must not be sent to a server now.

        Where the result is false for a withheld request, it counts as the
        trial.
        """
        self._expire(now)
        known = self._withheld.get(digest)
        if known is None:
            return False
        if len(known.record.crashed) >= CONVICTED_FROM:
            return True
        last = max(known.changed_at, known.tried_at)
        if now < last + TRIAL_AFTER_S or not self._is_trial_host(digest):
            return True
        known.tried_at = now
        return False

    def _is_trial_host(self, digest):
        """Return whether this host makes the trial of a request."""
        return _rank.rendezvous(digest, self._hosts) == (self._host,)

    def to_send(self, count):
        """Return some records for another host, withheld requests first.

        Parameters
        ==========
        count : int
            Number of records at most.

        Returns
        =======
        list of (str, CrashRecord)
        """
        found = []
        for group in (self._withheld, self._suspected):
            rows = [(digest, group[digest].record) for digest in group]
            rows.reverse()
            found += _sample.newest_and_others(
                rows, count - len(found), self._rng
            )
        return found

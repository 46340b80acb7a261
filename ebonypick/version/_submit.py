"""Submits a configuration by compare-and-set; a pure state machine.

Each state says which platform operation comes next; the result, or the
lack of one, gives the next state.
"""

import dataclasses

from ebonypick.version import _holder

TRIES = 4


@dataclasses.dataclass(frozen=True)
class Row:
    """The row of a version in the platform's table."""

    number: int
    digest: str
    submission: str
    by: str
    accepted_at: str = ''
    note: str = ''


@dataclasses.dataclass(frozen=True)
class PutObject:
    """Store the bundle under its digest."""

    key: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Commit:
    """Move the current row from ``base`` to ``row``."""

    base: int
    row: Row


@dataclasses.dataclass(frozen=True)
class ReadRow:
    """Read the row of version ``number``, to settle a lost reply."""

    number: int


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The submission is version ``number``."""

    number: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another submission became the version."""

    row: Row


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The platform did not say what happened."""

    submission: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Submission:
    """A submission on its way; immutable, each event gives the next one.

    Parameters
    ==========
    row : Row
        The row that it wants to be accepted as.
    data : bytes
        The bundle's encoding.
    step : str
        ``put``, ``commit`` or ``settle``.
    tries : int
        Failed operations so far in this step.
    committed : bool
        Whether a commit may have taken effect.
    """

    row: Row
    data: bytes
    step: str = 'put'
    tries: int = 0
    committed: bool = False

    def operation(self):
        """Return the next platform operation."""
        if self.step == 'put':
            return PutObject(f'config/{self.row.digest}', self.data)
        if self.step == 'commit':
            return Commit(self.row.number - 1, self.row)
        return ReadRow(self.row.number)

    def succeed(self, found=None):
        """Return what follows when the operation was answered.

        Parameters
        ==========
        found : Row or None
            For a commit, the row that stands where it lost; for a read,
            the row found or None.
        """
        if self.step == 'put':
            return dataclasses.replace(self, step='commit', tries=0)
        if self.step == 'commit' and found is None:
            return Accepted(self.row.number)
        if found is None:
            # The row is free: the commit did not take effect so far. It is
            # repeated, which is safe, as the row admits only one.
            return dataclasses.replace(self, step='commit')
        if found.submission == self.row.submission:
            return Accepted(self.row.number)
        return Conflict(found)

    def fail(self, reason):
        """Return what follows when an operation got no answer."""
        committed = self.committed or self.step == 'commit'
        if self.tries + 1 >= TRIES:
            return Undecided(self.row.submission, reason)
        step = 'settle' if committed else self.step
        return dataclasses.replace(
            self, step=step, tries=self.tries + 1, committed=committed
        )


def make_submission(bundle, base_number, submission, by, note=''):
    """Return the submission of a bundle that is based on a version.

    Parameters
    ==========
    bundle : Bundle
        Valid files.
    base_number : int
        The version that the operator's files were based on.
    submission : str
        A unique id.
    by : str
        Who submits.
    note : str
        Why.
    """
    number = base_number + 1
    digest = _holder.bundle_digest(bundle)
    row = Row(number, digest, submission, by, note=note)
    return Submission(row, _holder.encode_bundle(bundle))


def changed_paths(old, new):
    """Return the names of the files that differ between two bundles."""
    names = ['base.json'] if old.base != new.base else []
    sites = sorted(set(old.overlays) | set(new.overlays))
    names.extend(
        f'sites/{name}.json'
        for name in sites
        if old.overlays.get(name) != new.overlays.get(name)
    )
    return tuple(names)

"""Submits a configuration by compare-and-set, as a pure state machine.

Each state gives the next platform operation. The result of the operation,
or its failure, determines the next state.
"""

import dataclasses

from ebonypick.version import _holder

# Number of failed operations after which the outcome is left undecided.
MAX_TRIES = 4


@dataclasses.dataclass(frozen=True)
class Row:
    """The row of a configuration version in the platform's table."""

    number: int
    digest: str
    submission: str
    by: str
    accepted_at: str = ''
    note: str = ''


@dataclasses.dataclass(frozen=True)
class PutObject:
    """The operation that stores a bundle under its digest."""

    key: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Commit:
    """The operation that replaces version ``base`` by ``row``."""

    base: int
    row: Row


@dataclasses.dataclass(frozen=True)
class ReadRow:
    """The operation that reads a version's row after a lost reply."""

    number: int


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The result of a submission that became version ``number``."""

    number: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The result of a submission that lost to another one."""

    row: Row


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The result of a submission whose outcome is unknown."""

    submission: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Submission:
    """A submission in progress; immutable, each event returns the next state.

    Parameters
    ==========
    row : Row
        The row that the submission tries to commit.
    data : bytes
        The encoded bundle.
    step : str
        The current step: ``put``, ``commit`` or ``settle``.
    tries : int
        Number of failed operations: of the put, or of the commit and the
        reads that settle it.
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
        """Return the next state or the result after an answered operation.

        Parameters
        ==========
        found : Row or None
            After a lost commit, the row in the table; after a read, the row
            found, or None if there is none.
        """
        if self.step == 'put':
            return dataclasses.replace(self, step='commit', tries=0)
        if self.step == 'commit' and found is None:
            return Accepted(self.row.number)
        if found is None:
            # The row does not exist, so the commit has not taken effect. It
            # is safe to repeat, because the row can be created only once.
            return dataclasses.replace(self, step='commit')
        if found.submission == self.row.submission:
            return Accepted(self.row.number)
        return Conflict(found)

    def fail(self, reason):
        """Return the next state or the result after a failed operation."""
        committed = self.committed or self.step == 'commit'
        if self.tries + 1 >= MAX_TRIES:
            return Undecided(self.row.submission, reason)
        step = 'settle' if committed else self.step
        return dataclasses.replace(
            self, step=step, tries=self.tries + 1, committed=committed
        )


def make_submission(bundle, base_number, submission, by, note=''):
    """Return the submission of a bundle as the successor of a version.

    Parameters
    ==========
    bundle : Bundle
        The files, which are valid.
    base_number : int
        The number of the version that the operator's files are based on.
    submission : str
        The unique ID of the submission.
    by : str
        The operator who submits.
    note : str
        The reason for the change.
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

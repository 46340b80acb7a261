"""Tests concurrent submissions to a platform that is slow, down or lossy."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonypick import version

OPERATORS = ('anna', 'bjarni', 'carla')


class Table:
    """A table of version rows with compare-and-set."""

    def __init__(self):
        self.rows = {}

    @property
    def current(self):
        return max(self.rows, default=0)

    def commit(self, operation):
        if operation.base != self.current:
            return self.rows.get(operation.row.number)
        self.rows[operation.row.number] = operation.row
        return None


class SubmitMachine(stateful.RuleBasedStateMachine):
    """Submits with operations that fail, lose their reply or arrive late."""

    def __init__(self):
        super().__init__()
        self.table = Table()
        self.states = {}
        self.late = []
        self.names = itertools.count()
        self.ended = []

    @stateful.rule(by=st.sampled_from(OPERATORS), behind=st.integers(0, 1))
    def start(self, by, behind):
        base = max(0, self.table.current - behind)
        bundle = version.Bundle(f'{{"n": {next(self.names)}}}', {})
        name = f's{next(self.names)}'
        state = version.make_submission(bundle, base, name, by)
        self.states.setdefault(by, state)

    @stateful.precondition(lambda self: self.states)
    @stateful.rule(
        data=st.data(),
        reply=st.sampled_from(['answered', 'lost', 'down', 'late']),
    )
    def step(self, data, reply):
        by = data.draw(st.sampled_from(sorted(self.states)))
        state = self.states[by]
        operation = state.operation()
        if reply == 'down':
            after = state.fail('down')
        elif reply == 'late':
            self.late.append(operation)
            after = state.fail('slow')
        elif reply == 'lost':
            self.apply(operation)
            after = state.fail('lost')
        else:
            after = state.succeed(self.apply(operation))
        if isinstance(after, version.Submission):
            self.states[by] = after
            return
        del self.states[by]
        self.ended.append((state.row, after))

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_operation_arrives(self):
        self.apply(self.late.pop(0))

    def apply(self, operation):
        if isinstance(operation, version.Commit):
            return self.table.commit(operation)
        if isinstance(operation, version.ReadRow):
            return self.table.rows.get(operation.number)
        return None

    @stateful.invariant()
    def reported_results_match_the_table(self):
        for row, after in self.ended:
            committed_row = self.table.rows.get(row.number)
            if isinstance(after, version.Accepted):
                assert committed_row.submission == row.submission
            elif isinstance(after, version.Conflict):
                assert committed_row.submission != row.submission

    @stateful.invariant()
    def versions_have_no_gap(self):
        assert sorted(self.table.rows) == list(
            range(1, self.table.current + 1)
        )


TestSubmit = SubmitMachine.TestCase
TestSubmit.settings = hypothesis.settings(stateful_step_count=60)


def test_lost_reply_is_settled_by_reading_back():
    """A commit that took effect is reported as accepted after a read."""
    table = Table()
    state = version.make_submission(version.Bundle('{}', {}), 0, 's', 'a')
    state = state.succeed()
    table.commit(state.operation())
    state = state.fail('lost')
    found = state.succeed(table.rows[1])
    assert found == version.Accepted(1)


def test_conflict_names_the_winning_submission():
    """The conflict contains the row that was committed first."""
    table = Table()
    one = version.make_submission(version.Bundle('{}', {}), 0, 's1', 'anna')
    two = version.make_submission(version.Bundle('{}', {}), 0, 's2', 'carla')
    table.commit(one.succeed().operation())
    commit = two.succeed()
    found = commit.succeed(table.commit(commit.operation()))
    assert found.row.by == 'anna'

"""Tests the owner of slots under arbitrary orders of events."""

import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonypick import request

SERVERS = ('b1', 'b2', 'b3')
RESERVE = 0.25


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Mixes offers, ends, failures, drains and changes of ownership."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.owner = request.SlotOwner(
            request.OwnerSettings(
                queue_wait_s=1.0, warm_s=2.0, reserve_share=RESERVE
            )
        )
        self.slots = {'b1': 2, 'b2': 3}
        self.leaving = frozenset()
        self.owner.update(self.slots, self.now)
        self.placed = {}
        self.waiting = {}
        self.ended = set()

    def take(self, decisions):
        for decision in decisions:
            deadline = self.waiting.pop(decision.req)
            assert decision.req not in self.ended
            if isinstance(decision, request.Placed):
                assert deadline > self.now
                self.note_placed(decision)
            else:
                self.ended.add(decision.req)

    def note_placed(self, decision):
        assert decision.backend in self.slots
        assert decision.backend not in self.leaving
        self.placed[decision.req] = decision.backend

    @stateful.rule(
        gap_s=st.floats(0, 0.3),
        left_s=st.floats(0, 2),
        foreign=st.booleans(),
        avoid=st.sets(st.sampled_from(SERVERS)),
    )
    def offer(self, gap_s, left_s, foreign, avoid):
        self.now += gap_s
        self.count += 1
        req = f'r{self.count}'
        before = self.owner.load(self.now)
        decision = self.owner.offer(
            request.Offer(
                req, self.now + left_s, foreign, avoid=frozenset(avoid)
            ),
            self.now,
        )
        if isinstance(decision, request.Queued):
            assert not foreign
            assert decision.wait_s <= left_s
            self.waiting[req] = self.now + left_s
        elif isinstance(decision, request.Placed):
            self.note_placed(decision)
            if foreign:
                kept = math.ceil(RESERVE * before.capacity)
                after = self.owner.load(self.now)
                assert after.free >= min(kept, before.capacity - 1)
        else:
            assert decision.retry_after_s > 0
            self.ended.add(req)

    @stateful.precondition(lambda self: self.placed)
    @stateful.rule(
        data=st.data(),
        result=st.sampled_from(list(request.Result)),
        gap_s=st.floats(0, 0.5),
    )
    def finish(self, data, result, gap_s):
        self.now += gap_s
        req = data.draw(st.sampled_from(sorted(self.placed)))
        del self.placed[req]
        self.ended.add(req)
        self.take(self.owner.finish(req, result, self.now))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        req = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.owner.cancel(req)
        del self.waiting[req]
        self.ended.add(req)

    @stateful.rule(gap_s=st.floats(0, 3))
    def tick(self, gap_s):
        self.now += gap_s
        self.take(self.owner.tick(self.now))

    @stateful.rule(
        names=st.sets(st.sampled_from(SERVERS)),
        leaving=st.sets(st.sampled_from(SERVERS)),
        slots=st.integers(1, 3),
    )
    def update(self, names, leaving, slots):
        self.slots = dict.fromkeys(sorted(names), slots)
        self.leaving = frozenset(leaving)
        self.take(self.owner.update(self.slots, self.now, self.leaving))

    @stateful.rule(name=st.sampled_from(SERVERS), cold=st.booleans())
    def report(self, name, cold):
        report = request.Report(0, 3, False, cold)
        self.take(self.owner.report(name, report, self.now))

    @stateful.rule(name=st.sampled_from(SERVERS), well=st.booleans())
    def probe(self, name, well):
        if well:
            self.take(self.owner.recovered(name, self.now))
        else:
            self.owner.suspend(name, self.now)

    @stateful.invariant()
    def no_slot_is_given_twice(self):
        held = {}
        for backend in self.placed.values():
            held[backend] = held.get(backend, 0) + 1
        assert dict(self.owner.held_by_backend()) == held

    @stateful.invariant()
    def totals_match_the_servers(self):
        load = self.owner.load(self.now)
        rooms = [row[2] for row in self.owner.states()]
        free = [max(0, row[2] - row[1]) for row in self.owner.states()]
        assert load.capacity == sum(rooms)
        assert load.free == sum(free)
        assert load.queued == len(self.waiting)

    @stateful.invariant()
    def no_room_past_the_slots(self):
        for name, _, room, leaving in self.owner.states():
            assert room <= self.slots[name]
            assert not (leaving and room)


TestOwner = OwnerMachine.TestCase
TestOwner.settings = hypothesis.settings(stateful_step_count=60)


def _full_owner(slots):
    owner = request.SlotOwner(request.OwnerSettings(service_s=0.1))
    owner.update({'b1': slots}, 0.0)
    for number in range(slots):
        owner.offer(request.Offer(f'r{number}', 10.0), 0.0)
    return owner


def test_queue_is_ordered_by_deadline():
    """The request whose deadline comes first gets the next slot."""
    owner = _full_owner(1)
    owner.offer(request.Offer('late', 9.0), 0.0)
    owner.offer(request.Offer('soon', 3.0), 0.0)
    done = owner.finish('r0', request.Result.DONE, 0.1)
    assert [decision.req for decision in done] == ['soon']


def test_request_that_would_miss_its_deadline_is_refused():
    """A refusal for a wait past the deadline states when to retry."""
    owner = _full_owner(1)
    decision = owner.offer(request.Offer('x', 0.05), 0.0)
    assert isinstance(decision, request.NoSlot)
    assert decision.retry_after_s >= 0.1


def test_leaving_server_gets_no_new_requests_but_keeps_its_own():
    """A drain interrupts no request and assigns no slot."""
    owner = _full_owner(2)
    owner.update({'b1': 2}, 0.0, frozenset({'b1'}))
    assert owner.held_by_backend()['b1'] == 2
    owner.finish('r0', request.Result.DONE, 0.1)
    decision = owner.offer(request.Offer('x', 10.0), 0.2)
    assert isinstance(decision, request.NoSlot)


def test_server_that_withdraws_its_departure_gets_requests_again():
    """Only the server's report is withdrawn, not a drain of operators."""
    owner = request.SlotOwner(request.OwnerSettings())
    owner.update({'b1': 2}, 0.0)
    owner.report('b1', request.Report(0, 2, leaving=True), 0.0)
    assert owner.load(0.0).capacity == 0
    owner.report('b1', request.Report(0, 2), 1.0)
    assert owner.load(1.0).capacity == 2
    owner.update({'b1': 2}, 2.0, frozenset({'b1'}))
    owner.report('b1', request.Report(0, 2), 3.0)
    assert owner.load(3.0).capacity == 0


def test_planned_shift_uses_the_reserve_but_never_the_queue():
    """Operators chose the shift; the queue stays reserved for own callers."""
    owner = request.SlotOwner(request.OwnerSettings(reserve_share=0.5))
    owner.update({'b1': 2}, 0.0)
    owner.offer(request.Offer('own', 9.0), 0.0)
    spill = owner.offer(request.Offer('spill', 9.0, True), 0.0)
    assert isinstance(spill, request.NoSlot)
    moved = owner.offer(request.Offer('moved', 9.0, True, True), 0.0)
    assert isinstance(moved, request.Placed)
    more = owner.offer(request.Offer('more', 9.0, True, True), 0.0)
    assert isinstance(more, request.NoSlot)


def test_sheds_lower_the_limit_and_successes_raise_it_again():
    """The limit adapts when another owner uses the same slots."""
    owner = request.SlotOwner(request.OwnerSettings())
    owner.update({'b1': 8}, 0.0)
    for number in range(4):
        owner.offer(request.Offer(f's{number}', 10.0), 0.0)
        owner.finish(f's{number}', request.Result.SHED, 0.0)
    assert owner.load(0.0).capacity == 1
    for number in range(200):
        owner.offer(request.Offer(f'd{number}', 10.0), 0.0)
        owner.finish(f'd{number}', request.Result.DONE, 0.0)
    assert owner.load(0.0).capacity == 8


def test_cold_server_gets_its_slots_gradually():
    """A cold server gets part of its slots at first, and all of them later."""
    owner = request.SlotOwner(request.OwnerSettings(warm_s=10))
    owner.update({'b1': 10}, 0.0)
    owner.report('b1', request.Report(0, 10, cold=True), 100.0)
    rooms = []
    for now in (100.0, 105.0, 110.0):
        owner.tick(now)
        rooms.append(owner.load(now).capacity)
    assert rooms == [3, 6, 10]


def test_heap_of_servers_is_bounded():
    """Outdated entries are dropped even while one server stays unused."""
    owner = request.SlotOwner(request.OwnerSettings())
    owner.update({'b1': 3, 'b2': 3}, 0.0)
    owner.offer(request.Offer('kept', 10.0), 0.0)
    for number in range(5000):
        owner.offer(request.Offer(f'r{number}', 10.0), 0.0)
        owner.finish(f'r{number}', request.Result.DONE, 0.0)
    assert len(owner._ranked) < 200

"""Tests of routing and of the exchange of leaving targets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ..._ids import MemberId, TargetId
from .. import LeavingMark, LeavingTargets, LinkBudget, RouteKind, partition_of, route
from .._routing import LEAVING_SECONDS, RENEWAL_SECONDS
from .builders_requests import VANUA, VITI, member_load, route_input

NOW = 100.0
LINKS = {VANUA: LinkBudget(10_000.0)}


class RouteTest(unittest.TestCase):
    """Single decisions."""

    def test_order_of_choices(self) -> None:
        """Own slots come first, then peers of the region, the shortest queue, and the link."""
        near, far = member_load("near", measured_at=NOW), member_load(
            "far", measured_at=NOW, region=VANUA
        )
        full = member_load("near", free=0, queued=3, measured_at=NOW)
        stale = member_load("near", measured_at=NOW - 5)
        stale_far = member_load("far", measured_at=NOW - 5, region=VANUA)
        jam = member_load("near", free=0, queued=90, measured_at=NOW)
        cases = [
            ("own slot", route_input({"a": 1, "b": 2}, (near,)), RouteKind.OWN_TARGET),
            ("peer with room", route_input({"a": 0}, (near, far)), RouteKind.FORWARD),
            ("no own targets", route_input({}, (near,)), RouteKind.FORWARD),
            ("own queue shorter", route_input({"a": 0}, (full,), queued=1), RouteKind.QUEUE),
            ("peer's queue shorter", route_input({"a": 0}, (full,), queued=8), RouteKind.FORWARD),
            ("silent peer", route_input({"a": 0}, (stale,)), RouteKind.QUEUE),
            ("silent peer, own jam", route_input({"a": 0}, (stale,), queued=90), RouteKind.FORWARD),
            ("all jammed", route_input({"a": 0}, (jam, far), queued=95), RouteKind.SPILL),
            ("only far targets", route_input({}, (far,)), RouteKind.SPILL),
            ("stale far targets", route_input({}, (stale_far,)), RouteKind.REFUSE),
            ("nothing anywhere", route_input({}, ()), RouteKind.REFUSE),
            ("jam", route_input({"a": 0}, (jam,), queued=95), RouteKind.REFUSE),
            ("forwarded", route_input({"a": 0}, (near,), forwarded=True), RouteKind.QUEUE),
            (
                "forwarded, jam",
                route_input({"a": 0}, (near,), 90, forwarded=True),
                RouteKind.REFUSE,
            ),
            ("deadline near", route_input({"a": 0}, (), 0, time_left=0.05), RouteKind.REFUSE),
        ]
        for name, asked, expected in cases:
            with self.subTest(name):
                self.assertIs(route(asked, LINKS, NOW).kind, expected)
        self.assertEqual(route(cases[0][1], LINKS, NOW).target_id, TargetId("b"))

    def test_requests_in_flight_count_against_free_slots(self) -> None:
        """Ten requests arrive between two messages of a peer that has one free slot.

        If each were routed to that slot, nine would have to wait.
        """
        tempting = member_load("a", free=1, measured_at=NOW, sent_since=1)
        alternative = member_load("b", free=1, measured_at=NOW)
        for draw in [(0.0, 0.0), (0.9, 0.9)]:
            chosen = route(route_input({}, (tempting, alternative), draw=draw), LINKS, NOW)
            self.assertEqual(chosen.member_id, MemberId("b"))
        roomy = member_load("c", free=3, measured_at=NOW)
        chosen = route(route_input({}, (alternative, roomy)), LINKS, NOW)
        self.assertEqual(chosen.member_id, MemberId("c"))

    def test_the_link_is_metered(self) -> None:
        """Without a budget, a full region would send all of its traffic over the metered link."""
        far = member_load("far", free=99, measured_at=NOW, region=VANUA)
        links = dict(LINKS)
        kinds = []
        for _ in range(12):
            kinds.append(route(route_input({}, (far,)), links, NOW).kind)
            links[VANUA] = links[VANUA].spend(1000, NOW)
        self.assertEqual(kinds.count(RouteKind.SPILL), 10)
        self.assertIs(kinds[-1], RouteKind.REFUSE)
        self.assertIs(route(route_input({}, (far,)), links, NOW + 1).kind, RouteKind.SPILL)
        self.assertIs(route(route_input({}, (far,)), {}, NOW + 1).kind, RouteKind.REFUSE)

    def test_a_refusal_has_a_retry_time(self) -> None:
        """After ``retry_after`` the queue should be short enough for the same deadline."""
        refused = route(route_input({"a": 0}, (), queued=29, time_left=1.0), {}, NOW)
        self.assertAlmostEqual(refused.retry_after, 2.0)

    @given(st.text(), st.integers(1, 64))
    @settings(max_examples=50)
    def test_partitions(self, key: str, partitions: int) -> None:
        """Every key maps to a valid partition of its region."""
        region, number = partition_of(VITI, key, partitions).split("/")
        self.assertEqual(region, VITI)
        self.assertLess(int(number), partitions)

    @given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9), st.floats(0, 3)), max_size=4),
        st.tuples(st.floats(0, 1, exclude_max=True), st.floats(0, 1, exclude_max=True)),
        st.booleans(),
    )
    @settings(max_examples=150)
    def test_any_reported_load_gives_a_usable_route(
        self, peers: list[tuple[int, int, float]], draw: tuple[float, float], forwarded: bool
    ) -> None:
        """A route names a member only if it needs one; a request is forwarded at most once."""
        loads = tuple(
            member_load(str(number), free, queued, NOW - age, VANUA if number % 2 else VITI)
            for number, (free, queued, age) in enumerate(peers)
        )
        chosen = route(route_input({"a": 0}, loads, 20, 1.0, forwarded, draw), LINKS, NOW)
        goes = chosen.kind in (RouteKind.FORWARD, RouteKind.SPILL)
        self.assertEqual(goes, chosen.member_id is not None)
        self.assertFalse(goes and forwarded)
        self.assertGreaterEqual(chosen.retry_after, 0.0)


class LeavingMarksMachine(RuleBasedStateMachine):
    """Three members exchange marks of leaving targets in duplicated and reordered messages."""

    TARGET = TargetId("t")
    LONGEST_DELAY = 5.0

    def __init__(self) -> None:
        """Start with three members without marks."""
        super().__init__()
        self.members = [LeavingTargets() for _ in range(3)]
        self.messages: list[tuple[float, tuple[LeavingMark, ...]]] = []
        self.now = 0.0
        self.last_seen = float("-inf")

    @rule(member=st.integers(0, 2))
    def see(self, member: int) -> None:
        """A member sees the target leaving in the instance list and stops using it immediately."""
        self.last_seen = self.now
        self.members[member] = self.members[member].mark_seen([self.TARGET], self.now)
        assert self.members[member].includes(self.TARGET, self.now)

    @rule(member=st.integers(0, 2))
    def send(self, member: int) -> None:
        """A member sends its marks."""
        self.messages.append((self.now, self.members[member].marks_for_peers(self.now)))

    @rule(data=st.data(), member=st.integers(0, 2), again=st.booleans())
    def receive(self, data: st.DataObject, member: int, again: bool) -> None:
        """A message arrives, possibly for the second time."""
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        sent_at, marks = self.messages[index] if again else self.messages.pop(index)
        if self.now - sent_at > self.LONGEST_DELAY:
            return
        self.members[member] = self.members[member].merge_marks(marks, self.now)
        if marks and marks[0].age_seconds + RENEWAL_SECONDS < LEAVING_SECONDS:
            assert self.members[member].includes(self.TARGET, self.now)

    @rule()
    def exchange_continuously(self) -> None:
        """All members exchange slow messages continuously."""
        for _ in range(40):
            messages = [member.marks_for_peers(self.now) for member in self.members]
            self.time_passes(self.LONGEST_DELAY)
            for marks in messages:
                self.members = [member.merge_marks(marks, self.now) for member in self.members]

    @rule(seconds=st.sampled_from([5.0, 50.0, LEAVING_SECONDS - 5.0]))
    def time_passes(self, seconds: float) -> None:
        """Time passes, which the marks in messages in transit don't take into account."""
        self.now += seconds
        self.members = [member.without_expired(self.now) for member in self.members]

    @invariant()
    def a_target_that_is_back_is_used_again(self) -> None:
        """Members must not keep a mark alive by sending it back and forth."""
        hops = len(self.members) - 1
        if self.now > self.last_seen + LEAVING_SECONDS + hops * self.LONGEST_DELAY:
            assert not any(m.includes(self.TARGET, self.now) for m in self.members)


LeavingMarksMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=30)
LeavingMarksMachineTest = LeavingMarksMachine.TestCase

"""Tests of the permitted changes of the fleet record and of its stored form."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from ..._errors import SettingsError
from ..._ids import ChangeId, MemberId, RegionName, TargetId
from .. import _fleet_changes as changes
from .._fleet import (
    Acquisition,
    FleetRecord,
    Member,
    OccupiedSlots,
    decode_fleet,
    encode_fleet,
    partition_id,
    partition_of,
    region_of,
)
from .builders_fleet import FOUR_MEMBERS, VANUA, VITI, balanced, fleet, member

A, B, C, D = (each.member_id for each in FOUR_MEMBERS)
CHANGE = ChangeId("change")


class FleetRecordTest(unittest.TestCase):
    """Joining, guards, moves, leaving, fencing and taking over."""

    def test_first_member_owns_its_region(self) -> None:
        """The first member takes partitions that have no owner without asking."""
        record = fleet([member("a")])
        self.assertEqual(len(record.owned_by(A)), 6)
        self.assertIsNone(record.guard_of(A))
        self.assertIsNone(record.owner_of(partition_id(VANUA, 0)))

    def test_join_takes_nothing_from_an_owner(self) -> None:
        """A newcomer must not take partitions itself, or it would dispatch alongside their owner.

        Two requests would then be sent to one slot.
        """
        record = fleet([member("a"), member("b", "viti/nadi")])
        self.assertEqual(len(record.owned_by(A)), 6)
        self.assertEqual((record.guard_of(A), record.guard_of(B)), (B, A))

    def test_best_ranked_guard_is_chosen(self) -> None:
        """A guard in the same failure domain or across the metered link may fail with its ward."""
        cases = [
            ("viti/nadi", ("viti/suva", "viti/nadi", "vanua/labasa"), "m0"),
            ("viti/nadi", ("viti/nadi", "vanua/labasa"), "m0"),
            ("viti/nadi", ("vanua/labasa",), "m0"),
            ("viti/nadi", ("vanua/labasa", "viti/nadi", "viti/suva"), "m2"),
            ("viti/nadi", (), None),
        ]
        for place, other_places, expected in cases:
            with self.subTest(place=place, others=other_places):
                candidates = [
                    member(f"m{number}", where) for number, where in enumerate(other_places)
                ]
                members = {candidate.member_id: candidate for candidate in candidates}
                self.assertEqual(changes.choose_guard(members, member("x", place)), expected)

    def test_planned_moves_balance_each_region(self) -> None:
        """After the moves each member owns an even share of its region, and no moves remain."""
        record = balanced(fleet(FOUR_MEMBERS))
        counts = Counter(ownership.owner for ownership in record.owners.values())
        self.assertEqual(set(counts.values()), {3})
        for partition, ownership in record.owners.items():
            assert ownership.owner is not None
            self.assertEqual(record.members[ownership.owner].zone.region, region_of(partition))
        self.assertEqual([changes.planned_moves(record, name) for name in record.members], [{}] * 4)

    def test_region_without_members_is_served_from_another(self) -> None:
        """When the last member of a region leaves, another region takes over its partitions.

        Otherwise requests would be refused although the targets are live. The next member to join
        the region gets the partitions back.
        """
        record = balanced(fleet(FOUR_MEMBERS))
        for leaver in (C, D):
            left = changes.leave(record, leaver, {}, CHANGE)
            assert left is not None
            record = left
        owners = {record.owner_of(partition_id(VANUA, number)) for number in range(6)}
        self.assertEqual(owners, {A, B})
        joined = changes.join(record, member("e", "vanua/labasa"), CHANGE)
        assert joined is not None
        self.assertEqual(len(balanced(joined).owned_by(MemberId("e"))), 6)

    def test_leaving_hands_over_occupied_slots(self) -> None:
        """Requests in flight continue after a hand-over, so the new owner must count their slots.

        Otherwise it would send a ninth request to a target with eight slots.
        """
        record = balanced(fleet(FOUR_MEMBERS[:2]))
        partition = record.owned_by(A)[0]
        busy = (OccupiedSlots(TargetId("executor-1"), 3, 1.5),)
        left = changes.leave(record, A, {partition: busy}, CHANGE)
        assert left is not None
        self.assertEqual(left.owners[partition].owner, B)
        self.assertEqual(left.owners[partition].occupied, busy)
        self.assertIs(left.owners[partition].acquired, Acquisition.MOVED)
        self.assertIsNone(left.guard_of(B))

    def test_last_member_leaves_partitions_to_the_next(self) -> None:
        """The record must remain usable after the whole fleet was stopped and restarted."""
        left = changes.leave(fleet([member("a")]), A, {}, CHANGE)
        assert left is not None
        joined = changes.join(left, member("b"), CHANGE)
        assert joined is not None
        self.assertEqual(len(joined.owned_by(B)), 6)

    def test_only_the_guard_fences_and_only_the_taker_takes_over(self) -> None:
        """Other members must not fence a member, since its guard would still acknowledge it."""
        record = fleet(FOUR_MEMBERS)
        self.assertEqual(record.guard_of(A), B)
        self.assertIsNone(changes.fence(record, A, C, CHANGE))
        fenced = changes.fence(record, A, B, CHANGE)
        assert fenced is not None
        self.assertEqual(len(fenced.owned_by(A)), 6)
        self.assertIsNone(changes.fence(fenced, B, A, CHANGE))
        self.assertIsNone(changes.take_over(fenced, A, C, CHANGE))
        taken = changes.take_over(fenced, A, B, CHANGE)
        assert taken is not None
        self.assertEqual(taken.owned_by(A), ())
        self.assertIs(taken.owners[partition_id(VITI, 0)].acquired, Acquisition.TAKEN_OVER)

    def test_removed_taker_passes_the_takeover_on(self) -> None:
        """If the guard leaves between fence and takeover, another member must become the taker.

        Otherwise the fenced member would own its partitions forever.
        """
        fenced = changes.fence(fleet(FOUR_MEMBERS), A, B, CHANGE)
        assert fenced is not None
        left = changes.leave(fenced, B, {}, CHANGE)
        assert left is not None
        self.assertIn(left.fenced[A].taker, (C, D))

    def test_restart_at_the_same_address_replaces_the_predecessor(self) -> None:
        """Two members that guard each other die together, so no live member may fence them.

        Unless their restarts replace them, requests for their targets would be refused until an
        operator intervenes.
        """
        record = balanced(fleet([member("a", port=1), member("b", "viti/nadi", port=2)]))
        for newcomer in (member("e", port=1), member("f", "viti/nadi", port=2)):
            joined = changes.join(record, newcomer, CHANGE)
            assert joined is not None
            record = joined
        self.assertEqual(set(record.members), {"e", "f"})
        self.assertEqual(record.owned_by(A) + record.owned_by(B), ())

    def test_member_id_is_not_used_twice(self) -> None:
        """A fenced member must not rejoin under the same member id."""
        fenced = changes.fence(fleet(FOUR_MEMBERS), A, B, CHANGE)
        assert fenced is not None
        self.assertIsNone(changes.join(fenced, member("a"), CHANGE))

    def test_unreadable_record(self) -> None:
        """A malformed value raises SettingsError and no other exception."""
        for value in (b"", b"\xc1", b"\x93\x01\x02\x03", encode_fleet(fleet(FOUR_MEMBERS))[:-1]):
            with self.subTest(value=value[:4]), self.assertRaises(SettingsError):
                decode_fleet(value)

    @settings(max_examples=60)
    @given(st.lists(st.tuples(st.sampled_from("jflt"), st.integers(0, 5)), max_size=25))
    def test_every_change_keeps_the_record_sound(self, moves: list[tuple[str, int]]) -> None:
        """After any sequence of changes, the owner of each partition is a member or fenced.

        Any other owner could never be replaced.
        """
        record = FleetRecord(partitions_per_region=4)
        joined = 0
        for kind, pick in moves:
            names = sorted(record.members)
            member_id = names[pick % len(names)] if names else None
            changed: FleetRecord | None = None
            if kind == "j":
                joined += 1
                changed = changes.join(record, _newcomer(joined, pick), CHANGE)
            elif kind == "l" and member_id is not None:
                changed = changes.leave(record, member_id, {}, CHANGE)
            elif (
                kind == "f"
                and member_id is not None
                and (guard := record.guard_of(member_id)) is not None
            ):
                changed = changes.fence(record, member_id, guard, CHANGE)
            elif kind == "t" and record.fenced:
                fenced, entry = sorted(record.fenced.items())[0]
                changed = changes.take_over(record, fenced, entry.taker or fenced, CHANGE)
            if changed is None:
                continue
            self.assertEqual(changed.epoch, record.epoch + 1)
            record = changed
            self._check_sound(record)

    def _check_sound(self, record: FleetRecord) -> None:
        known = {*record.members, *record.fenced}
        for ownership in record.owners.values():
            if ownership.owner is not None or record.members:
                self.assertIn(ownership.owner, known)
        for checked in record.members.values():
            if checked.guard is not None:
                self.assertIn(checked.guard, known - {checked.member_id})
        for entry in record.fenced.values():
            if record.members:
                self.assertIsNotNone(entry.taker)
        self.assertEqual(decode_fleet(encode_fleet(record)), record)


def _newcomer(number: int, pick: int) -> Member:
    places = ("viti/suva", "viti/nadi", "vanua/labasa")
    return member(f"m{number:02}", places[pick % 3], port=100 + number)


class PartitionTest(unittest.TestCase):
    """The hashing of targets to partitions."""

    def test_spread_and_stability(self) -> None:
        """Processes that disagree on a target's partition would both dispatch to it."""
        self.assertEqual(partition_of(VITI, "executor-1", 32), partition_of(VITI, "executor-1", 32))
        partitions = {partition_of(RegionName("a/b"), f"executor-{n}", 32) for n in range(1000)}
        self.assertEqual(len(partitions), 32)
        self.assertEqual({region_of(partition) for partition in partitions}, {"a/b"})

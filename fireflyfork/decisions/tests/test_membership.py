"""Tests of a single member's state machine."""

import unittest

from ..._ids import MemberId, Revision
from .._fleet import FleetRecord
from .._fleet_changes import change_guard, fence, leave
from .._membership import step
from .._membership_events import (
    AnswerAsker,
    AskGuard,
    ChangeKind,
    CollectOccupied,
    Command,
    Event,
    GuardAnswered,
    GuardAsked,
    LeaveRequested,
    OccupiedCollected,
    ReadFailed,
    ReadRecord,
    RecordRead,
    RecordReceived,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRecord,
)
from .._membership_state import (
    MemberPhase,
    MembershipState,
    begin_membership,
    holds_right,
    may_dispatch,
)
from .._rights import GuardAnswer, MembershipTiming, RightRules
from .builders_fleet import FOUR_MEMBERS, balanced, fleet
from .test_fleet import CHANGE, A, B, C

TIMING = MembershipTiming()


class _Driver:
    """Feeds events to one member and stores the commands of the last event."""

    def __init__(self, state: MembershipState) -> None:
        self.state = state
        self.now = 100.0
        self.commands: tuple[Command, ...] = ()

    def feed(self, event: Event, after: float = 0.0) -> tuple[Command, ...]:
        self.now += after
        self.state, self.commands = step(self.state, event, self.now)
        return self.commands

    def pass_time(self, seconds: float, heard: tuple[MemberId, ...], guard: bool = True) -> None:
        """Tick for ``seconds``; the wards in ``heard`` ask, and the guard answers if ``guard``."""
        end = self.now + seconds
        while self.now < end:
            for ward in heard:
                self.feed(GuardAsked(ward, 1, self.state.revision))
            self.feed(Tick(), after=0.25)
            asked = [command for command in self.commands if isinstance(command, AskGuard)]
            ticked = self.commands
            if guard and asked:
                answer = GuardAnswered(asked[0].nonce, GuardAnswer(True), self.state.revision)
                self.feed(answer)
            self.commands = ticked

    def sent(self, kind: type[Command]) -> bool:
        return any(isinstance(command, kind) for command in self.commands)


def _active(name_index: int = 0, record: FleetRecord | None = None) -> _Driver:
    """Return a driver of a member (``a``) that has just read the record at revision 5."""
    driver = _Driver(begin_membership(FOUR_MEMBERS[name_index], TIMING))
    driver.feed(Tick())
    driver.feed(RecordRead(record or balanced(fleet(FOUR_MEMBERS, 4)), Revision(5)))
    return driver


class RightTest(unittest.TestCase):
    """When a member holds the right to dispatch."""

    def test_right_dates_from_the_question(self) -> None:
        """If the right counted from a late answer, it would outlast the takeover wait."""
        driver = _active()
        driver.feed(Tick(), after=0.6)
        driver.feed(GuardAnswered(1, GuardAnswer(True), Revision(5)), after=1.9)
        self.assertTrue(holds_right(driver.state, driver.now + 0.05))
        self.assertFalse(holds_right(driver.state, driver.now + 0.15))

    def test_right_is_lost_without_proof(self) -> None:
        """When neither store nor guard answers, the right expires on the member's own clock."""
        driver = _active()
        partition = driver.state.record.owned_by(A)[0]
        self.assertTrue(may_dispatch(driver.state, partition, driver.now + 1.99))
        self.assertFalse(may_dispatch(driver.state, partition, driver.now + 2.0))

    def test_record_from_a_peer_proves_nothing(self) -> None:
        """A forwarded record may be outdated, and its receiver may have been fenced since."""
        driver = _Driver(begin_membership(FOUR_MEMBERS[0], TIMING))
        driver.feed(RecordReceived(fleet(FOUR_MEMBERS, 4), Revision(5)))
        self.assertIs(driver.state.phase, MemberPhase.ACTIVE)
        self.assertFalse(holds_right(driver.state, driver.now))

    def test_fenced_member_stops_at_once(self) -> None:
        """A member that learns of its own fence stops before its right expires."""
        driver = _active()
        fenced = fence(driver.state.record, A, B, CHANGE)
        assert fenced is not None
        driver.feed(RecordReceived(fenced, Revision(6)))
        self.assertIs(driver.state.phase, MemberPhase.FENCED)
        self.assertFalse(holds_right(driver.state, driver.now))

    def test_read_that_shows_the_own_fence(self) -> None:
        """Reading a record in which the member itself is fenced must not raise an error."""
        driver = _active()
        fenced = fence(driver.state.record, A, B, CHANGE)
        driver.pass_time(1.5, (B, C), guard=False)
        driver.feed(RecordRead(fenced, Revision(6)))
        self.assertIs(driver.state.phase, MemberPhase.FENCED)
        self.assertEqual(driver.commands, ())

    def test_old_guard_proves_nothing_during_a_guard_change(self) -> None:
        """After a guard change of unknown outcome, the old guard's answers prove nothing.

        The new guard may already be fencing the member.
        """
        driver = _active()
        driver.pass_time(1.5, (B, C), guard=False)
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        self.assertTrue(driver.sent(WriteRecord))
        driver.feed(WriteEnded(WriteOutcome.UNKNOWN))
        proved_at = driver.state.right_proved_at
        driver.pass_time(0.6, (B, C))
        self.assertEqual(driver.state.right_proved_at, proved_at)


class TakeoverWaitTest(unittest.TestCase):
    """The wait between a fence and the takeover."""

    def test_wait_outlasts_the_right_on_unequal_clocks(self) -> None:
        """With the maximum difference of clock rates, two owners must not overlap."""
        for drift in (0.0, 0.001, 0.01, 0.05):
            with self.subTest(drift=drift):
                timing = MembershipTiming(drift=drift)
                right_ends = timing.right_seconds / (1 - drift)
                taken_over = RightRules().takeover_wait(timing) / (1 + drift)
                self.assertGreater(taken_over, right_ends)

    def test_guard_does_not_fence_before_an_old_acknowledgement_expires(self) -> None:
        """A new guard must not fence while an acknowledgement of the old guard is still valid."""
        self.assertGreaterEqual(TIMING.suspect_seconds, TIMING.right_seconds)


class GuardTest(unittest.TestCase):
    """How a guard acknowledges and fences its wards."""

    def _answer(self, driver: _Driver, asker_index: int) -> GuardAnswer:
        asker = FOUR_MEMBERS[asker_index].member_id
        driver.feed(GuardAsked(asker, 7, Revision(5)))
        answers = [command for command in driver.commands if isinstance(command, AnswerAsker)]
        return answers[0].answer

    def test_guard_without_right_does_not_acknowledge(self) -> None:
        """A guard that was fenced during a pause doesn't know that it was replaced."""
        driver = _active()
        wards = driver.state.record.wards_of(A)
        self.assertEqual(wards, (B, C))
        self.assertTrue(self._answer(driver, 2).acknowledged)
        driver.now += TIMING.right_seconds
        self.assertEqual(self._answer(driver, 2), GuardAnswer(False, False))

    def test_pair_renews_each_other(self) -> None:
        """Two members that guard each other regain the right after a pause of both."""
        first, second = _active(0), _active(1)
        for driver in (first, second):
            driver.feed(Tick(), after=5.0)
            self.assertFalse(holds_right(driver.state, driver.now))
        asked = next(command for command in first.commands if isinstance(command, AskGuard))
        answer = self._answer(second, 0)
        self.assertEqual(answer, GuardAnswer(False, if_you_guard_me=True))
        first.feed(GuardAnswered(asked.nonce, answer, Revision(5)))
        self.assertTrue(holds_right(first.state, first.now))

    def test_not_the_guard(self) -> None:
        """An asker with an outdated record asks a former guard, which may not know of its fence."""
        self.assertFalse(self._answer(_active(), 3).acknowledged)

    def test_silent_ward_is_fenced_after_a_read(self) -> None:
        """A fence must not be sent to a store that is down, where it could take effect later."""
        driver = _active()
        driver.pass_time(2.3, (C,))
        self.assertIsNotNone(driver.state.reading_since)
        driver.feed(ReadFailed())
        self.assertFalse(driver.sent(WriteRecord))
        self.assertTrue(self._answer(driver, 1).acknowledged)

    def test_fence_without_answer_blocks_the_ward(self) -> None:
        """A fence without an answer may have taken effect, so the ward isn't acknowledged."""
        driver = _active()
        driver.pass_time(2.3, (C,))
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        written = [command for command in driver.commands if isinstance(command, WriteRecord)]
        self.assertEqual([command.kind for command in written], [ChangeKind.FENCE])
        driver.feed(WriteEnded(WriteOutcome.UNKNOWN))
        self.assertEqual(self._answer(driver, 1), GuardAnswer(False))

    def test_guard_restarts_its_timers_after_its_own_pause(self) -> None:
        """A guard that resumes after a pause must not fence wards whose questions it missed."""
        driver = _active()
        driver.feed(Tick())
        driver.feed(Tick(), after=10.0)
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        self.assertFalse(driver.sent(WriteRecord))


class WriteTest(unittest.TestCase):
    """Writes of the record whose answer is lost or delayed."""

    def _handing_over(self) -> _Driver:
        driver = _active(0, fleet(FOUR_MEMBERS, 4))
        self.assertTrue(driver.sent(CollectOccupied))
        driver.feed(OccupiedCollected({}))
        self.assertTrue(driver.sent(WriteRecord))
        return driver

    def test_old_value_does_not_settle_a_write(self) -> None:
        """An owner must not resume while its hand-over may still be in flight."""
        driver = self._handing_over()
        given = next(iter(driver.state.write.partitions)) if driver.state.write else None
        assert given is not None
        driver.feed(WriteEnded(WriteOutcome.UNKNOWN))
        driver.feed(Tick(), after=0.7)
        self.assertTrue(driver.sent(ReadRecord))
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        self.assertTrue(driver.sent(WriteRecord))
        self.assertFalse(may_dispatch(driver.state, given, driver.now))
        newer = change_guard(driver.state.record, C, B, CHANGE)
        assert newer is not None
        driver.feed(WriteEnded(WriteOutcome.LOST))
        driver.feed(RecordReceived(newer, Revision(6)))
        self.assertTrue(may_dispatch(driver.state, given, driver.now))

    def test_lost_retry_may_have_lost_to_its_first_attempt(self) -> None:
        """The first write took effect without an answer, so its retry finds a newer revision."""
        driver = self._handing_over()
        write = driver.state.write
        assert write is not None
        driver.feed(WriteEnded(WriteOutcome.UNKNOWN))
        driver.feed(Tick(), after=0.7)
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        driver.feed(WriteEnded(WriteOutcome.LOST))
        driver.feed(Tick())
        driver.feed(RecordRead(write.record, Revision(6)))
        self.assertIsNone(driver.state.write)
        for partition in write.partitions:
            self.assertFalse(may_dispatch(driver.state, partition, driver.now))

    def test_leaving_member_serves_while_the_store_is_down(self) -> None:
        """During a store outage, a member with a planned stop serves until it can hand over."""
        driver = _active(1)
        driver.feed(LeaveRequested())
        driver.feed(Tick(), after=1.2)
        driver.feed(ReadFailed())
        driver.feed(GuardAnswered(1, GuardAnswer(True), Revision(5)))
        self.assertTrue(holds_right(driver.state, driver.now))
        driver.feed(Tick(), after=0.6)
        driver.feed(RecordRead(driver.state.record, Revision(5)))
        driver.feed(OccupiedCollected({}))
        left = leave(driver.state.record, B, {}, CHANGE)
        assert left is not None
        driver.feed(WriteEnded(WriteOutcome.WON, Revision(6)))
        self.assertIs(driver.state.phase, MemberPhase.LEFT)
        self.assertFalse(holds_right(driver.state, driver.now))

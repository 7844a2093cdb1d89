"""What a restart may change: nothing of an earlier incarnation decides about a later one.

What is kept, and why, is listed in docs/design/executor-incarnations.md.
"""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from ...._ids import AttemptNumber, ExecutorId, TaskName
from ...._links import Address
from .. import (
    CallOutcome,
    ExecutorRegistration,
    ExecutorRoom,
    OrderAnswer,
    RegistrationMissing,
    RunningRow,
)
from .._executors import MAX_UNREGISTERED_SECONDS
from .builders_histories import EXECUTORS, NAMES, ServiceHistory
from .builders_jobs import START_MS, OwnerUnderTest, job, registration, step

KIND_A, KIND_B = frozenset({"a", "r1"}), frozenset({"b", "r1"})


class RegistrationsOfIncarnationsTest(unittest.TestCase):
    """A poll reports a new incarnation before the store has its registration."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0")
        self.owner.scheduler.accept(job("a" * 16, step(required_label="a")), START_MS)

    def _restart(self, incarnation: int) -> None:
        self.owner.now += 0.5
        self.owner.poll("i-0", incarnation=incarnation)

    def _register(self, **changes: object) -> None:
        self.owner.scheduler.register(registration("i-0", **changes), self.owner.now)

    def test_no_task_starts_by_the_labels_of_an_earlier_incarnation(self) -> None:
        """Guards against a start on an executor that came back as another kind."""
        self._restart(2)
        self.assertEqual(self.owner.send(), [])
        self._register(incarnation=2, labels=KIND_B)
        self.assertEqual(self.owner.send(), [])
        self._restart(3)
        self._register(incarnation=3, labels=KIND_A)
        self.assertEqual(len(self.owner.send()), 1)

    def test_no_task_starts_by_the_room_of_an_earlier_incarnation(self) -> None:
        """Guards against an executor that is filled beyond its present room."""
        self.owner.scheduler.accept(job("b" * 16, step(cpu_millis=16_000)), START_MS)
        self._restart(2)
        self.assertEqual(self.owner.send(), [])
        self._register(incarnation=2, room=ExecutorRoom(4000, 64_000, 0))
        (run,) = self.owner.send()
        self.assertEqual(run.task.spec.cpu_millis, 1000)

    def test_a_refused_start_reports_the_incarnation_as_a_poll_does(self) -> None:
        """Guards against a restart that a start order finds first."""
        (run,) = self.owner.send()
        self.owner.now += 0.5
        answer = OrderAnswer(CallOutcome.OTHER_INCARNATION, None, 2)
        self.owner.scheduler.start_answered(run, answer, self.owner.now)
        self._restart(2)
        self.owner.tick(0.1)
        self.assertEqual(self.owner.send(), [])

    def test_a_start_that_waits_to_be_sent_is_not_sent_after_a_restart(self) -> None:
        """Guards against orders that were decided before the restart became known."""
        (run,) = self.owner.send()
        self._restart(2)
        self.assertFalse(self.owner.scheduler.prepare_start(run, self.owner.now))

    def test_a_registration_that_precedes_the_poll_is_used(self) -> None:
        """Guards against waiting for an entry that was already read."""
        self._register(incarnation=2)
        self.assertEqual(self.owner.send(), [])
        self._restart(2)
        self.assertEqual(len(self.owner.send()), 1)

    def test_a_registration_from_before_the_report_of_a_clock_set_back_is_used(self) -> None:
        """Guards against an executor that waits for good for an entry that isn't written again."""
        self._register(incarnation=0, labels=KIND_A, address=Address("10.0.0.2", 80))
        self._restart(0)
        self.assertEqual(len(self.owner.send()), 1)
        self.assertEqual(self.owner.executor().registration.address, Address("10.0.0.2", 80))

    def test_a_removed_registration_is_not_used_later(self) -> None:
        """Guards against the entry of an incarnation that was removed before a report of it."""
        self._register(incarnation=0)
        self.owner.scheduler.unregister(ExecutorId("i-0"), self.owner.now)
        self._restart(0)
        self.assertEqual(self.owner.send(), [])

    def test_an_incarnation_that_never_was_is_not_believed_for_good(self) -> None:
        """Guards against an entry of another writer, whose incarnation the polls don't confirm."""
        self._register(incarnation=99)
        self._restart(1)
        self._register(incarnation=1)
        self.owner.poll("i-0")
        self.assertEqual(len(self.owner.send()), 1)

    def test_a_late_registration_of_an_incarnation_with_a_higher_number(self) -> None:
        """Guards against runs that are taken for over after the clock was set back."""
        self._restart(0)
        self._register(incarnation=0)
        (run,) = self.owner.place()
        self._register(incarnation=1)
        self.assertEqual(list(self.owner.executor().runs.values()), [run])
        self.assertEqual(self.owner.executor().incarnation, 0)

    def test_a_successor_starts_nothing_by_the_stored_list(self) -> None:
        """Guards against labels that a predecessor has stored, and an entry that is as old."""
        old = registration("i-0")
        successor = OwnerUnderTest()
        spec = job("a" * 16, step(required_label="a"))
        successor.scheduler.recover([(spec, None)], [old], [old], successor.now, START_MS)
        successor.now += 0.1
        successor.poll("i-0", incarnation=2)
        self.assertEqual(successor.send(), [])
        new = registration("i-0", incarnation=2, labels=KIND_A)
        successor.scheduler.register(new, successor.now)
        self.assertEqual(len(successor.send()), 1)

    def test_the_stored_list_names_the_incarnation_that_was_registered(self) -> None:
        """Guards against a list that gives an old registration the number of a later one."""
        self._restart(2)
        self._register(incarnation=1, address=Address("10.0.0.2", 80))
        self.owner.scheduler.executors_not_stored()
        (listed,) = self.owner.scheduler.take_changed_executors() or ()
        self.assertEqual(listed, registration("i-0"))

    def test_runs_of_the_new_incarnation_are_stopped_under_its_number(self) -> None:
        """Guards against orders to the present incarnation that name the registered one."""
        unknown = RunningRow(TaskName(f"{'f' * 16}.0.0.0"), AttemptNumber(1), "", 10, 0.0)
        self.owner.now += 0.5
        self.owner.poll("i-0", unknown, incarnation=2)
        (stop,) = self.owner.stops()
        self.assertEqual(stop.incarnation, 2)

    def test_a_missing_registration_is_reported_once(self) -> None:
        """Guards against an executor that stays idle and nobody knows why."""
        self._restart(2)
        now = self.owner.now
        self.owner.tick(MAX_UNREGISTERED_SECONDS - 0.1)
        self.assertEqual(self.owner.scheduler.executors_without_registration(self.owner.now), 0)
        for _ in range(3):
            self.owner.tick(0.2)
        self.assertEqual(self.owner.scheduler.executors_without_registration(self.owner.now), 1)
        notes = [
            note for note in self.owner.scheduler.take_notes() if type(note) is RegistrationMissing
        ]
        (note,) = notes
        self.assertEqual((note.incarnation, note.registered_incarnation), (2, 1))
        self.assertGreater(note.missing_ms, 1000 * MAX_UNREGISTERED_SECONDS)
        self._register(incarnation=2)
        self.assertEqual(self.owner.scheduler.executors_without_registration(now + 99), 0)

    def test_an_unusable_registration_is_reported_as_a_missing_one(self) -> None:
        """Guards against an entry that another writer has replaced for good."""
        self.owner.scheduler.unregister(ExecutorId("i-0"), self.owner.now)
        self.owner.tick(MAX_UNREGISTERED_SECONDS + 0.1)
        self.assertEqual(self.owner.scheduler.executors_without_registration(self.owner.now), 1)


ROOMS = st.sampled_from((ExecutorRoom(500, 64_000, 0), ExecutorRoom(16_000, 1, 1)))


class RestartMachine(ServiceHistory):
    """Any history in which executors come back as others, and their registrations come late."""

    def __init__(self) -> None:
        """Begin with idle executors of kind a."""
        super().__init__()
        self.earlier: list[ExecutorRegistration] = []
        self.lowest = 0

    @rule(name=NAMES, labels=st.sampled_from((KIND_A, KIND_B)), room=ROOMS, set_back=st.booleans())
    def restart_as(
        self, name: str, labels: frozenset[str], room: ExecutorRoom, set_back: bool
    ) -> None:
        """Start an executor as another one, whose registration isn't known yet."""
        simulated = self.service.executors[name]
        self.earlier.append(simulated.registration)
        simulated.restart()
        simulated.change(labels=labels, room=room, draining=False)
        if set_back:
            self.lowest -= 1
            simulated.change(incarnation=self.lowest)
        self.service.tick(0.1)

    @rule(data=st.data())
    def register_late(self, data: st.DataObject) -> None:
        """Deliver the registration of an incarnation that is over."""
        if self.earlier:
            late = data.draw(st.sampled_from(self.earlier))
            self.service.scheduler.register(late, self.service.now)

    @rule()
    def settle(self) -> None:
        """Deliver the present registrations and an answer of each executor: all are usable."""
        for name in EXECUTORS:
            self.service.executors[name].change(draining=False)
            self.service.register(name)
        for _ in range(2):
            self.service.tick(0.1)
            for name in EXECUTORS:
                self.service.poll(name)
        for executor in self.service.states():
            present = self.service.executors[executor.executor].registration
            assert executor.registration == present
            assert executor.registered and executor.answers

    @invariant()
    def starts_fit_the_incarnation_that_they_are_sent_to(self) -> None:
        """A start that reaches the incarnation that it names fits its labels and its room."""
        for run in self.service.starts:
            present = self.service.executors[run.executor.executor].registration
            if run.incarnation != present.incarnation:
                continue
            needed, room = run.task.spec, present.room
            assert not needed.required_label or needed.required_label in present.labels
            assert needed.reserved_cpu_millis <= room.cpu_millis
            assert needed.memory_mb <= room.memory_mb
            assert needed.accelerators <= room.accelerators


RestartTest = RestartMachine.TestCase
"""Guards against a decision about an incarnation by what an earlier one was."""
RestartTest.settings = settings(max_examples=250, stateful_step_count=50, deadline=None)

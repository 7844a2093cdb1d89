"""A takeover while some of many executors are silent.

After all instances were lost, a new owner finds work of an earlier one, and a few executors that
have left, or crashed, don't answer it. Everything else waits for those that may run a part of it.
"""

import unittest
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import ExecutorId, JobId
from .. import CallOutcome, EndReason, ExecutorRegistration, Run, RunningRow
from .builders_jobs import START_MS, OwnerUnderTest, job, registration, row, step

EXECUTORS = 176
SILENT = 4
TASKS = 400
SETTLED_SECONDS = 2.0


def _names(count: int = EXECUTORS) -> list[str]:
    return [f"i-{number}" for number in range(count)]


def _successor(
    first: OwnerUnderTest, listed: Iterable[ExecutorRegistration], tasks: int
) -> OwnerUnderTest:
    """Return an owner that has taken over while all executors of the first one are registered."""
    second = OwnerUnderTest()
    second.now = first.now
    registered = [executor.registration for executor in first.scheduler.executors.values()]
    second.scheduler.recover(
        [(job("00000000000000aa", step(count=tasks, cpu_millis=500)), None)],
        registered,
        tuple(listed),
        second.now,
        START_MS,
    )
    return second


class ManyExecutorsTest(unittest.TestCase):
    """Four of 176 executors don't answer a new owner."""

    def setUp(self) -> None:
        """Set up an owner whose executors have all answered."""
        self.owner = OwnerUnderTest(*_names())
        self.stored = self._stored()

    def _stored(self) -> tuple[ExecutorRegistration, ...]:
        scheduler = self.owner.scheduler
        scheduler.executors_not_stored()
        stored = scheduler.take_changed_executors() or ()
        scheduler.executors_stored(stored)
        return stored

    def _drain(self, names: Iterable[str]) -> None:
        for name in names:
            self.owner.scheduler.register(registration(name, draining=True), self.owner.now)

    def _review(self) -> None:
        """Let the owner review and store its list."""
        self.owner.tick(SETTLED_SECONDS)
        changed = self.owner.scheduler.take_changed_executors()
        if changed is not None:
            self.owner.scheduler.executors_stored(changed)
            self.stored = changed

    def test_executors_that_were_emptied_hold_no_task(self) -> None:
        """Guards against holding every task for seconds because of executors that have left."""
        silent = _names(SILENT)
        self._drain(silent)
        self._review()
        self.assertEqual(len(self.stored), EXECUTORS - SILENT)
        second = _successor(self.owner, self.stored, TASKS)
        for name in _names()[SILENT:]:
            second.poll(name)
        self.assertEqual(len(second.place()), TASKS)

    def test_silent_executors_that_may_run_tasks_hold_them_until_their_leases_lapse(self) -> None:
        """Guards against running a task twice on an executor that only its first owner reached."""
        second = _successor(self.owner, self.stored, TASKS)
        for name in _names()[SILENT:]:
            second.poll(name)
        self.assertEqual(second.place(), [])
        second.scheduler.record_ownership(second.now + 8.1)
        second.tick(8.1)
        self.assertEqual(len(second.place()), TASKS)

    def test_an_executor_that_may_still_run_something_stays_listed(self) -> None:
        """Guards against leaving out an executor with a start that was not answered."""
        self.owner.scheduler.accept(job("00000000000000bb"), START_MS)
        (run,) = self.owner.send()
        self.owner.answer_start(run, CallOutcome.UNKNOWN)
        name = str(run.executor.executor)
        self._drain([name])
        self._review()
        self.assertIn(ExecutorId(name), {each.executor for each in self.stored})

    def test_an_executor_with_an_end_that_is_not_stored_stays_listed(self) -> None:
        """Guards against running a task again whose end only its executor knows."""
        owner = self.owner
        owner.scheduler.accept(job("00000000000000bb"), START_MS)
        (run,) = owner.place()
        name = str(run.executor.executor)
        owner.end(name, run.task.name, run.attempt, EndReason.DONE)
        owner.poll(name)
        self._drain([name])
        self._review()
        self.assertIn(ExecutorId(name), {each.executor for each in self.stored})
        owner.scheduler.jobs.changes.take(1)
        owner.scheduler.jobs.changes.mark_stored()
        owner.scheduler.release_stored_ends()
        self._review()
        self.assertNotIn(ExecutorId(name), {each.executor for each in self.stored})

    def test_an_executor_that_is_not_listed_gets_no_run(self) -> None:
        """Guards against a run that no successor waits for."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.register(registration("i-0", draining=True), owner.now)
        owner.tick(SETTLED_SECONDS)
        owner.store()
        owner.store_answers = False
        owner.scheduler.register(registration("i-0"), owner.now)
        owner.tick(0.1)
        owner.scheduler.accept(job("00000000000000bb"), START_MS)
        self.assertEqual(owner.send(), [])
        owner.store_answers = True
        owner.tick(0.1)
        self.assertEqual(len(owner.send()), 1)

    def test_all_registered_executors_hold_tasks_if_the_list_is_unreadable(self) -> None:
        """Guards against running tasks twice after a list that can't be decoded."""
        second = OwnerUnderTest()
        known = [registration("i-0"), registration("i-1")]
        work = [(job("00000000000000aa"), None)]
        second.scheduler.recover(work, known, None, second.now, START_MS)
        second.poll("i-0")
        self.assertEqual(second.place(), [])
        second.poll("i-1")
        self.assertEqual(len(second.place()), 1)


class _Fleet:
    """A few executors and the runs that they hold, as they are and not as an owner believes."""

    def __init__(self, names: list[str]) -> None:
        self.runs: dict[str, list[Run]] = {name: [] for name in names}

    def rows(self, name: str) -> list[RunningRow]:
        return [row(run) for run in self.runs[name]]

    def tasks(self) -> list[str]:
        return [str(run.task.name) for runs in self.runs.values() for run in runs]


events = st.lists(
    st.tuples(
        st.sampled_from(["accept", "drain", "ready", "silent", "store", "no store", "tick"]),
        st.integers(0, 3),
    ),
    max_size=30,
)


class StoredListTest(unittest.TestCase):
    """The stored list under any order of events."""

    @given(events, st.sets(st.integers(0, 3)))
    def test_no_task_runs_twice_after_a_takeover(
        self, drawn: list[tuple[str, int]], silent: set[int]
    ) -> None:
        """Guards against a run on an executor that is not on the list of the lost owner."""
        names = _names(4)
        owner, fleet = OwnerUnderTest(*names), _Fleet(names)
        stored = tuple(registration(name) for name in names)
        accepted = []
        for number, (event, index) in enumerate(drawn):
            name = names[index]
            if event == "accept":
                spec = job(f"{number:016x}", step(count=2))
                accepted.append(spec)
                owner.scheduler.accept(spec, START_MS)
            elif event in ("drain", "ready"):
                leaving = registration(name, draining=event == "drain")
                owner.scheduler.register(leaving, owner.now)
            elif event == "silent":
                owner.scheduler.poll_failed(owner.executor(name), owner.now)
            elif event == "store":
                changed = owner.scheduler.take_changed_executors()
                if changed is not None:
                    owner.scheduler.executors_stored(changed)
                    stored = changed
            elif event == "no store":
                if owner.scheduler.take_changed_executors() is not None:
                    owner.scheduler.executors_not_stored()
            else:
                owner.tick(0.6)
            owner.scheduler.place(owner.now, START_MS)
            for command in owner.scheduler.take_commands():
                run = getattr(command, "run", None)
                if run is not None and run.phase.value == "starting":
                    fleet.runs[str(run.executor.executor)].append(run)
        self._take_over(fleet, stored, [(JobId(spec.job), spec) for spec in accepted], silent)

    def _take_over(self, fleet, stored, accepted, silent) -> None:  # type: ignore[no-untyped-def]
        second = OwnerUnderTest()
        names = list(fleet.runs)
        second.scheduler.recover(
            [(spec, None) for _, spec in accepted],
            [registration(name) for name in names],
            stored,
            second.now,
            START_MS,
        )
        for number, name in enumerate(names):
            if number not in silent:
                second.poll(name, *fleet.rows(name))
        running = set(fleet.tasks())
        started = {str(run.task.name) for run in second.send()}
        self.assertEqual(started & running, set())

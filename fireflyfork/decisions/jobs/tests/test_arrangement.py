"""Moves of serving tasks away from executors with a mixture of images.

Long-running tasks of several services are placed first and reserve nine tenths of the processors;
batch work uses what they leave over, but each kind of it slows down some of the services. With six
of nine batch images heavy for three of five services, half of the executors served a mixture, and
two thirds of all batch jobs ended too late to be of use although half of the leftover CPU was never
used.
"""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from .. import EndReason, Run
from .._arrangement import MAX_RESERVED_MOVES, MIN_SECONDS_BETWEEN_MOVES, UsefulLeftover
from .builders_jobs import START_MS, OwnerUnderTest, job, learned, row, step

HEAVY, LIGHT = 6.0, 0.1
SERVICES = ("web", "desk")
PLACES = ("i-0", "i-1", "i-2", "i-3")


def _serving(name: str, image: str, **changes: object) -> object:
    long_running_step = step(
        count=1, cpu_millis=6000, image=image, tail_target_ms=50, long_running=True, **changes
    )
    return job(name, long_running_step)


def _owner(*jobs: tuple[str, str, int]) -> OwnerUnderTest:
    """Return an owner whose executors serve these, given as job number, image and executor
    number."""
    owner = OwnerUnderTest(*PLACES)
    owner.scheduler.adopt((learned("web", HEAVY), learned("desk", LIGHT)))
    for number, image, place in jobs:
        spec = _serving(f"{int(number):016x}", image)
        owner.scheduler.accept(spec, START_MS)  # type: ignore[arg-type]
        others = [name for name in PLACES if name != PLACES[place]]
        _keep_away(owner, others, True)
        owner.place()
        _keep_away(owner, others, False)
    return owner


def _keep_away(owner: OwnerUnderTest, names: list[str], away: bool) -> None:
    for name in names:
        owner.executor(name).cordoned = away


def _poll_all(owner: OwnerUnderTest) -> None:
    for name in PLACES:
        runs = [run for run in owner.executor(name).runs.values() if run.is_active]
        owner.poll(name, *(row(run, 100, 20.0) for run in runs))


def _let_batch_wait(owner: OwnerUnderTest) -> None:
    noisy = step(count=40, cpu_millis=3000, memory_mb=5000, uses_leftover_cpu=True, image="noisy")
    owner.scheduler.accept(job("00000000000000bb", noisy), START_MS)
    owner.place()


def _mix(owner: OwnerUnderTest) -> list[dict[str, int]]:
    return [dict(owner.executor(name).serving_counts) for name in PLACES]


def _settle(owner: OwnerUnderTest, seconds: float) -> list[Run]:
    """Carry out the owner's orders for some seconds.

    Returns the runs of long-running tasks that it stopped.
    """
    stopped: list[Run] = []
    for _ in range(int(seconds / 0.1)):
        owner.tick(0.1)
        for run in owner.stops():
            stopped.append(run)
            owner.answer_stop(run)
            name = str(run.executor.executor)
            owner.end(name, run.task.name, run.attempt, EndReason.STOPPED)
        _poll_all(owner)
        owner.place()
    return [run for run in stopped if run.task.spec.long_running]


MIXED = (("1", "web", 0), ("2", "desk", 0), ("3", "web", 1), ("4", "desk", 1))


class ServingTaskMovesTest(unittest.TestCase):
    """Which tasks are moved, and how."""

    def test_tasks_of_two_images_are_separated(self) -> None:
        """Guards against batch work that finds no executor because every one serves a mixture."""
        owner = _owner(*MIXED)
        _let_batch_wait(owner)
        _poll_all(owner)
        moved = _settle(owner, 4.0)
        self.assertLessEqual(len(moved), 2)
        self.assertTrue(any(set(mix) == {"desk"} for mix in _mix(owner)), _mix(owner))
        self.assertEqual(sum(mix.get("web", 0) for mix in _mix(owner)), 2)

    def test_reservation_on_a_lost_executor_is_released(self) -> None:
        """Guards against a task that is sent to an executor which vanished after the
        reservation."""
        owner = _owner(*MIXED)
        _let_batch_wait(owner)
        stopped: list[Run] = []
        for _ in range(100):
            if not stopped:
                _poll_all(owner)
                owner.tick(0.1)
                stopped = owner.stops()
        self.assertTrue(stopped)
        destination = next(name for name in PLACES if owner.executor(name).incoming_cpu_millis)
        vanished = owner.executor(destination)
        owner.scheduler.unregister(vanished.executor, owner.now)
        owner.scheduler.poll_failed(vanished, owner.now)
        for run in stopped:
            name = str(run.executor.executor)
            owner.answer_stop(run)
            owner.end(name, run.task.name, run.attempt, EndReason.STOPPED)
            owner.poll(
                name, *(row(remaining_run, 100) for remaining_run in run.executor.working_runs())
            )
        moved = {run.task for run in stopped}
        again = [run for run in owner.place() if run.task in moved]
        self.assertEqual({run.task for run in again}, moved)
        self.assertNotIn(vanished, [run.executor for run in again])

    def test_tasks_with_placement_constraints_are_not_moved(self) -> None:
        """Guards against a moved task that takes an accelerator which isn't free."""
        for changes in (
            {"accelerators": 1},
            {"gang": True},
            {"same_rack": True},
            {"data_rack": "r1"},
        ):
            with self.subTest(changes):
                owner = _owner(*MIXED)
                for task in owner.scheduler.jobs.live_tasks():
                    task.spec = replace(task.spec, **changes)
                _let_batch_wait(owner)
                _poll_all(owner)
                self.assertEqual(_settle(owner, 3.0), [])

    def test_nothing_is_moved_without_waiting_work(self) -> None:
        """Guards against moves without a gain: each makes a task unavailable for half a second."""
        owner = _owner(*MIXED)
        _poll_all(owner)
        self.assertEqual(_settle(owner, 4.0), [])

    def test_one_task_of_a_step_is_moved_at_a_time(self) -> None:
        owner = _owner()
        for number, image in enumerate(SERVICES):
            spec = job(
                f"{number:016x}",
                step(
                    count=2,
                    cpu_millis=6000,
                    image=image,
                    tail_target_ms=50,
                    long_running=True,
                    per_executor_limit=1,
                ),
            )
            owner.scheduler.accept(spec, START_MS)
        _keep_away(owner, ["i-2", "i-3"], True)
        owner.place()
        _keep_away(owner, ["i-2", "i-3"], False)
        _let_batch_wait(owner)
        _poll_all(owner)
        for _ in range(40):
            owner.tick(0.1)
            stops = owner.stops()
            self.assertLessEqual(len({run.task.step_id for run in stops}), len(SERVICES))
            self.assertEqual(len(stops), len({run.task.step_id for run in stops}))
            self.assertLessEqual(len(stops), MAX_RESERVED_MOVES)

    def test_a_moved_task_is_not_moved_again_soon(self) -> None:
        """Guards against tasks that are moved after each change of the learned effects."""
        owner = _owner(*MIXED)
        _let_batch_wait(owner)
        _poll_all(owner)
        first = _settle(owner, 4.0)
        owner.scheduler.adopt((learned("web", LIGHT), learned("desk", HEAVY)))
        again = _settle(owner, MIN_SECONDS_BETWEEN_MOVES / 2)
        self.assertFalse({run.task.name for run in first} & {run.task.name for run in again})

    def test_reserved_resources_are_not_given_to_other_tasks(self) -> None:
        """Guards against an executor that is overcommitted once a moved task arrives."""
        owner = _owner(*MIXED)
        _let_batch_wait(owner)
        _poll_all(owner)
        for _ in range(20):
            owner.tick(0.1)
            if owner.scheduler.executors and any(
                owner.executor(name).incoming_cpu_millis for name in PLACES
            ):
                break
        place = next(name for name in PLACES if owner.executor(name).incoming_cpu_millis)
        free = owner.executor(place).free_cpu_millis
        self.assertFalse(owner.executor(place).fits(free + 1000, 1000, 0))
        self.assertTrue(owner.executor(place).fits(free, 1000, 0))


class UsefulLeftoverTest(unittest.TestCase):
    """How much work without a reservation an executor can run."""

    @given(st.sets(st.sampled_from(("web", "desk", "third")), max_size=3))
    @settings(max_examples=20)
    def test_more_served_images_never_increase_useful_leftover(self, images: set[str]) -> None:
        owner = _owner(("1", "web", 0))
        useful_leftover = UsefulLeftover(
            owner.scheduler._state.interference, {"noisy": 1.0, "x": 2.0}, 0.5
        )
        executor = owner.executor("i-0")
        for image in images:
            self.assertGreaterEqual(
                useful_leftover.millis(executor, images - {image}) + 1e-9,
                useful_leftover.millis(executor, images),
            )

"""Waves of upkeep: which machines are cordoned, which go down, and when a wave is over."""

import unittest

from ...._ids import ExecutorId, MachineId, ServiceName
from .. import (
    EndReason,
    MachineListing,
    MachineState,
    Run,
    UpkeepMark,
    UpkeepPhase,
    UpkeepWave,
    WaveView,
)
from .builders_jobs import SERVICE, START_MS, OwnerUnderTest, job, registration, row, step

UP, DOWN = MachineState.UP, MachineState.UPKEEP
ORDERED, BEGUN = UpkeepPhase.ORDERED, UpkeepPhase.BEGUN


def _machine(number: int) -> MachineId:
    return MachineId(f"m-{number}")


def _view(
    states: dict[int, MachineState],
    marks: dict[int, UpkeepPhase] | None = None,
    most_at_once: int = 1,
    number: int = 1,
    services: dict[int, ServiceName] | None = None,
) -> WaveView:
    """Return a wave of the machines 0 to 2, each with the executor of its number while it is up."""
    machines = {
        _machine(machine_number): MachineListing(
            _machine(machine_number),
            (services or {}).get(machine_number, SERVICE),
            state,
            ExecutorId(f"i-{machine_number}") if state is UP else None,
        )
        for machine_number, state in states.items()
    }
    stored_marks = {
        _machine(machine_number): UpkeepMark(phase, ExecutorId(f"i-{machine_number}"))
        for machine_number, phase in (marks or {}).items()
    }
    wave = UpkeepWave(number, tuple(map(_machine, range(3))), most_at_once)
    return WaveView(wave, machines, stored_marks)


ALL_UP = {0: UP, 1: UP, 2: UP}


class WaveViewTest(unittest.TestCase):
    """The state of a wave, derived from the list of machines and the stored marks."""

    def test_when_a_wave_is_over(self) -> None:
        done = dict.fromkeys(range(3), BEGUN)
        for name, view, over in (
            ("nothing has begun", _view(ALL_UP), False),
            ("an order may be out", _view(ALL_UP, {**done, 2: ORDERED}), False),
            ("the last one is still down", _view({**ALL_UP, 2: DOWN}, done), False),
            ("all are back", _view(ALL_UP, done), True),
            ("one has left for good", _view({0: UP, 1: UP}, {0: BEGUN, 1: BEGUN}), True),
        ):
            with self.subTest(name):
                self.assertEqual(view.is_over(), over)

    def test_services_take_turns(self) -> None:
        """Guards against two owners that together take down more machines than the operator allows.

        A wave spans two services, and neither owner sees the other's orders.
        """
        services = {0: ServiceName("quotes"), 1: SERVICE, 2: SERVICE}
        self.assertEqual(_view(ALL_UP, services=services).next_service(), SERVICE)
        marks = {1: BEGUN, 2: BEGUN}
        self.assertEqual(_view(ALL_UP, marks, services=services).next_service(), "quotes")


class UpkeepTest(unittest.TestCase):
    """The part of an owner in a wave."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0", "i-1", "i-2")

    def _orders(self, *views: WaveView) -> list[tuple[int, MachineId]]:
        return self.owner.scheduler.next_upkeep(views, self.owner.now)

    def _serving(self, count: int, budget: int) -> list[Run]:
        """Start long-running tasks, one on each executor, and let them report full progress."""
        long_running_step = step(
            count=count, long_running=True, per_executor_limit=1, unavailable_budget=budget
        )
        self.owner.scheduler.accept(job("00000000000000aa", long_running_step), START_MS)
        runs = self.owner.place()
        for run in runs:
            self.owner.poll(run.executor.executor, row(run, 100))
        return runs

    def test_empty_machines_go_down_up_to_the_limit_of_the_wave(self) -> None:
        for max_at_once, expected in ((1, 1), (2, 2), (5, 3)):
            with self.subTest(max_at_once):
                self.assertEqual(
                    len(self._orders(_view(ALL_UP, most_at_once=max_at_once))), expected
                )

    def test_an_order_without_an_answer_counts_as_down_and_is_repeated(self) -> None:
        """Guards against more machines down than the operator allows.

        The answer to an order is lost. Taken for refused, it was carried out after all while the
        next machine went down.
        """
        view = _view(ALL_UP, {0: ORDERED})
        self.assertEqual(self._orders(view), [(1, _machine(0))])
        self.assertFalse(self.owner.executor("i-0").is_usable(self.owner.now))

    def test_a_machine_with_an_unconfirmed_order_gets_no_work_after_a_takeover(self) -> None:
        """Guards against a successor that starts tasks on a machine which is about to go down.

        The earlier owner was lost right after it had ordered the machine down; the late order ended
        the new tasks.
        """
        mark = UpkeepMark(ORDERED, ExecutorId("i-1"))
        self.owner.scheduler.recover_upkeep([(_machine(1), mark)], self.owner.now)
        usable = [
            number
            for number in range(3)
            if self.owner.executor(f"i-{number}").is_usable(self.owner.now)
        ]
        self.assertEqual(usable, [0, 2])

    def test_an_executor_registered_later_is_cordoned_too(self) -> None:
        """Guards against forgetting that an executor is cordoned while it is not registered.

        The executor's registration is missing while the next owner reads the store, or the executor
        is dropped for a while. Registered again, it got tasks, and the late order ended them.
        """
        mark = UpkeepMark(ORDERED, ExecutorId("i-9"))
        self.owner.scheduler.recover_upkeep([(_machine(9), mark)], self.owner.now)
        self.owner.scheduler.register(registration("i-9"), self.owner.now)
        self.owner.poll("i-9")
        self.assertFalse(self.owner.executor("i-9").is_usable(self.owner.now))
        self.owner.scheduler.poll_failed(self.owner.executor("i-9"), self.owner.now)
        self.owner.scheduler.unregister(ExecutorId("i-9"), self.owner.now)
        self.assertNotIn(ExecutorId("i-9"), self.owner.scheduler.executors)
        self.owner.scheduler.register(registration("i-9"), self.owner.now)
        self.owner.poll("i-9")
        self.assertFalse(self.owner.executor("i-9").is_usable(self.owner.now))

    def test_a_machine_is_not_ordered_down_for_two_waves_at_once(self) -> None:
        """Guards against ordering a machine down for two waves at once.

        The second order was refused while the machine was down, and repeated just when it was back
        with new work.
        """
        orders = self._orders(_view(ALL_UP), _view(ALL_UP, number=2))
        self.assertEqual(len({machine for _, machine in orders}), len(orders))

    def test_a_machine_goes_down_only_when_its_tasks_have_ended(self) -> None:
        """Guards against upkeep that ends short tasks on a machine.

        The work done would be lost, and the caller would wait for a second run.
        """
        self.owner.scheduler.accept(job("00000000000000bb", step(count=9)), START_MS)
        runs = self.owner.place()
        view = _view(ALL_UP)
        self.assertEqual(self._orders(view), [])
        emptied, *_ = [
            number
            for number in range(3)
            if not self.owner.executor(f"i-{number}").is_usable(self.owner.now)
        ]
        name = f"i-{emptied}"
        for run in runs:
            if run.executor.executor == name:
                self.owner.end(name, run.task.name, run.attempt, EndReason.DONE)
        self.owner.poll(name)
        self.assertEqual(self._orders(view), [(1, _machine(emptied))])

    def test_long_running_tasks_are_moved_one_at_a_time(self) -> None:
        """Guards against stopping several tasks of a service at once.

        Both run on machines that are due, and its users would have fewer tasks than they are
        promised.
        """
        for budget, expected in ((0, 1), (1, 1), (2, 2)):
            with self.subTest(budget):
                self.setUp()
                self._serving(3, budget)
                self._orders(_view(ALL_UP, most_at_once=2))
                self.owner.tick(0.1)
                self.assertEqual(len(self.owner.stops()), expected)
                self.owner.tick(0.1)
                self.assertEqual(self.owner.stops(), [])

    def test_machines_take_work_again_when_a_wave_is_withdrawn(self) -> None:
        """Guards against machines that stay cordoned after an operator has withdrawn their wave.

        They were idle until the next change of owner, while jobs waited for resources.
        """
        self._orders(_view(ALL_UP))
        self.assertTrue(self.owner.executor("i-0").cordoned)
        self._orders()
        usable = [
            self.owner.executor(f"i-{number}").is_usable(self.owner.now) for number in range(3)
        ]
        self.assertEqual(usable, [True] * 3)

    def test_moved_tasks_avoid_machines_with_due_upkeep(self) -> None:
        """Guards against moving a service to a machine that is due next, so that users wait
        twice."""
        long_running_step = step(long_running=True, image="web", tail_target_ms=18, cpu_millis=3000)
        self._orders(_view({0: UP, 1: UP}))
        self.owner.scheduler.accept(job("00000000000000aa", long_running_step), START_MS)
        (run,) = self.owner.place()
        self.assertEqual(run.executor.executor, "i-2")

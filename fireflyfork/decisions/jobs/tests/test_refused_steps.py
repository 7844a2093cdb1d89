"""Steps that no executor can run, and tasks behind them that fit on idle executors.

Pattern of the load: a kind of executor is lost, or callers submit gangs, limits and sizes that fit
nowhere. Long-running steps come first in the order of urgency, so all others are behind them.
"""

import unittest
from collections.abc import Callable
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import ExecutorId, QueueName
from ...._waits import WaitReason
from .. import EndReason, StepSpec, _cost_caches, _placement, _placement_round
from .._free_room import FreeRoom
from .._placement import MAX_COSTS_PER_ROUND, MAX_REFUSED_SHAPES
from .._placement_costs import choose, placement_cost
from .._runs import Task
from .builders_jobs import START_MS, OwnerUnderTest, job, queue, registration, row, step, table

EXECUTORS = 21
REFUSED_STEPS = 60
ROUNDS = 5
LABELS = ("a", "b")

REFUSED: dict[str, Callable[[int], StepSpec]] = {
    "label": lambda n: step(cpu_millis=200 + n, long_running=True, required_label="b"),
    "too large": lambda n: step(cpu_millis=16_001 + n, long_running=True),
    "gang": lambda n: step(cpu_millis=9_000 + n, count=EXECUTORS + 1, gang=True, long_running=True),
    "short gang": lambda n: step(cpu_millis=9_000 + n, count=EXECUTORS + 1, gang=True),
    "accelerators": lambda n: step(cpu_millis=200 + n, accelerators=1, long_running=True),
    "leftover": lambda n: step(
        cpu_millis=100_000 + n, memory_mb=1, image=f"x{n}", uses_leftover_cpu=True
    ),
}
"""By name: the step of job ``n``, which doesn't fit on executors that are all idle."""


def _fleet(executors: int = EXECUTORS) -> OwnerUnderTest:
    return OwnerUnderTest(*(f"i-{number}" for number in range(executors)))


def _accept_refused(owner: OwnerUnderTest, kind: str, count: int = REFUSED_STEPS) -> None:
    first = 0x10000 * list(REFUSED).index(kind)
    for number in range(count):
        owner.scheduler.accept(job(f"{first + number:016x}", REFUSED[kind](number)), START_MS)


def _starts_at_a_tick(owner: OwnerUnderTest, *steps: StepSpec) -> int:
    """Submit a job that has to wait for room, and return how many tasks start once there is room."""
    name = f"{2**40:016x}"
    executors = owner.scheduler.executors.values()
    for executor in executors:
        executor.incoming_memory_mb += 64_000
    owner.scheduler.accept(job(name, *steps), START_MS)
    owner.place()
    for executor in executors:
        executor.incoming_memory_mb -= 64_000
    started = 0
    for _ in range(ROUNDS):
        owner.tick(0.1)
        started += sum(run.task.job.spec.job == name for run in owner.place())
    return started


class RefusedStepsTest(unittest.TestCase):
    """A task that fits on an idle executor is started, however many before it can't be."""

    def test_short_tasks_start_behind_steps_that_fit_nowhere(self) -> None:
        """Guards against idle executors and accepted jobs that never start."""
        for kind in REFUSED:
            with self.subTest(kind):
                owner = _fleet()
                _accept_refused(owner, kind)
                owner.place()
                wide = step(count=36, cpu_millis=3400)
                self.assertEqual(_starts_at_a_tick(owner, wide), 36)

    def test_long_running_tasks_start_behind_steps_that_fit_nowhere(self) -> None:
        """Guards against a service that is never started while executors of its kind are idle."""
        for kind in REFUSED:
            with self.subTest(kind):
                owner = _fleet()
                _accept_refused(owner, kind)
                owner.place()
                lasting = step(count=6, cpu_millis=3200, long_running=True)
                self.assertEqual(_starts_at_a_tick(owner, lasting), 6)

    def test_tasks_start_behind_steps_that_have_used_up_their_limit(self) -> None:
        """Guards against limits per executor that keep all other tasks from idle executors."""
        owner = _fleet()
        for number in range(REFUSED_STEPS):
            limited = step(
                count=EXECUTORS + 2,
                cpu_millis=1 + number,
                memory_mb=1,
                long_running=True,
                per_executor_limit=1,
            )
            owner.scheduler.accept(job(f"{number:016x}", limited), START_MS)
        for _ in range(ROUNDS):
            owner.tick(0.1)
            owner.place()
        self.assertEqual(owner.scheduler.waiting_tasks, 2 * REFUSED_STEPS)
        self.assertEqual(_starts_at_a_tick(owner, step(count=36, cpu_millis=3400)), 36)

    def test_tasks_start_behind_steps_that_wait_for_tickets(self) -> None:
        """Guards against an advisor without an answer that stops the queues without advice."""
        owner = _fleet()
        with_tickets = queue(name="t", needs_tickets=True)
        owner.scheduler.configure(table(queue(), with_tickets))
        for number in range(REFUSED_STEPS):
            waiting = step(cpu_millis=100 + number, long_running=True)
            spec = job(f"{number:016x}", waiting, queue=QueueName("t"))
            owner.scheduler.accept(spec, START_MS)
        owner.place()
        self.assertEqual(_starts_at_a_tick(owner, step(count=36, cpu_millis=3400)), 36)

    def test_tasks_start_behind_steps_that_wait_for_the_reserve(self) -> None:
        """Guards against long-running tasks that wait for room kept for short ones, and keep it."""
        owner = _fleet(2)
        for number in range(REFUSED_STEPS):
            lasting = step(count=8, cpu_millis=900 + number, long_running=True)
            owner.scheduler.accept(job(f"{number:016x}", lasting), START_MS)
        owner.place()
        self.assertEqual(_starts_at_a_tick(owner, step(count=2, cpu_millis=500)), 2)

    def test_a_small_task_starts_behind_a_large_one_of_the_same_image(self) -> None:
        """Guards against tasks without a reservation that share the refusal of a larger one."""
        owner = _fleet(2)
        for number, cpu in ((1, 100_000), (2, 500)):
            spec = step(cpu_millis=cpu, image="x", uses_leftover_cpu=True)
            owner.scheduler.accept(job(f"{number:016x}", spec), START_MS)
        self.assertEqual([run.task.spec.cpu_millis for run in owner.place()], [500])

    def test_a_step_starts_when_its_kind_of_executor_comes_back(self) -> None:
        """Guards against a refusal that outlives its reason."""
        owner = _fleet(3)
        _accept_refused(owner, "label", 3)
        owner.place()
        owner.tick(0.1)
        self.assertEqual(owner.place(), [])
        owner.scheduler.register(
            registration("i-1", labels=frozenset({"b", "r1"}), incarnation=2), owner.now
        )
        owner.store()
        owner.poll("i-1", incarnation=2)
        owner.tick(0.1)
        self.assertEqual(len(owner.place()), 3)


class RefusalCostTest(unittest.TestCase):
    """What steps that were refused cost an owner with hundreds of executors."""

    def test_no_executor_is_compared_again_until_one_gains_room(self) -> None:
        """Guards against an owner that spends its time on steps that it has refused before."""
        owner = _fleet(200)
        for kind in ("label", "too large", "gang"):
            _accept_refused(owner, kind, 300)
        owner.scheduler.accept(job(f"{2**40:016x}", step(count=4)), START_MS)
        runs = [run for _ in range(ROUNDS) for run in owner.place()]
        with (
            patch.object(_cost_caches, "placement_cost", wraps=placement_cost) as costs,
            patch.object(_placement, "choose", wraps=choose) as choices,
            patch.object(
                FreeRoom, "may_fit_together", autospec=True, side_effect=FreeRoom.may_fit_together
            ) as gangs,
        ):
            for _ in range(10):
                owner.tick(0.1)
                owner.place()
            owner.end("i-0", runs[0].task.name, runs[0].attempt, EndReason.DONE)
            owner.poll("i-0")
            owner.tick(0.1)
            owner.place()
        self.assertEqual((costs.call_count, choices.call_count), (0, 0))
        self.assertLessEqual(gangs.call_count, 300)

    def test_a_round_compares_a_bounded_number_of_executors(self) -> None:
        """Guards against an owner that loses its service to a backlog that it can't place."""
        owner = _fleet()
        for kind in ("label", "too large", "gang"):
            _accept_refused(owner, kind, 2 * MAX_COSTS_PER_ROUND)
        owner.store()
        before = owner.scheduler.waiting_tasks
        with patch.object(FreeRoom, "lack", autospec=True, side_effect=FreeRoom.lack) as refused:
            rounds = 1
            while owner.scheduler.place(owner.now, START_MS):
                self.assertLessEqual(refused.call_count, rounds * MAX_COSTS_PER_ROUND)
                rounds += 1
                owner.tick(0.1)
            self.assertLessEqual(refused.call_count, before)
        self.assertEqual(owner.scheduler.waiting_tasks, before)

    def test_steps_that_would_disturb_services_take_turns(self) -> None:
        """Guards against a task without a reservation that is never compared with any executor."""
        owner = OwnerUnderTest("i-0")
        web = step(count=4, cpu_millis=3000, image="web", tail_target_ms=10, long_running=True)
        owner.scheduler.accept(job(f"{2**40:016x}", web), START_MS)
        runs = owner.place()
        count = 3 * MAX_REFUSED_SHAPES
        for number in range(count):
            noisy = step(cpu_millis=60_000 + number, image=f"x{number}", uses_leftover_cpu=True)
            owner.scheduler.accept(job(f"{number:016x}", noisy), START_MS)
        compared: set[Task] = set()

        def record(task: Task, *rest: object) -> object:
            compared.add(task)
            return placement_cost(task, *rest)  # type: ignore[arg-type]

        with (
            patch.object(_placement_round, "leftover_millis", return_value=1e9),
            patch.object(_cost_caches, "placement_cost", side_effect=record),
        ):
            for _ in range(count):
                owner.poll("i-0", *(row(run, 100, 9.0) for run in runs))
                owner.tick(0.1)
                owner.place()
        self.assertEqual(len(compared), count)
        reasons = {task.wait_reason for task in compared}
        self.assertLessEqual(reasons, {WaitReason.DISTURBS, WaitReason.BEHIND})


_SPECS = st.builds(
    step,
    count=st.integers(1, 3),
    cpu_millis=st.sampled_from((500, 4_000, 9_000, 16_000, 17_000)),
    memory_mb=st.sampled_from((0, 1_000, 60_000)),
    accelerators=st.sampled_from((0, 0, 0, 1)),
    required_label=st.sampled_from(("", "", "a", "b")),
    per_executor_limit=st.sampled_from((0, 0, 1)),
    gang=st.booleans(),
    long_running=st.booleans(),
)
_EVENTS = st.one_of(
    st.tuples(st.just("submit"), _SPECS),
    st.tuples(st.just("end"), st.integers(0, 9)),
    st.tuples(st.just("restart"), st.tuples(st.integers(0, 3), st.sampled_from(LABELS))),
    st.tuples(st.just("silence"), st.integers(0, 3)),
    st.tuples(st.just("poll"), st.integers(0, 3)),
    st.tuples(st.just("drain"), st.tuples(st.integers(0, 3), st.booleans())),
    st.tuples(st.just("tick"), st.just(0)),
)


class _Fleet:
    """Four executors whose runs end, and that come and go, as events say."""

    def __init__(self) -> None:
        self.owner = _fleet(4)
        self._jobs = 0
        self._incarnations = dict.fromkeys(range(4), 1)
        self._labels = dict.fromkeys(range(4), "a")

    def apply(self, event: tuple[str, object]) -> None:
        """Let an event happen."""
        name, value = event
        getattr(self, f"_{name}")(value)

    def settle(self) -> None:
        """Place until nothing is left for another round."""
        self._tick(0)
        while self.owner.place():
            continue

    def placeable(self) -> list[Task]:
        """Return the waiting tasks that an executor could run now, reserves aside."""
        state = self.owner.scheduler._state
        usable = state.usable_executors(self.owner.now)
        return [
            task
            for task in state.waiting
            if state.needs_run(task)
            and not (task.spec.long_running and task.wait_reason is WaitReason.RESERVED)
            and (
                FreeRoom(usable).may_fit_together(task.spec)
                if task.spec.gang
                else choose(task, usable, state.interference, 2.0) is not None
            )
        ]

    def _submit(self, spec: StepSpec) -> None:
        self._jobs += 1
        self.owner.scheduler.accept(job(f"{self._jobs:016x}", spec), START_MS)

    def _end(self, number: int) -> None:
        runs = [
            run for each in self.owner.scheduler.executors.values() for run in each.working_runs()
        ]
        if runs:
            run = runs[number % len(runs)]
            name = run.executor.executor
            self.owner.end(name, run.task.name, run.attempt, EndReason.DONE)
            self._poll(int(name.removeprefix("i-")))

    def _restart(self, value: tuple[int, str]) -> None:
        number, self._labels[value[0]] = value
        self._incarnations[number] += 1
        self.owner.ends.pop(f"i-{number}", None)
        self._register(number, draining=False)
        self._poll(number)

    def _drain(self, value: tuple[int, bool]) -> None:
        self._register(value[0], draining=value[1])

    def _register(self, number: int, draining: bool) -> None:
        name = f"i-{number}"
        labels = frozenset({self._labels[number], "r1"})
        entry = registration(
            name, incarnation=self._incarnations[number], labels=labels, draining=draining
        )
        self.owner.scheduler.register(entry, self.owner.now)
        self.owner.store()

    def _silence(self, number: int) -> None:
        executor = self.owner.scheduler.executors.get(ExecutorId(f"i-{number}"))
        if executor is not None:
            self.owner.scheduler.poll_failed(executor, self.owner.now)

    def _poll(self, number: int) -> None:
        executor = self.owner.scheduler.executors.get(ExecutorId(f"i-{number}"))
        if executor is not None:
            ended = {(row.task, row.attempt) for row in self.owner.ends.get(f"i-{number}", ())}
            rows = [row(run) for run in executor.runs.values() if run.key not in ended]
            self.owner.poll(f"i-{number}", *rows, incarnation=self._incarnations[number])

    def _tick(self, _: int) -> None:
        self.owner.tick(0.1)
        self.owner.place()


class NoMissedGainTest(unittest.TestCase):
    """Whatever happens, a task that an executor can run is not left waiting."""

    @given(st.lists(_EVENTS, max_size=40))
    def test_no_placeable_task_is_left(self, events: list[tuple[str, object]]) -> None:
        """Guards against a refusal that is remembered although an executor has gained room."""
        fleet = _Fleet()
        for event in events:
            fleet.apply(event)
        fleet.settle()
        self.assertEqual(fleet.placeable(), [])

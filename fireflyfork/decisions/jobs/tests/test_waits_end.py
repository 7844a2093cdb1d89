"""Every wait for an executor has something that ends it, and a time by which it ends.

The reasons to wait, and what ends each, are listed in docs/design/waits.md.
"""

import unittest
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from ...._ids import QueueName, TaskName
from .. import EndReason, PolicySettings, StepSpec
from .._placement_costs import MAX_PATIENCE_SECONDS
from .._policy_settings import PreemptionSettings
from .._reserved_room import MAX_REFUSED_SECONDS, SHORT_TASKS_GONE_SECONDS
from .builders_histories import EXECUTORS, ServiceHistory
from .builders_jobs import (
    START_MS,
    TERMS,
    OwnerUnderTest,
    job,
    queue,
    row,
    step,
    table,
)

LOST_AFTER_SECONDS = 9.0
"""From 6 s after its acceptance a task that lasts must not wait for 3 s while there is room for it
twice over."""
LASTING = {"memory_mb": 100, "long_running": True}


def _fleet(count: int, policies: PolicySettings | None = None) -> OwnerUnderTest:
    terms = TERMS if policies is None else replace(TERMS, policies=policies)
    return OwnerUnderTest(*(f"i-{number}" for number in range(count)), terms=terms)


def _seconds_until_start(owner: OwnerUnderTest, name: str, limit: float = 100.0) -> float | None:
    """Place until a task of the job starts; return after how long, or None."""
    began = owner.now
    while owner.now - began <= limit:
        if any(run.task.job.spec.job == name for run in owner.place()):
            return owner.now - began
        owner.tick(0.25)
        for executor in list(owner.scheduler.executors):
            runs = owner.executor(executor).runs.values()
            owner.poll(executor, *(row(run, 100) for run in runs))
    return None


def _list_long_running(owner: OwnerUnderTest) -> None:
    """Let the executor list its long-running tasks, and the ends of the others."""
    runs = owner.executor().runs.values()
    owner.poll("i-0", *(row(run, 100) for run in runs if run.task.spec.long_running))


class WaitsTest(unittest.TestCase):
    """Asserts that waits end."""

    def assert_starts_within(self, limit: float, owner: OwnerUnderTest, name: str) -> None:
        """Assert that a task of the job starts sooner than after ``limit`` seconds."""
        seconds = _seconds_until_start(owner, name)
        assert seconds is not None
        self.assertLess(seconds, limit)


class RoomForShortTasksTest(WaitsTest):
    """Long-running tasks are refused the room that is kept for short ones, for a time."""

    def test_a_long_running_task_starts_where_it_fits_twice_after_a_loss(self) -> None:
        """Guards against a job that never starts since an idle executor was lost."""
        owner = _fleet(8)
        owner.scheduler.accept(job("a" * 16, step(count=6, cpu_millis=16_000, **LASTING)), START_MS)
        self.assertEqual(len(owner.place()), 6)
        idle = [each for each in owner.scheduler.executors.values() if not each.runs]
        owner.scheduler.poll_failed(idle[0], owner.now)
        owner.scheduler.unregister(idle[0].executor, owner.now)
        owner.tick(8.0)
        owner.scheduler.accept(job("b" * 16, step(cpu_millis=5000, **LASTING)), START_MS)
        self.assert_starts_within(LOST_AFTER_SECONDS, owner, "b" * 16)

    def test_all_tasks_of_a_step_start_while_one_more_fits(self) -> None:
        """Guards against a bound that holds for the first task of a step and not for the others."""
        owner = _fleet(1)
        owner.scheduler.accept(job("a" * 16, step(count=20, cpu_millis=1000, **LASTING)), START_MS)
        self.assertEqual(len(owner.place()), 14)
        owner.tick(MAX_REFUSED_SECONDS + 0.1)
        self.assertEqual(len(owner.place()), 1)
        self.assertEqual(owner.executor().free_cpu_millis, 1000)

    def test_short_tasks_keep_room_while_they_come(self) -> None:
        """Guards against short tasks that wait for long-running ones, which never end."""
        owner = _fleet(1)
        owner.scheduler.accept(job("a" * 16, step(count=20, cpu_millis=1000, **LASTING)), START_MS)
        owner.place()
        for number in range(60):
            owner.scheduler.accept(job(f"{number:016x}", step(cpu_millis=1000)), START_MS)
            self.assert_starts_within(1.0, owner, f"{number:016x}")
            for run in list(owner.executor().runs.values()):
                if not run.task.spec.long_running:
                    owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
            owner.tick(1.0)
            _list_long_running(owner)

    def test_the_last_room_is_used_when_no_short_tasks_come(self) -> None:
        """Guards against room that is kept for ever for tasks that aren't there."""
        for policies in (PolicySettings(), _ADAPTIVE):
            with self.subTest(policies):
                owner = _fleet(1, policies)
                steps = step(count=14, cpu_millis=1000, **LASTING)
                owner.scheduler.accept(job("a" * 16, steps), START_MS)
                self.assertEqual(len(owner.place()), 14)
                owner.scheduler.accept(job("b" * 16, step(cpu_millis=2000, **LASTING)), START_MS)
                self.assert_starts_within(SHORT_TASKS_GONE_SECONDS + 1.0, owner, "b" * 16)

    def test_a_task_that_is_larger_than_long_running_tasks_may_take(self) -> None:
        """Guards against a task that fits an idle service and never starts."""
        owner = _fleet(1)
        owner.scheduler.accept(job("a" * 16, step(cpu_millis=16_000, **LASTING)), START_MS)
        self.assert_starts_within(LOST_AFTER_SECONDS, owner, "a" * 16)

    def test_a_gang_starts_where_it_fits_twice(self) -> None:
        """Guards against a bound that compares the room with one member of a gang."""
        owner = _fleet(4)
        owner.scheduler.accept(job("a" * 16, step(count=57, cpu_millis=1000, **LASTING)), START_MS)
        self.assertEqual(len(owner.place()), 57)
        gang = step(count=3, cpu_millis=1000, gang=True, **LASTING)
        owner.scheduler.accept(job("b" * 16, gang), START_MS)
        self.assert_starts_within(LOST_AFTER_SECONDS, owner, "b" * 16)


_ADAPTIVE = PolicySettings(PreemptionSettings(True, adaptive_reserve=True))


class OtherWaitsTest(WaitsTest):
    """Other refusals that long-running tasks could make last for ever."""

    def test_less_urgent_tasks_start_beside_long_running_ones(self) -> None:
        """Guards against room for urgent tasks that is kept from the others for good."""
        owner = _fleet(1, _ADAPTIVE)
        owner.scheduler.configure(table(queue(priority=0), queue(name="less", priority=2)))
        owner.scheduler.accept(job("a" * 16, step(count=14, cpu_millis=1000, **LASTING)), START_MS)
        self.assertEqual(len(owner.place()), 14)
        for number in range(40):
            urgent = job(f"{number:016x}", step(cpu_millis=1000, estimate_ms=2000))
            owner.scheduler.accept(urgent, START_MS + owner.clock())
            for run in owner.place():
                owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
            owner.tick(0.5)
            _list_long_running(owner)
        self.assertGreater(owner.scheduler._state.policies.room.urgent_share(), 0.1)
        late = job("b" * 16, step(cpu_millis=1000), queue=QueueName("less"))
        owner.scheduler.accept(late, START_MS + owner.clock())
        self.assert_starts_within(3.0, owner, "b" * 16)

    def test_tasks_without_a_reservation_start_beside_full_reservations(self) -> None:
        """Guards against a cost that no task accepts while nothing ends."""
        for lasting, limit in ((True, LOST_AFTER_SECONDS), (False, MAX_PATIENCE_SECONDS + 1.0)):
            with self.subTest(lasting=lasting):
                owner = _fleet(1)
                full = step(cpu_millis=16_000, **LASTING)
                owner.scheduler.accept(job("a" * 16, full), START_MS)
                self.assertIsNotNone(_seconds_until_start(owner, "a" * 16))
                filling = step(image="noisy", uses_leftover_cpu=True, long_running=lasting)
                owner.scheduler.accept(job("b" * 16, filling), START_MS + owner.clock())
                self.assert_starts_within(limit, owner, "b" * 16)


class YoungerTasksTest(unittest.TestCase):
    """Tasks without a reservation, of which the younger ones still wait for a cheap executor."""

    def test_an_old_task_starts_behind_younger_ones_of_its_shape(self) -> None:
        """Guards against an old job that is refused for the patience of the jobs before it."""
        owner = _fleet(1)
        owner.scheduler.configure(table(queue(priority=0), queue(name="less", priority=2)))
        full = step(cpu_millis=16_000, **LASTING)
        owner.scheduler.accept(job("a" * 16, full), START_MS)
        self.assertIsNotNone(_seconds_until_start(owner, "a" * 16))
        filling = step(image="noisy", uses_leftover_cpu=True)
        old = job("b" * 16, filling, queue=QueueName("less"), accepted_ms=START_MS + owner.clock())
        owner.scheduler.accept(old, START_MS + owner.clock())
        for number in range(int(MAX_PATIENCE_SECONDS) + 2):
            now_ms = START_MS + owner.clock()
            younger = job(f"{number:016x}", filling, accepted_ms=now_ms)
            owner.scheduler.accept(younger, now_ms)
            owner.tick(1.0)
            rows = [row(run, 100) for run in owner.executor().runs.values()]
            owner.poll("i-0", *rows)
            started = {run.task.job.spec.job for run in owner.place()}
            if old.job in started:
                return
        self.fail("the old job has not started")


class CalmMachine(ServiceHistory):
    """Any history, after which the fleet is calm and a job is accepted that it can hold."""

    @rule(size=st.sampled_from(((2, 16_000), (3, 14_000), (40, 1000))))
    def fill(self, size: tuple[int, int]) -> None:
        """Submit a job whose tasks last and take most of the room."""
        self.submitted += 1
        spec = job(f"{self.submitted - 1:016x}", step(count=size[0], cpu_millis=size[1], **LASTING))
        self.service.submit(spec)
        self.service.tick(0.1)
        self.service.place()
        self.accept_starts()

    @rule(
        lasting=st.booleans(),
        cpu_millis=st.sampled_from((100, 1000, 4000)),
        label=st.sampled_from(("", "a")),
    )
    def a_job_starts_once_the_fleet_is_calm(
        self, lasting: bool, cpu_millis: int, label: str
    ) -> None:
        """Restore all that was lost, end what ends by itself, and submit a job."""
        self._calm_down()
        probe = step(
            cpu_millis=cpu_millis, memory_mb=10, long_running=lasting, required_label=label
        )
        if not self._has_room_twice(probe):
            return
        self.submitted += 1
        name = f"{self.submitted - 1:016x}"
        self.service.submit(job(name, probe, accepted_ms=self.service.now_ms))
        began = self.service.now
        while not self._has_run(TaskName(f"{name}.0.0.0")):
            waited = self.service.now - began
            reason = self.service.scheduler.jobs.get(job(name).job)
            assert waited <= LOST_AFTER_SECONDS, reason
            self._work_for(0.25)

    def _calm_down(self) -> None:
        service = self.service
        service.configure([queue()])
        service.scheduler.evacuate(frozenset())
        for name in EXECUTORS:
            service.executors[name].change(draining=False)
            service.register(name)
        for _ in range(40):
            self._work_for(0.5)

    def _work_for(self, seconds: float) -> None:
        """Place, answer all orders, and end the runs that end by themselves."""
        service = self.service
        service.tick(seconds)
        service.place()
        self.accept_starts()
        for name in EXECUTORS:
            simulated = service.executors[name]
            for key in sorted(simulated.running):
                known = service.scheduler.jobs.task(key[0])
                if known is not None and not known.spec.long_running:
                    simulated.end(key, EndReason.DONE)
            service.poll(name, percent=100)
        service.store()

    def _has_room_twice(self, probe: StepSpec) -> bool:
        return any(
            executor.fits(2 * probe.reserved_cpu_millis, 2 * probe.memory_mb, 0)
            and (not probe.required_label or probe.required_label in executor.registration.labels)
            for executor in self.service.states()
        )

    def _has_run(self, name: TaskName) -> bool:
        known = self.service.scheduler.jobs.task(name)
        return known is None or bool(known.runs)


CalmTest = CalmMachine.TestCase
"""Guards against a wait that outlasts everything that caused it."""
CalmTest.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)

"""Measures the processor time per task start in a service's owner, by the number of executors.

``python -m bench.job_scheduler_cost`` runs only the decisions of the scheduler. Jobs of eight tasks
are accepted, placed next to serving tasks and ended at the next poll. A second table has the time
of a tick while steps wait that no executor can run, no two of the same shape, and how many rounds
it takes to start a task that fits behind them. Times depend on this machine's processor.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from random import Random

from fireflyfork import Address
from fireflyfork._ids import (
    AttemptNumber,
    ConfigurationVersion,
    ExecutorId,
    FailureDomainName,
    JobId,
    QueueName,
    ServiceName,
)
from fireflyfork.decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    ExecutorRegistration,
    ExecutorRoom,
    JobSpec,
    OrderAnswer,
    PollAnswer,
    QueueConfiguration,
    Run,
    RunningRow,
    Scheduler,
    SchedulerSettings,
    StartRun,
    StepSpec,
    queue_table,
)

SIZES = (24, 48, 100, 200, 400, 800, 1600)
STARTS_PER_EXECUTOR = 40
MAX_STARTS = 8_000
SERVING_PER_EXECUTOR = 4
BACKLOG_SIZES = (24, 400, 1600)
BACKLOGS = (24, 400, 4_000)
TICKS = 20
MAX_ROUNDS = 50
SERVICE = ServiceName("desk")
IMAGES = tuple(f"image-{number}" for number in range(9))


@dataclass(slots=True)
class Cost:
    """Processor time in seconds, with the numbers of starts and polls that it covers."""

    placing: float = 0.0
    polling: float = 0.0
    starts: int = 0
    polls: int = 0


class Owner:
    """The scheduler of one owner with simulated executors."""

    def __init__(
        self, executors: int, uses_leftover_cpu: bool = True, serving: bool = True
    ) -> None:
        """Register the executors and, with ``serving``, start the serving tasks.

        If ``uses_leftover_cpu`` is true, batch tasks use the processor time that serving tasks
        leave over; otherwise they reserve their own.
        """
        self._uses_leftover_cpu = uses_leftover_cpu
        self._random = Random(executors)
        self._scheduler = Scheduler(SchedulerSettings(SERVICE, 8.0, 5.0))
        queue = QueueConfiguration(QueueName("q"), "h", "/q/", SERVICE, 0, 3, 2.0, 1000, 3000)
        self._scheduler.configure(
            queue_table(ConfigurationVersion(1), (queue,), frozenset({SERVICE}))
        )
        self._now = 1000.0
        self._jobs = 0
        self._numbers: dict[ExecutorId, int] = {}
        self.cost = Cost()
        for number in range(executors):
            self._scheduler.register(_registration(number), self._now)
        self._scheduler.executors_stored(self._scheduler.take_changed_executors() or ())
        self._poll_all(ends=False)
        if serving:
            self._start_serving(executors)
        self.cost = Cost()

    def _start_serving(self, executors: int) -> None:
        step = StepSpec(
            SERVING_PER_EXECUTOR * executors,
            3000,
            6000,
            0,
            1000,
            long_running=True,
            image="web",
            tail_target_ms=18,
        )
        self._submit(step)
        self._place()

    def run(self, starts: int) -> Cost:
        """Submit jobs until this many tasks have been started, and return the cost."""
        while self.cost.starts < starts:
            for _ in range(max(1, len(self._scheduler.executors) // 8)):
                image = self._random.choice(IMAGES)
                self._submit(
                    StepSpec(
                        8,
                        1500,
                        1500,
                        0,
                        2000,
                        image=image,
                        uses_leftover_cpu=self._uses_leftover_cpu,
                    )
                )
            self._place()
            self._poll_all(ends=True)
        return self.cost

    def add_backlog(self, steps: int) -> None:
        """Submit long-running steps of different shapes that no executor can run.

        Their kind of executor is missing, they are larger than any executor, or they are gangs
        that fit nowhere as a whole.
        """
        executors = len(self._scheduler.executors)
        for number in range(steps):
            step = StepSpec(1, 100 + number, 100, 0, 1000, long_running=True)
            kind = number % 4
            if kind == 0:
                step = replace(step, required_label="missing")
            elif kind == 1:
                step = replace(step, cpu_millis=16_001 + number)
            elif kind == 2:
                count = executors + 1
                step = replace(step, count=min(count, 1_000), cpu_millis=16_000, gang=True)
            else:
                step = replace(step, cpu_millis=100 + number, memory_mb=64_001 + number)
            self._submit(step)

    def tick(self) -> float:
        """Advance by a tick without reports; return its processor time in seconds."""
        self._now += 0.1
        self._poll_all(ends=False)
        begun = time.process_time()
        self._scheduler.check_time(self._now, 0)
        self._scheduler.place(self._now, 0)
        return time.process_time() - begun

    def rounds_to_start(self) -> int:
        """Submit a small task just before a tick; return in which round it starts, 0 if in none."""
        self._submit(StepSpec(1, 500, 500, 0, 1000))
        for number in range(1, MAX_ROUNDS + 1):
            self._scheduler.check_time(self._now, 0)
            self._scheduler.place(self._now, 0)
            if any(isinstance(each, StartRun) for each in self._scheduler.take_commands()):
                return number
        return 0

    def _submit(self, step: StepSpec) -> None:
        self._jobs += 1
        name = JobId(f"{self._jobs:016x}")
        spec = JobSpec(name, QueueName("q"), SERVICE, "work", (step,), 0)
        self._scheduler.accept(spec, 0)

    def _place(self) -> None:
        begun = time.process_time()
        self._scheduler.place(self._now, 0)
        commands = self._scheduler.take_commands()
        self.cost.placing += time.process_time() - begun
        for run in (one.run for one in commands if isinstance(one, StartRun)):
            self.cost.starts += 1
            self._scheduler.start_answered(run, OrderAnswer(CallOutcome.ACCEPTED, 1), self._now)

    def _poll_all(self, ends: bool) -> None:
        self._now += 0.5
        clock = int(self._now * 1000)
        for name, executor in tuple(self._scheduler.executors.items()):
            runs = list(executor.runs.values())
            ended_runs = [run for run in runs if ends and not run.task.spec.long_running]
            rows = tuple(_row(run) for run in runs if run not in ended_runs)
            answer = PollAnswer(CallOutcome.ACCEPTED, clock, 1, rows, self._ended(name, ended_runs))
            begun = time.process_time()
            self._scheduler.poll_answered(executor, self._now, answer, self._now, 0)
            self.cost.polling += time.process_time() - begun
            self.cost.polls += 1
        self._scheduler.take_commands()
        self._scheduler.take_notes()
        self._scheduler.jobs.changes.take(10**6)
        self._scheduler.jobs.changes.mark_stored()
        self._scheduler.release_stored_ends()
        self._scheduler.check_time(self._now, 0)

    def _ended(self, name: ExecutorId, runs: list[Run]) -> tuple[EndedRow, ...]:
        rows = []
        for run in runs:
            self._numbers[name] = self._numbers.get(name, 0) + 1
            rows.append(
                EndedRow(self._numbers[name], run.task.name, run.attempt, EndReason.DONE, "")
            )
        return tuple(rows)


def _row(run: Run) -> RunningRow:
    figure = 7.0 if run.task.spec.tail_target_ms else 1500.0
    return RunningRow(run.task.name, AttemptNumber(run.attempt), "", 100, figure)


def _registration(number: int) -> ExecutorRegistration:
    return ExecutorRegistration(
        ExecutorId(f"i-{number}"),
        SERVICE,
        Address("10.0.0.1", 80),
        FailureDomainName("suva"),
        False,
        ExecutorRoom(16000, 64000, 0),
        frozenset({"a", f"r{number // 8}"}),
        f"r{number // 8}",
        1,
    )


def main() -> None:
    """Print a line per number of executors."""
    print("executors  us a start that fills  us a start that reserves  us a poll")
    for size in SIZES:
        starts = min(STARTS_PER_EXECUTOR * size, MAX_STARTS)
        fills, reserves = Owner(size).run(starts), Owner(size, uses_leftover_cpu=False).run(starts)
        placing = [cost.placing / cost.starts * 1e6 for cost in (fills, reserves)]
        polling = fills.polling / fills.polls * 1e6
        print(f"{size:9d}  {placing[0]:21.0f}  {placing[1]:24.0f}  {polling:9.0f}")
    print("executors  steps that can't be placed  ms a tick  longest  round of a task that fits")
    for size in BACKLOG_SIZES:
        for steps in BACKLOGS:
            owner = Owner(size, serving=False)
            owner.add_backlog(steps)
            ticks = [owner.tick() * 1000 for _ in range(TICKS)]
            mean, longest = sum(ticks) / TICKS, max(ticks)
            started = owner.rounds_to_start() or f"not in {MAX_ROUNDS}"
            print(f"{size:9d}  {steps:26d}  {mean:9.1f}  {longest:7.1f}  {started}")


if __name__ == "__main__":
    main()

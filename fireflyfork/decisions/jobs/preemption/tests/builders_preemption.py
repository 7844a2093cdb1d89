"""An owner with the preemption policy, and executors that carry out its orders in the test."""

from __future__ import annotations

from dataclasses import replace

from ....._ids import AttemptNumber, JobId, QueueName
from ... import (
    EndReason,
    JobSpec,
    PaceRun,
    PolicySettings,
    PreemptionSettings,
    Run,
    RunningRow,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
)
from ...tests.builders_jobs import START_MS, TERMS, OwnerUnderTest, job, queue, registration, table

URGENT, OTHER = QueueName("urgent"), QueueName("other")
STOP_SECONDS = 0.4
CHECKPOINT_MS = 1_000
"""Work after which a run that checkpoints saves it."""
ON = PreemptionSettings(enabled=True)


class PreemptingOwner(OwnerUnderTest):
    """An owner of queues of priority 0 and 2. Its executors have sixteen cores each."""

    def __init__(self, *executors: str, preemption: PreemptionSettings = ON) -> None:
        """Register the executors; each answers a first poll."""
        super().__init__()
        policies = PolicySettings(preemption=preemption)
        settings = replace(TERMS, policies=policies, stop_timeout=STOP_SECONDS)
        self.scheduler = Scheduler(settings)
        queues = queue(name=URGENT, priority=0), queue(name=OTHER, priority=2)
        self.scheduler.configure(table(*queues))
        self.join(*executors)
        self._numbers = 0
        self.paced: list[tuple[Run, int]] = []
        """The paces ordered so far."""
        self.started: list[Run] = []
        self.stopped: list[Run] = []
        self.stuck: set[Run] = set()
        """Runs that are always about to end."""

    def join(self, *executors: str) -> None:
        """Register executors that answer a first poll."""
        for name in executors:
            self.scheduler.register(registration(name), self.now)
        self.store()
        for name in executors:
            self.poll(name)

    def submit(self, queue_name: QueueName, *steps: StepSpec, **changes: object) -> JobSpec:
        """Accept a job that arrives now."""
        self._numbers += 1
        changes.setdefault("accepted_ms", START_MS + self.clock())
        spec = job(f"{self._numbers:016x}", *steps, queue=queue_name, **changes)
        self.scheduler.accept(spec, START_MS + self.clock())
        return spec

    def runs_of(self, spec: JobSpec) -> list[Run]:
        """Return the present runs of a job."""
        return [run for run in self.all_runs() if run.task.job.spec is spec]

    def all_runs(self) -> list[Run]:
        """Return all runs that hold resources."""
        return [run for e in self.scheduler.executors.values() for run in e.runs.values()]

    def run_until_listed(self, seconds: float, stops_answered: bool = True) -> None:
        """Let time pass in ticks. Executors carry out orders and list their runs at each tick."""
        for _ in range(round(seconds / 0.1)):
            self.tick(0.1)
            self.carry_out(stops_answered)
            self.list_runs()
            self.store()
            self.scheduler.place(self.now, START_MS + self.clock())
            self.carry_out(stops_answered)

    def carry_out(self, stops_answered: bool = True) -> None:
        """Accept starts and paces, and stop runs unless stops get lost."""
        for command in self.scheduler.take_commands():
            if isinstance(command, StartRun):
                self.started.append(command.run)
                self.answer_start(command.run)
            elif isinstance(command, PaceRun):
                self.paced.append((command.run, command.percent))
            elif isinstance(command, StopRun):
                self.stopped.append(command.run)
                if stops_answered:
                    self.stop(command.run)

    def stop(self, run: Run, saved: str = "saved") -> None:
        """Carry out a stop; the end is listed with the next poll."""
        self.answer_stop(run)
        checkpoint = saved if run.task.spec.checkpointing else ""
        name = str(run.executor.executor)
        self.end(name, run.task.name, run.attempt, EndReason.STOPPED, checkpoint)

    def list_runs(self) -> None:
        """List all runs, with their progress by the clock."""
        for executor in tuple(self.scheduler.executors.values()):
            name = str(executor.executor)
            ended = {(end.task, end.attempt) for end in self.ends.get(name, ())}
            rows = []
            for run in executor.runs.values():
                if run.key in ended or run.confirmed_at is None:
                    continue
                progress = self.progress(run)
                if progress >= 100 and not run.task.spec.long_running:
                    self.end(name, run.task.name, run.attempt, EndReason.DONE)
                else:
                    rows.append(_row(run, progress))
            self.poll(name, *rows)

    def progress(self, run: Run) -> int:
        """Return how far a run is, in percent of its estimate."""
        if run in self.stuck:
            return 97
        if not run.pace_percent:
            return run.progress_percent
        started = run.confirmed_at if run.confirmed_at is not None else self.now
        return min(100, round((self.now - started) * 100_000 / run.task.spec.estimate_ms))

    def forget_owner(self) -> Scheduler:
        """Replace the scheduler by that of a successor; returns the earlier one."""
        earlier = self.scheduler
        self.scheduler = Scheduler(replace(TERMS, policies=PolicySettings(preemption=ON)))
        queues = queue(name=URGENT, priority=0), queue(name=OTHER, priority=2)
        self.scheduler.configure(table(*queues))
        jobs = [
            (known.spec, known.to_stored())
            for known in {
                task.job.spec.job: task.job for task in earlier.jobs.live_tasks()
            }.values()
        ]
        registrations = [executor.registration for executor in earlier.executors.values()]
        now_ms = START_MS + self.clock()
        self.scheduler.recover(jobs, registrations, registrations, self.now, now_ms)
        self.store()
        return earlier

    def is_over(self, spec: JobSpec) -> bool:
        """Whether a job has a final state."""
        known = self.scheduler.jobs.get(JobId(spec.job))
        return known is None or known.state.is_final


def _row(run: Run, percent: int) -> RunningRow:
    checkpoint = ""
    if run.task.spec.checkpointing:
        saved = percent * run.task.spec.estimate_ms // 100 // CHECKPOINT_MS
        checkpoint = str(saved) if saved else run.checkpoint
    return RunningRow(run.task.name, AttemptNumber(run.attempt), checkpoint, percent, 0.0)

"""The jobs of one service: which tasks may start, which have ended, and what has to be stored."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import chain, islice

from ..._ids import JobId, QueueName, ServiceName, TaskName
from ._change_log import ChangeLog
from ._gone_jobs import GoneJobs, terms_version
from ._job_limits import MAX_EARLY_WINDOWS, MAX_OPEN_TASKS, SMALL_JOB_TASKS, open_occurrences
from ._progress import JobState, StoredProgress
from ._queue_terms import QueueTerms, latest
from ._queues import QueueConfiguration, QueueTable, removed_queue, unknown_queue
from ._runs import Departure, Job, Task
from ._specs import JobSpec, StepSpec, TaskKey, parse_task_name
from ._stored_terms import StoredTerms


@dataclass(frozen=True, slots=True)
class _FinishedJob:
    """The data kept about a job after its final state was stored."""

    spec: JobSpec
    final_ms: int


class JobTable:
    """All jobs whose state is not final, and final ones until their final state is stored."""

    def __init__(self) -> None:
        """Initialize without jobs or queues."""
        self.changes = ChangeLog()
        self._jobs: dict[JobId, Job] = {}
        self._finished: dict[JobId, _FinishedJob] = {}
        self._gone = GoneJobs()
        self._under_way: dict[JobId, JobSpec] = {}
        """Jobs that are being handed to another service, as they are to be stored for it."""
        self._queues: dict[QueueName, QueueConfiguration] = {}
        """The queues in force."""
        self._terms: dict[QueueName, QueueTerms] = {}
        """The last known terms of the queues that have jobs, also of removed queues."""
        self._reprioritized: set[Job] = set()
        self.stored_terms = StoredTerms()
        self._open_tasks = 0
        """Number of tasks of all jobs that have a record."""

    def __len__(self) -> int:
        """Return the number of jobs in the table."""
        return len(self._jobs)

    def configure(self, queues: QueueTable) -> None:
        """Use the queues of another configuration version.

        Jobs of removed queues keep the last known terms of the queue.
        """
        self._queues = {queue.name: queue for queue in reversed(queues.queues)}
        earlier, self._terms = self._terms, {}
        for job in self._jobs.values():
            name = job.spec.queue
            if name not in self._terms:
                terms = self._latest_terms(name, earlier.get(name))
                if terms is not None:
                    self._terms[name] = terms
        for job in self._jobs.values():
            self._use_terms(job)
        self._review_stored_terms()

    def adopt_terms(self, stored: Mapping[QueueName, QueueTerms]) -> None:
        """Use the terms that an earlier owner has stored; called before its jobs are accepted."""
        for name, terms in stored.items():
            self._terms[name] = latest(self._terms.get(name), terms) or terms
        self.stored_terms.adopt(stored)

    def take_reprioritized(self) -> set[Job]:
        """Return the jobs whose priority has changed since the last call."""
        jobs, self._reprioritized = self._reprioritized, set()
        return jobs

    def get(self, job: JobId) -> Job | None:
        """Return the job, or None if it is over or unknown."""
        return self._jobs.get(job)

    def task(self, name: TaskName) -> Task | None:
        """Return the task of that name, or None if it is over or unknown."""
        parsed = parse_task_name(name)
        job = self._jobs.get(parsed[0]) if parsed else None
        if parsed is None or job is None or job.state.is_final:
            return None
        return job.tasks.get(parsed[1])

    def step_of(self, name: TaskName) -> tuple[JobSpec, StepSpec] | None:
        """Return the job and step of a task, even if the task is over, or None if it is unknown."""
        parsed = parse_task_name(name)
        if parsed is None:
            return None
        job = self._jobs.get(parsed[0])
        finished_job = self._finished.get(parsed[0])
        spec = (
            job.spec if job is not None else finished_job.spec if finished_job is not None else None
        )
        if spec is None or parsed[1].step >= len(spec.steps):
            return None
        return spec, spec.steps[parsed[1].step]

    def accept(self, spec: JobSpec, progress: StoredProgress | None, now_ms: int) -> list[Task]:
        """Add a job. Returns the tasks that may start; none if the job is already known or over."""
        if progress is not None and progress.state.is_final:
            self._finished[spec.job] = _FinishedJob(spec, progress.final_ms)
        # All changes are listed again after the store has lost its history, so a job may be
        # reported again after it has ended. Its tasks must not run a second time.
        is_known = spec.job in self._jobs or spec.job in self._finished
        if is_known or self._gone.is_old_news(spec):
            return []
        job = Job(spec, self._queue_of(spec))
        self._jobs[spec.job] = job
        if progress is not None:
            job.state = progress.state
            job.has_begun = progress.state is not JobState.QUEUED
            job.done = {TaskKey(*key) for key in progress.done}
            job.done_occurrences = progress.done_occurrences
            job.opened_occurrences = progress.done_occurrences
        ready = self._open_until(job, progress.begun_occurrences if progress is not None else 0)
        ready.extend(self.open_due(job, now_ms))
        for stored in progress.tasks if progress is not None else ():
            task = job.tasks.get(TaskKey(stored.occurrence, stored.step, stored.index))
            if task is not None:
                task.attempt = max(task.attempt, stored.attempt)  # type: ignore[assignment]
                task.failed_attempts = list(stored.failed_attempts)
                task.checkpoint = stored.checkpoint
        return ready

    def open_due(self, job: Job, now_ms: int) -> list[Task]:
        """Open the occurrences that have become due, as far as there is room for their records.

        Returns the tasks that may start.
        """
        ready: list[Task] = []
        last = min(job.spec.occurrence_count, job.done_occurrences + open_occurrences(job.spec))
        while (
            job.opened_occurrences < last
            and not job.state.is_final
            and job.spec.due_ms(job.opened_occurrences) <= now_ms
            and self._has_room_for_occurrence(job)
        ):
            ready.extend(self._open_until(job, job.opened_occurrences + 1))
        return ready

    def _has_room_for_occurrence(self, job: Job) -> bool:
        added = job.spec.task_count
        if len(job.tasks) + added <= SMALL_JOB_TASKS:
            return True
        return self._open_tasks + added <= MAX_OPEN_TASKS

    def open_started(self, name: TaskName) -> list[Task]:
        """Open the occurrence of a task that runs or has ended on an executor.

        Returns the tasks that may start. An earlier owner's clock may be seconds ahead, so it may
        have started an occurrence that is not due by this owner's clock. The run would be treated
        as one of an unknown task, and the task would run again once this owner's clock reaches the
        due time.
        """
        parsed = parse_task_name(name)
        job = self._jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or job is None or parsed[1].occurrence >= job.spec.occurrence_count:
            return []
        return self._open_until(job, parsed[1].occurrence + 1)

    def with_future_occurrences(self) -> Iterator[Job]:
        """Yield the jobs with occurrences that are not open yet."""
        return (
            job
            for job in self._jobs.values()
            if not job.state.is_final and job.opened_occurrences < job.spec.occurrence_count
        )

    def live_jobs(self) -> Iterator[Job]:
        """Yield the jobs whose state is not final."""
        return (job for job in self._jobs.values() if not job.state.is_final)

    def live_tasks(self) -> Iterator[Task]:
        """Yield the tasks of all jobs whose state is not final."""
        live = (job for job in self._jobs.values() if not job.state.is_final)
        return (task for job in live for task in job.tasks.values())

    def startable(self, job: Job) -> list[Task]:
        """Return the tasks of a job's open occurrences whose steps may start."""
        return [
            task
            for occurrence, number in tuple(job.remaining_tasks)
            if not job.state.is_final and job.step_ready(occurrence, number)
            for task in self._tasks_of_step(job, occurrence, number)
        ]

    def record_order(self, job: Job) -> None:
        """Note that a task of the job has been sent to an executor, which may refuse it."""
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self.changes.record(job.spec.job)

    def record_change(self, job: Job) -> int:
        """Note that the job has to be stored. Returns the number of the change."""
        return self.changes.record(job.spec.job)

    def task_done(self, task: Task, now_ms: int) -> list[Task]:
        """Mark a task as successfully ended. Returns the tasks that may start now."""
        job, key = task.job, task.key
        if job.tasks.pop(key, None) is None:
            return []
        self._open_tasks -= 1
        job.done.add(key)
        job.remaining_tasks[key.occurrence, key.step] -= 1
        self.changes.record(job.spec.job)
        if job.remaining_tasks[key.occurrence, key.step]:
            return []
        if not any(
            job.remaining_tasks[key.occurrence, step] for step in range(len(job.spec.steps))
        ):
            self._occurrence_done(job, now_ms)
            return []
        return [
            ready_task
            for number, step in enumerate(job.spec.steps)
            if key.step in step.after and job.step_ready(key.occurrence, number)
            for ready_task in self._tasks_of_step(job, key.occurrence, number)
        ]

    def finish(self, job: Job, state: JobState, now_ms: int) -> None:
        """Make a job's state final."""
        job.state = state
        job.final_ms = now_ms
        self.changes.record(job.spec.job)

    def drop_finished(self) -> list[JobId]:
        """Drop jobs whose final state is stored and that have no runs. Returns their ids."""
        finished = [
            name
            for name, job in self._jobs.items()
            if job.state.is_final and name not in self.changes and not self._has_runs(job)
        ]
        for name in finished:
            job = self._jobs.pop(name)
            self._open_tasks -= len(job.tasks)
            self._finished[name] = _FinishedJob(job.spec, job.final_ms)
        return finished

    def expired(self, before_ms: int, max_jobs: int) -> tuple[JobId, ...]:
        """Return up to ``max_jobs`` jobs with a stored final state from before ``before_ms``."""
        expired_names = (name for name, job in self._finished.items() if job.final_ms < before_ms)
        return tuple(islice(expired_names, max_jobs))

    def forget(self, jobs: Iterable[JobId]) -> None:
        """Forget jobs that have been removed from the store.

        A listing that is still on its way may contain one of them; it would be taken for a new job
        and run again. So their ids are kept until ``forget_removed`` has been called twice.
        """
        for name in jobs:
            self._finished.pop(name, None)
            self._gone.add_removed(name)

    def forget_removed(self) -> None:
        """Forget the ids removed before the previous call: no listing contains them any more."""
        self._gone.forget_older()

    def pending(self, now: float) -> dict[QueueName, int]:
        """Return, by queue, the number of accepted jobs of which no task has begun.

        Jobs that have just departed are counted here until their new owner counts them.
        """
        waiting = (
            job.spec.queue
            for job in self._jobs.values()
            if not job.has_begun and not job.state.is_final
        )
        return dict(Counter(chain(waiting, self._gone.still_counted(now))))

    def rerouted(self, service: ServiceName) -> dict[QueueName, ServiceName]:
        """Return the queues with jobs of ``service`` that have another service now, and which."""
        in_force = (self._queues[name] for name in self._terms if name in self._queues)
        return {queue.name: queue.service for queue in in_force if queue.service != service}

    def departing(self, queues: Collection[QueueName], most: int) -> list[JobSpec]:
        """Return up to ``most`` jobs to be stored for the service that their queue has now.

        They are jobs of these queues that haven't begun, the ones first that are under way. None of
        their tasks starts here from now on, until ``stay`` is called.
        """
        free = most - len(self._under_way)
        for job in islice(self._may_depart(queues) if queues else (), max(0, free)):
            job.departure = Departure.UNDER_WAY
            queue = self._queues[job.spec.queue]
            # Another version may come before it is known whether this one was stored.
            self._under_way[job.spec.job] = replace(
                job.spec, service=queue.service, queue_terms=queue.terms
            )
        return list(islice(self._under_way.values(), most))

    def depart(self, name: JobId, until: float) -> Job | None:
        """Drop a job that another service owns now; it is counted as pending until ``until``."""
        spec = self._under_way.pop(name, None)
        job = self._jobs.pop(name, None) if spec is not None else None
        if job is not None and spec is not None:
            self._open_tasks -= len(job.tasks)
            self._gone.add_departed(spec, until)
        return job

    def stay(self, name: JobId) -> Job | None:
        """Keep a job that was under way to another service."""
        if self._under_way.pop(name, None) is None:
            return None
        job = self._jobs[name]
        job.departure = Departure.REFUSED
        return job

    def _may_depart(self, queues: Collection[QueueName]) -> Iterator[Job]:
        for job in self._jobs.values():
            spec = job.spec
            if spec.queue not in queues or not job.may_depart:
                continue
            queue = self._queues.get(spec.queue)
            # An owner that has an older configuration than the instance that accepted the job, or
            # the owner that the job comes from, would send it back.
            if queue is not None and queue.version > terms_version(spec):
                yield job

    def _queue_of(self, spec: JobSpec) -> QueueConfiguration:
        """Return the queue of a new job, by the terms of its acceptance or later ones."""
        name = spec.queue
        known = self._terms.get(name)
        terms = self._latest_terms(name, latest(spec.queue_terms, known))
        if terms is None:
            return unknown_queue(spec)
        self._terms[name] = terms
        if known is not None and not terms.agrees_with(known):
            for job in self._jobs.values():
                if job.spec.queue == name:
                    self._use_terms(job)
            self._review_stored_terms()
        if not terms.agrees_with(spec.queue_terms):
            self.stored_terms.set(name, terms)
        return self._queue_with(spec, terms)

    def _latest_terms(self, name: QueueName, known: QueueTerms | None) -> QueueTerms | None:
        queue = self._queues.get(name)
        return known if queue is None else latest(known, queue.terms)

    def _use_terms(self, job: Job) -> None:
        terms = self._terms.get(job.spec.queue)
        if terms is None:
            return
        earlier, job.queue = job.queue, self._queue_with(job.spec, terms)
        if job.queue.priority != earlier.priority:
            self._reprioritized.add(job)

    def _queue_with(self, spec: JobSpec, terms: QueueTerms) -> QueueConfiguration:
        queue = self._queues.get(spec.queue)
        if queue is not None and queue.version == terms.version:
            return queue
        return removed_queue(spec, terms)

    def _review_stored_terms(self) -> None:
        """Have those terms stored that a successor can't read from every job of the queue."""
        self.stored_terms.replace(
            {
                job.spec.queue: terms
                for job in self._jobs.values()
                if (terms := self._terms.get(job.spec.queue)) is not None
                and not terms.agrees_with(job.spec.queue_terms)
            }
        )

    def _open_until(self, job: Job, occurrences: int) -> list[Task]:
        """Open the occurrences before number ``occurrences``. Returns the tasks that may start."""
        ready: list[Task] = []
        window = MAX_EARLY_WINDOWS * open_occurrences(job.spec)
        last = min(occurrences, job.spec.occurrence_count, job.done_occurrences + window)
        while not job.state.is_final and job.opened_occurrences < last:
            occurrence = job.opened_occurrences
            job.opened_occurrences += 1
            ready.extend(self._open(job, occurrence))
        return ready

    def _open(self, job: Job, occurrence: int) -> list[Task]:
        for number, step in enumerate(job.spec.steps):
            keys = [TaskKey(occurrence, number, index) for index in range(step.count)]
            open_keys = [key for key in keys if key not in job.done]
            job.remaining_tasks[occurrence, number] = len(open_keys)
            for key in open_keys:
                job.tasks[key] = Task(job, key, key.name(job.spec.job), step)
            self._open_tasks += len(open_keys)
        return [
            task
            for number in range(len(job.spec.steps))
            if job.step_ready(occurrence, number)
            for task in self._tasks_of_step(job, occurrence, number)
        ]

    @staticmethod
    def _tasks_of_step(job: Job, occurrence: int, step: int) -> list[Task]:
        keys = (TaskKey(occurrence, step, index) for index in range(job.spec.steps[step].count))
        tasks = (job.tasks[key] for key in keys if key in job.tasks)
        # A gang waits as a whole, represented by its first task.
        return list(islice(tasks, 1)) if job.spec.steps[step].gang else list(tasks)

    def _occurrence_done(self, job: Job, now_ms: int) -> None:
        while self._all_done(job, job.done_occurrences):
            for step in range(len(job.spec.steps)):
                del job.remaining_tasks[job.done_occurrences, step]
            job.done_occurrences += 1
        job.done = {key for key in job.done if key.occurrence >= job.done_occurrences}
        if job.done_occurrences == job.spec.occurrence_count:
            self.finish(job, JobState.COMPLETED, now_ms)

    @staticmethod
    def _all_done(job: Job, occurrence: int) -> bool:
        if occurrence >= job.opened_occurrences:
            return False
        return not any(job.remaining_tasks[occurrence, step] for step in range(len(job.spec.steps)))

    @staticmethod
    def _has_runs(job: Job) -> bool:
        return any(task.runs for task in job.tasks.values())

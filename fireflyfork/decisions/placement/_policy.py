"""The interference-aware placement policy.

It combines learned sizes and interference with quotas, replica spread, relief and quarantine.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from ..._contracts import ServiceContract, TeamContract
from ..._ids import ServiceName, TeamName, WorkerId
from ..._machines import Resources, Worker
from .._placement_policy import (
    AttemptEnded,
    AttemptStarted,
    Observation,
    PlacementCommand,
    PlacementPolicy,
    PlacementView,
    Reason,
    Refuse,
    RunSample,
    SamplesTaken,
    Start,
)
from .._task_changes import AttemptOutcome
from .._tasks import Task, TaskShape
from ._classes import TaskClass
from ._failed_searches import FailedSearches
from ._fair_queue import FairQueue, QuotaLedger, WaitingJob
from ._feasibility import cap_to_quota, cap_to_worker, why_infeasible
from ._fleet import Fleet
from ._headroom import UrgentHeadroom
from ._health import WorkerHealth, is_task_at_fault
from ._interference import InterferenceModel
from ._policy_settings import PolicySettings, Relief
from ._preemption import Preemptor
from ._reasons import (
    FailedOnManyWorkers,
    PlacedBatch,
    PlacedReplica,
    PlacedUrgent,
    WaitsForEvicted,
    WaitsForQuietWorker,
    WaitsForQuota,
    WaitsForRoom,
    WaitsForTurn,
)
from ._relief import ReliefPlanner
from ._sizes import LearnedSizes
from ._spread import ReplicaCounts, replica_places
from ._waiting import split_waiting_jobs, tasks_of
from ._worker_entries import AttemptEntry, WorkerEntry
from ._worker_selection import NO_LIMITS, InterferenceLimits, WorkerSelector

_MAX_FAILED_SEARCHES = 8
"""Number of failed searches for batch tasks after which a round ends, to bound the round's cost on
a full fleet."""
_MAX_FAILED_URGENT_SEARCHES = 64
"""Number of urgent tasks, or of replicas, without a worker after which a round places no more."""
_MAX_RATIO = 0.75
"""Maximum ratio of p99 latency to objective that a new batch task may cause for a service."""
_FULL_PATIENCE_SECONDS = 1200.0
"""Waiting time after which the limits on interference are fully relaxed."""
_INITIAL_MAX_SLOPE = 0.8
"""Maximum slope of a class next to a service for a task that has just arrived."""
_MAX_SLOPE_INCREASE = 5.0
"""Increase of the maximum slope after the full waiting time."""


class InterferenceAwarePolicy(PlacementPolicy):
    """Places tasks by learned size and interference.

    Decisions depend only on the observations and views. The learned state and the index of workers
    change in place, since a copy for each report would cost more than the decisions, and
    ``observe`` returns the same object.
    """

    def __init__(self, settings: PolicySettings | None = None) -> None:
        """Start without workers and without learned state."""
        self._settings = settings or PolicySettings()
        self._fleet = Fleet()
        self._sizes = LearnedSizes()
        self._interference = InterferenceModel()
        self._health = WorkerHealth()
        self._replicas = ReplicaCounts()
        self._relief = ReliefPlanner(self._fleet, self._interference, self._settings.relief)
        self._preemptor = Preemptor(self._fleet)
        self._headroom = UrgentHeadroom(self._fleet)
        self._failed_searches = FailedSearches()
        self._tentative_replicas: list[tuple[ServiceName, WorkerEntry, int]] = []
        """Replicas started in this round, which the task table hasn't confirmed yet."""
        self._selector = WorkerSelector(self._fleet, self._interference)
        self._services: Mapping[ServiceName, ServiceContract] = {}
        self._newly_measured: dict[WorkerId, WorkerEntry] = {}
        """Workers with latency reports about their services since the last round."""

    @property
    def health(self) -> WorkerHealth:
        """The health records, which decide which workers are in quarantine."""
        return self._health

    @property
    def sizes(self) -> LearnedSizes:
        """The learned sizes of each task class."""
        return self._sizes

    @property
    def relief(self) -> ReliefPlanner:
        """The planner of relief for slowed services, with its eviction budget."""
        return self._relief

    @property
    def preemptor(self) -> Preemptor:
        """The preemption of batch tasks for urgent work, with its eviction budget."""
        return self._preemptor

    def observe(self, observation: Observation) -> InterferenceAwarePolicy:
        """See PlacementPolicy. Modifies and returns this object."""
        if isinstance(observation, SamplesTaken):
            for sample in observation.samples:
                self._learn_from_sample(sample, observation.now)
        elif isinstance(observation, AttemptStarted):
            self._attempt_started(observation.task, observation.now)
        else:
            self._attempt_ended(observation)
        return self

    def _attempt_started(self, task: Task, now: float) -> None:
        self._fleet.started(task, now)
        self._preemptor.release(task.task_id)
        attempt = self._fleet.attempt(task.task_id)
        if attempt is None:
            return
        self._health.started(attempt.entry.worker.worker_id, task.task_id)
        if task.shape.service is not None:
            self._replicas.add(task.shape.service, attempt.entry, 1)

    def _attempt_ended(self, ended: AttemptEnded) -> None:
        task = ended.task
        attempt = self._fleet.ended(task, ended.now)
        self._preemptor.forget_victim(task.task_id)
        worker_id = task.worker_id
        if worker_id is None:
            return
        if attempt is not None:
            self._learn_from_end(attempt, ended)
            if task.shape.service is not None:
                self._replicas.add(task.shape.service, attempt.entry, -1)
        if ended.outcome is AttemptOutcome.FINISHED:
            self._health.succeeded(worker_id)
        elif _may_be_worker_fault(ended):
            self._health.failed(worker_id, task.task_id, task.job_id, ended.now)
        else:
            self._health.stopped(worker_id, task.task_id)

    def _learn_from_end(self, attempt: AttemptEntry, ended: AttemptEnded) -> None:
        shape = ended.task.shape
        task_class = TaskClass(shape.task_class)
        if _exhausted_memory(ended):
            reserved = attempt.task.reservation
            self._sizes.observe_memory_exhausted(task_class, shape.resources, reserved)
        elif attempt.reported and ended.outcome is AttemptOutcome.FINISHED:
            peak = attempt.memory_peak
            self._sizes.observe_memory_peak(task_class, shape.resources, peak)

    def _learn_from_sample(self, sample: RunSample, now: float) -> None:
        attempt = self._fleet.attempt(sample.task.task_id)
        if attempt is None or attempt.task.attempt != sample.task.attempt:
            return
        shape = sample.task.shape
        entry = attempt.entry
        self._fleet.reported(attempt, sample.used.millicores)
        attempt.memory_peak = max(attempt.memory_peak, sample.used.memory)
        if sample.progress > attempt.progress:
            attempt.progress = sample.progress
            attempt.progress_at = now
        if sample.task.millicores_limit is None:
            self._sizes.observe_processor(
                TaskClass(shape.task_class),
                shape.resources,
                sample.task.reservation,
                sample.used.millicores,
            )
        if shape.service is not None and sample.tail_milliseconds is not None:
            self._learn_from_latency(sample, entry, shape.service, sample.tail_milliseconds, now)

    def _learn_from_latency(
        self,
        sample: RunSample,
        entry: WorkerEntry,
        service: ServiceName,
        tail_milliseconds: float,
        now: float,
    ) -> None:
        contract = self._services.get(service)
        if contract is None:
            return
        ratio = tail_milliseconds / contract.latency_objective_milliseconds
        entry.drop_departed_usage(sample.measured_at)
        entry.pressure.report(service, ratio, sample.measured_at)
        entry.forecasts.clear()
        self._newly_measured[entry.worker.worker_id] = entry
        if self._settings.learns_interference:
            shares = entry.reported_shares(TaskClass(sample.task.shape.task_class))
            self._interference.learn(service, entry.reported_load(), shares, ratio, now)

    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """See PlacementPolicy."""
        self._services = view.services
        for worker_id in self._fleet.sync(view):
            self._health.forget(worker_id)
        self._health.set_worker_count(len(view.workers))
        self._health.drop_trials(lambda task_id: self._fleet.attempt(task_id) is not None)
        self._preemptor.begin_round(view.now)
        for service, entry, millicores in self._tentative_replicas:
            self._replicas.add(service, entry, -1)
            entry.drop_replica(service, millicores)
        self._tentative_replicas.clear()
        return tuple(self._commands(view))

    def _commands(self, view: PlacementView) -> Iterator[PlacementCommand]:
        measured = list(self._newly_measured.values())
        self._newly_measured.clear()
        yield from self._relief.plan(measured, view.on_worker, view.weights, view.now)
        quotas = QuotaLedger(view.teams, view.team_reserved)
        starts = 0
        for command in self._placements(view, quotas):
            yield command
            starts += isinstance(command, Start)
            if starts >= view.max_starts:
                return

    def _placements(self, view: PlacementView, quotas: QuotaLedger) -> Iterator[PlacementCommand]:
        waiting = split_waiting_jobs(view)
        yield from self._replica_starts(waiting.replicas, view)
        yield from self._urgent_starts(waiting.urgent, view, quotas)
        if self._settings.keeps_urgent_headroom:
            urgent_work_allowed = any(team.urgent for team in view.teams.values())
            self._headroom.replenish(urgent_work_allowed, view.now)
        yield from self._batch_starts(FairQueue(waiting.batch, quotas), view, quotas)

    def _refusal(self, task: Task) -> Refuse | None:
        """Return a refusal if the task has failed on so many workers that it must be at fault."""
        if not is_task_at_fault(task.failed_on, self._health):
            return None
        return Refuse(task.task_id, FailedOnManyWorkers(task.failed_on).sentence())

    def _replica_starts(
        self, jobs: list[WaitingJob], view: PlacementView
    ) -> Iterator[PlacementCommand]:
        failed_count = 0
        for task in tasks_of(jobs):
            if failed_count >= _MAX_FAILED_URGENT_SEARCHES:
                return
            refusal = self._refusal(task)
            if refusal is not None:
                yield refusal
                continue
            need = self._need(task.shape)
            start = self._replica_start(task, need, view)
            if start is not None:
                yield start
                continue
            failed_count += 1
            yield from self._preempt(task, need, view)

    def _replica_start(self, task: Task, need: Resources, view: PlacementView) -> Start | None:
        service = task.shape.service
        if service is None:
            return None
        accepts = self._worker_filter(task, view.now)
        places = replica_places(self._fleet, self._replicas, service, need, accepts)
        place = next(places, None)
        if place is None:
            claimed = self._preemptor.claim(task.task_id, need)
            if claimed is None:
                return None
            place = self._replicas.place(service, claimed)
        worker = place.entry.worker
        self._replicas.add(service, place.entry, 1)
        place.entry.add_replica(service, need.millicores)
        self._tentative_replicas.append((service, place.entry, need.millicores))
        reason = PlacedReplica(
            service,
            worker.worker_id,
            worker.failure_domain,
            place.others_in_failure_domain,
            place.others_in_rack,
        )
        return self._start(task, place.entry, need, reason, view.now)

    def _urgent_starts(
        self, jobs: list[WaitingJob], view: PlacementView, quotas: QuotaLedger
    ) -> Iterator[PlacementCommand]:
        failed_count = 0
        for task in tasks_of(jobs):
            if failed_count >= _MAX_FAILED_URGENT_SEARCHES:
                return
            refusal = self._refusal(task)
            if refusal is not None:
                yield refusal
                continue
            need = self._need_within_quota(task.shape, quotas)
            if not quotas.allows(task.shape.team, need):
                failed_count += 1
                continue
            entry = self._urgent_worker(task, need, view.now)
            if entry is None:
                failed_count += 1
                yield from self._preempt(task, need, view)
                continue
            quotas.add_reservation(task.shape.team, need)
            self._headroom.record_arrival(need, view.now)
            waited = view.now - task.submitted
            reason = PlacedUrgent(entry.worker.worker_id, waited)
            yield self._start(task, entry, need, reason, view.now)

    def _urgent_worker(self, task: Task, need: Resources, now: float) -> WorkerEntry | None:
        claimed = self._preemptor.claim(task.task_id, need)
        if claimed is not None:
            return claimed
        accepts = self._worker_filter(task, now)
        task_class = TaskClass(task.shape.task_class)
        selection = self._selector.choose(need, task_class, accepts, NO_LIMITS, now)
        if selection.best is not None:
            return selection.best.entry
        return self._headroom.take(need, accepts)

    def _batch_starts(
        self, queue: FairQueue, view: PlacementView, quotas: QuotaLedger
    ) -> Iterator[PlacementCommand]:
        failed_searches = self._failed_searches
        failed_searches.begin_round(view.now)
        for task in queue.tasks():
            refusal = self._refusal(task)
            if refusal is not None:
                queue.skip_task()
                yield refusal
                continue
            shape = task.shape
            need = self._need_within_quota(shape, quotas)
            task_class = TaskClass(shape.task_class)
            limits = _limits(view, view.now - task.submitted)
            if failed_searches.covers(need, task_class, limits) or not quotas.allows(
                shape.team, need
            ):
                queue.skip_job()
                continue
            start = self._batch_start(task, need, limits, view.now)
            if start is not None:
                quotas.add_reservation(shape.team, need)
                queue.started()
                yield start
                continue
            queue.skip_job()
            if failed_searches.count >= _MAX_FAILED_SEARCHES:
                return

    def _batch_start(
        self, task: Task, need: Resources, limits: InterferenceLimits, now: float
    ) -> Start | None:
        """Return a start, or None if there is no worker; the failed search is then remembered."""
        accepts = self._batch_worker_filter(task, now)
        task_class = TaskClass(task.shape.task_class)
        selection = self._selector.choose(need, task_class, accepts, limits, now)
        best = selection.best
        if best is None:
            if not task.failed_on:
                key = task_class if selection.compared else None
                self._failed_searches.add(need, key, limits, now)
            return None
        reason = PlacedBatch(
            best.entry.worker.worker_id,
            task.shape.resources,
            need,
            selection.compared,
            best.slowdown - 1.0,
        )
        return self._start(task, best.entry, need, reason, now)

    def _start(
        self, task: Task, entry: WorkerEntry, need: Resources, reason: Reason, now: float
    ) -> Start:
        task_class = TaskClass(task.shape.task_class)
        self._selector.record_start(entry, need, task_class, now)
        self._fleet.add_start(entry, need, task_class)
        self._health.started(entry.worker.worker_id, task.task_id)
        return Start(task.task_id, entry.worker.worker_id, need, reason.sentence())

    def _preempt(
        self, task: Task, need: Resources, view: PlacementView
    ) -> Iterator[PlacementCommand]:
        accepts = self._worker_filter(task, view.now)
        return self._preemptor.preempt(task.task_id, need, view.on_worker, accepts, view.now)

    def _worker_filter(self, task: Task, now: float) -> Callable[[WorkerEntry], bool]:
        """Return a predicate that states whether a worker may run the task."""
        health = self._health
        failed_on = task.failed_on

        def accepts(entry: WorkerEntry) -> bool:
            worker_id = entry.worker.worker_id
            return worker_id not in failed_on and health.may_start(worker_id, now)

        return accepts

    def _batch_worker_filter(self, task: Task, now: float) -> Callable[[WorkerEntry], bool]:
        """Return a predicate for batch tasks, which also excludes workers with slowed services."""
        may_start = self._worker_filter(task, now)
        if self._settings.relief is not Relief.THROTTLE_FIRST:
            return may_start

        def accepts(entry: WorkerEntry) -> bool:
            return not (entry.replicas and entry.pressure.is_high) and may_start(entry)

        return accepts

    def _need(self, shape: TaskShape) -> Resources:
        """Return the resources to reserve: the learned size, capped at the largest worker."""
        if not self._settings.learns_sizes:
            return shape.resources
        is_service = shape.service is not None
        task_class = TaskClass(shape.task_class)
        learned = self._sizes.reservation(task_class, shape.resources, is_service)
        return cap_to_worker(learned, shape.resources, self._fleet.capacities)

    def _need_within_quota(self, shape: TaskShape, quotas: QuotaLedger) -> Resources:
        return cap_to_quota(self._need(shape), shape.resources, quotas.quota(shape.team))

    def infeasible(
        self,
        shape: TaskShape,
        workers: Mapping[WorkerId, Worker],
        teams: Mapping[TeamName, TeamContract],
    ) -> str:
        """See PlacementPolicy."""
        capacities = {worker.capacity for worker in workers.values()}
        reason = why_infeasible(shape, capacities, len(workers), teams)
        return "" if reason is None else reason.sentence()

    def why_waiting(self, task: Task, view: PlacementView) -> Reason:
        """See PlacementPolicy. Computed only on request, so waiting tasks cost nothing."""
        held_on = self._preemptor.held_on(task.task_id)
        if held_on is not None:
            return WaitsForEvicted(held_on)
        quotas = QuotaLedger(view.teams, view.team_reserved)
        team = task.shape.team
        need = self._need(task.shape)
        if task.shape.service is None:
            need = self._need_within_quota(task.shape, quotas)
            if not quotas.allows(team, need):
                return WaitsForQuota(team, need, quotas.reserved(team), quotas.quota(team))
        accepts = self._worker_filter(task, view.now)
        if not any(map(accepts, self._fleet.with_room(need))):
            return WaitsForRoom(need, self._health.quarantined_count)
        if task.shape.service is None and not task.shape.urgent:
            task_class = TaskClass(task.shape.task_class)
            limits = _limits(view, view.now - task.submitted)
            accepts_batch = self._batch_worker_filter(task, view.now)
            if (
                self._selector.choose(need, task_class, accepts_batch, limits, view.now).best
                is None
            ):
                return WaitsForQuietWorker(need)
        return WaitsForTurn()


def _limits(view: PlacementView, waited: float) -> InterferenceLimits:
    """Return how far a start may slow services. Limits grow with the wait to prevent starvation.

    They are low at first, since the room next to a service is better used by other waiting tasks
    that don't slow it.
    """
    weights = view.weights
    total = weights.throughput + weights.tail_latency
    impatience = weights.throughput / total if total > 0.0 else 0.0
    relaxation = min(waited / _FULL_PATIENCE_SECONDS, 1.0)
    ratio = _MAX_RATIO + impatience * relaxation
    return InterferenceLimits(ratio, _INITIAL_MAX_SLOPE + _MAX_SLOPE_INCREASE * relaxation)


def _may_be_worker_fault(ended: AttemptEnded) -> bool:
    """Return whether the worker may be at fault for the end of an attempt.

    A refusal counts, since a worker that refuses starts always has room and would attract all work.
    """
    if ended.outcome is AttemptOutcome.REFUSED:
        return True
    return ended.outcome is AttemptOutcome.FAILED and not _exhausted_memory(ended)


def _exhausted_memory(ended: AttemptEnded) -> bool:
    return ended.outcome is AttemptOutcome.FAILED and "memory" in ended.reason

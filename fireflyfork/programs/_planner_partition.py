"""Runs one owned partition: recovery, commits, starts, renewals, reports and placement."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from functools import partial

import trio
from loguru import logger

from .._contracts import Configuration
from .._errors import PlatformError, StoreUnavailableError
from .._ids import AttemptNumber, JobId, RegionName, TaskId
from ..adapters import RunReport, StartOrder, Store, WorkerPlatform
from ..decisions import (
    Partition,
    Refusal,
    RegionReport,
    StaleRun,
    Step,
    Submission,
    Task,
    TaskState,
    ThrottleOrdered,
    apply_report,
    apply_timeouts,
    attempts_to_renew,
    cancel,
    evict,
    mark_stored,
    place,
    reconcile_replicas,
    record_stop_answer,
    submit,
    take_due_starts,
    tasks_to_stop,
)
from ._metrics import Metrics
from ._partition_plan import (
    NotReadyError,
    OutcomeUnknownError,
    PartitionPlan,
    PlannerClock,
)
from ._planner_journal import PartitionJournal, PartitionLostError
from ._planner_rights import PartitionRights
from ._unstored_changes import UnstoredChanges

_MAX_CHANGES_PER_COMMIT = 4000
_MAX_UNSTORED_CHANGES = 8000
"""Placement pauses while more changes than this wait to be stored."""
_MAX_STARTS_PER_CALL = 200
_MAX_CONCURRENT_STOPS = 8
_RETRY_SECONDS = 1.0


class PartitionRunner:
    """Runs one partition on the planner that owns it."""

    def __init__(
        self,
        plan: PartitionPlan,
        store: Store,
        platform: WorkerPlatform,
        rights: PartitionRights,
        clock: PlannerClock,
        metrics: Metrics | None = None,
    ) -> None:
        """Set up the partition; ``run`` starts the work.

        ``metrics`` receives how long tasks wait for their start.
        """
        self._plan = plan
        self._metrics = metrics or Metrics()
        self._platform = platform
        self._rights = rights
        self._clock = clock
        self._configuration: Configuration | None = None
        self._journal = PartitionJournal(store, plan.partition)
        self._state: Partition | None = None
        self._unstored = UnstoredChanges()
        self._has_changes = trio.Event()
        self._has_starts = trio.Event()
        self._pending_throttles: dict[TaskId, ThrottleOrdered] = {}
        self._stopping = False
        self._snapshot_too_long = False
        """Whether the last snapshot was too long for one value of the store."""

    @property
    def metrics(self) -> Metrics:
        """The metrics that record how long tasks wait for their start."""
        return self._metrics

    @property
    def state(self) -> Partition | None:
        """The current state, including changes that are not stored yet; None while not the owner."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether the partition is recovered and its teams and workers are known."""
        return self._state is not None and bool(self._state.workers and self._state.teams)

    @property
    def journal(self) -> PartitionJournal:
        """The journal of the partition, which also counts its writes."""
        return self._journal

    async def run(self) -> None:
        """Run the partition until another planner takes it over or ``stop`` is called."""
        self._unstored = UnstoredChanges()
        try:
            await self._recover()
            async with trio.open_nursery() as nursery:
                for loop in self._loops():
                    nursery.start_soon(loop)
                await self._commit_loop()
                nursery.cancel_scope.cancel()
        except* PartitionLostError as lost:
            logger.warning("partition lost: {}", lost.exceptions[0])
        finally:
            self._state = None
            self._unstored.wake_waiters()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration: teams with their quotas, services and weights."""
        self._configuration = configuration
        if self._state is not None:
            self._state = self._plan.configured(self._state, configuration)

    def stop(self) -> None:
        """Stop accepting changes. ``run`` returns once all pending changes are stored."""
        self._stopping = True
        self._has_changes.set()

    async def submit(self, submission: Submission) -> Refusal | None:
        """Accept a job and return once it is stored, or return why it was refused.

        Raises NotReadyError and OutcomeUnknownError.
        """
        state = self._running_state()
        if not self.is_ready:
            raise NotReadyError("the configuration and the workers are not known yet; ask again")
        if self._snapshot_too_long:
            return Refusal("the partition's state has outgrown the store's values", permanent=False)
        outcome = submit(state, submission, self._clock.now())
        if isinstance(outcome, Refusal):
            return outcome
        await self._wait_until_stored(self._adopt_step(outcome))
        return None

    async def cancel(self, job_id: JobId, index: int | None) -> bool:
        """Cancel a job or one of its tasks, and return once this is stored.

        Return False if there is no such job. Raises NotReadyError and OutcomeUnknownError.
        """
        step = cancel(self._running_state(), job_id, index, self._clock.now())
        if step is None:
            return False
        await self._wait_until_stored(self._adopt_step(step))
        return True

    def evict(self, task_ids: tuple[TaskId, ...], reason: str) -> None:
        """Checkpoint and evict running tasks. Raises NotReadyError."""
        self._adopt_step(evict(self._running_state(), task_ids, reason, self._clock.now()))

    def _running_state(self) -> Partition:
        if self._state is None or self._stopping:
            raise NotReadyError(f"{self._plan.partition} is being taken over; ask again")
        return self._state

    def _loops(self) -> Iterable[Callable[[], Awaitable[None]]]:
        yield self._tick_loop
        yield self._start_loop
        yield self._stop_loop
        yield self._renew_loop
        yield self._workers_loop
        yield self._watch_ownership
        for region in self._plan.regions:
            yield partial(self._follow_reports, region)

    def _is_owner(self) -> bool:
        return self._plan.partition in self._rights.owned()

    async def _watch_ownership(self) -> None:
        while self._is_owner():
            await self._rights.changed()
        raise PartitionLostError(f"this planner no longer owns {self._plan.partition}")

    async def _recover(self) -> None:
        while True:
            try:
                table = await self._journal.recover(self._rights.member, self._is_owner)
                break
            except StoreUnavailableError as error:
                logger.warning(
                    "waiting for the store to recover partition {}: {}", self._plan.partition, error
                )
                await trio.sleep(_RETRY_SECONDS)
        policy = self._plan.new_policy()
        state = Partition.at_takeover(table, policy, self._clock.now(), self._plan.rules)
        if self._configuration is not None:
            state = self._plan.configured(state, self._configuration)
        self._state = state
        logger.info(
            "took over partition {} with {} open tasks", self._plan.partition, len(table.tasks)
        )

    def _adopt_step(self, step: Step) -> int:
        """Make the step's state current and return the number of the last change it depends on."""
        self._state = step.partition
        if step.changes:
            self._unstored.append(step.changes)
            self._has_changes.set()
        return self._unstored.last

    async def _wait_until_stored(self, number: int) -> None:
        """Wait until the changes up to ``number`` are stored. Raises OutcomeUnknownError."""
        unstored = self._unstored
        while unstored.stored < number:
            # If the partition was lost and taken over again, the numbers belong to other changes.
            # Waiting for those changes would report a job as stored that was never stored.
            if self._state is None or self._unstored is not unstored:
                raise OutcomeUnknownError(f"{self._plan.partition} was lost meanwhile")
            await unstored.progressed()

    async def _commit_loop(self) -> None:
        while not (self._stopping and not self._unstored):
            await self._has_changes.wait()
            self._has_changes = trio.Event()
            if self._unstored:
                await self._commit()
            if self._unstored or self._stopping:
                self._has_changes.set()
            if not self._stopping:
                await trio.sleep(self._plan.pace.commit)

    async def _commit(self) -> None:
        changes = self._unstored.take(_MAX_CHANGES_PER_COMMIT)
        sequence = self._journal.position.sequence + 1
        snapshot = None
        if not self._unstored and self._state and self._journal.position.snapshot_due:
            # The table matches the journal after this commit only until the next change is made.
            snapshot = self._journal.encode_snapshot(self._state.table, sequence)
            self._snapshot_too_long = snapshot is None
        await self._journal.commit(changes)
        if self._state is not None:
            self._state = mark_stored(self._state, changes, self._clock.now())
        self._unstored.note_stored(len(changes))
        self._has_starts.set()
        if snapshot is not None:
            await self._journal.snapshot(*snapshot, sequence)

    async def _tick_loop(self) -> None:
        while True:
            if self._state is not None and not self._stopping:
                now = self._clock.now()
                self._adopt_step(apply_timeouts(self._state, now))
                if self._may_act() and len(self._unstored) < _MAX_UNSTORED_CHANGES:
                    step = place(self._state, now)
                    self._adopt_step(step)
                    self._pending_throttles.update(
                        (order.task_id, order) for order in step.throttles
                    )
            await trio.sleep(self._plan.pace.tick)

    def _may_act(self) -> bool:
        return self._state is not None and self._rights.holds(self._plan.partition)

    async def _start_loop(self) -> None:
        while True:
            with trio.move_on_after(1.0):
                await self._has_starts.wait()
            self._has_starts = trio.Event()
            if self._state is None or not self._may_act():
                continue
            self._state, orders = take_due_starts(self._state, self._clock.now())
            self._observe_waits(orders)
            for first in range(0, len(orders), _MAX_STARTS_PER_CALL):
                if self._may_act():
                    chunk = orders[first : first + _MAX_STARTS_PER_CALL]
                    await self._send_order(partial(self._platform.start, chunk))

    def _observe_waits(self, orders: tuple[StartOrder, ...]) -> None:
        if self._state is None:
            return
        now = self._clock.now()
        for order in orders:
            task = self._state.table.tasks.get(order.task_id)
            is_repeat = task is None or now - task.since >= self._state.rules.start_retry_seconds
            if task is None or is_repeat or order.attempt != 1:
                continue
            urgency = "urgent" if task.shape.urgent else "ordinary"
            wait = max(0.0, now - task.submitted)
            self._metrics.observe("fireflyfork_start_wait_seconds", wait, urgency=urgency)

    async def _send_order(self, call: Callable[[], Awaitable[tuple[RunReport, ...]]]) -> None:
        """Send an order and process its reports. An order without an answer is repeated later."""
        try:
            reports = await call()
        except PlatformError as error:
            logger.warning("order to the platform failed: {}", error)
            return
        self._take_reports(reports, None)

    def _take_reports(
        self, reports: tuple[RunReport, ...], whole: RegionReport | None
    ) -> tuple[StaleRun, ...]:
        if self._state is None:
            return ()
        step = apply_report(self._state, reports, self._clock.now(), whole)
        self._adopt_step(step)
        return step.stale

    async def _stop_loop(self) -> None:
        while True:
            if self._state is not None and self._may_act():
                await self._stop_all(tuple(tasks_to_stop(self._state)))
                await self._throttle_all()
            await trio.sleep(self._plan.pace.stop_retry)

    async def _stop_all(self, tasks: tuple[Task, ...]) -> None:
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_STOPS)

        async def stop_one(task: Task) -> None:
            async with limit:
                checkpoint = task.state is not TaskState.CANCELLING
                await self._stop_attempt(task.task_id, task.attempt, checkpoint)

        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(stop_one, task)

    async def _throttle_all(self) -> None:
        while self._pending_throttles and self._may_act():
            task_id, order = next(iter(self._pending_throttles.items()))
            try:
                await self._platform.throttle(task_id, order.attempt, order.millicores)
            except PlatformError as error:
                logger.warning("can't throttle a task: {}", error)
                return
            if self._pending_throttles.get(task_id) is order:
                del self._pending_throttles[task_id]

    async def _stop_attempt(
        self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool
    ) -> None:
        async def call() -> tuple[RunReport, ...]:
            report = await self._platform.stop(task_id, attempt, checkpoint)
            if self._state is not None:
                self._state = record_stop_answer(self._state, (task_id, attempt), self._clock.now())
            return (report,)

        if self._may_act():
            await self._send_order(call)

    async def _renew_loop(self) -> None:
        while True:
            if self._state is not None and self._may_act():
                runs = attempts_to_renew(self._state.table, self._state.leases)
                lease = self._plan.rules.leases.lease
                if runs:
                    await self._send_order(partial(self._platform.renew, runs, lease))
            await trio.sleep(self._plan.pace.renew)

    def _keep_replicas(self, state: Partition) -> None:
        plan = self._plan
        self._adopt_step(
            reconcile_replicas(state, plan.share_index, plan.share_count, self._clock.now())
        )

    async def _workers_loop(self) -> None:
        while True:
            try:
                workers = [
                    worker
                    for region in self._plan.regions
                    for worker in await self._platform.workers(region)
                    if self._plan.includes(worker)
                ]
            except PlatformError as error:
                logger.warning("can't read the list of workers: {}", error)
                await trio.sleep(_RETRY_SECONDS)
                continue
            if self._state is not None:
                workers_by_id = {worker.worker_id: worker for worker in workers}
                self._state = replace(self._state, workers=workers_by_id)
                if self._configuration is not None and not self._stopping:
                    self._keep_replicas(self._state)
            await trio.sleep(self._plan.pace.workers)

    async def _follow_reports(self, region: RegionName) -> None:
        """Process the platform's reports on one region until cancelled."""
        cursor = 0
        while True:
            asked_at = self._clock.now()
            try:
                report = await self._platform.report(region, cursor, self._plan.pace.report_wait)
            except PlatformError as error:
                logger.warning("can't read the platform's reports: {}", error)
                await trio.sleep(_RETRY_SECONDS)
                continue
            cursor = report.cursor
            for run in self._take_reports(report.runs, RegionReport(region, asked_at)):
                await self._stop_attempt(run.task_id, run.attempt, checkpoint=False)

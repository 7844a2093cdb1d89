"""Simulation of a day of the platform: instances, executors, callers and trouble from a seed."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random

import trio

from fireflyfork._errors import JobGoneError, StoreRefusedError, StoreUnavailableError
from fireflyfork._ids import (
    ExecutorId,
    JobId,
    QueueName,
    ServiceName,
    TaskName,
)
from fireflyfork.decisions.jobs import (
    AdviceTerms,
    EndReason,
    ExecutorRoom,
    JobSpec,
    JobState,
    QueueConfiguration,
    StepSpec,
    UpkeepWave,
)
from fireflyfork.platform import PlatformBounds, is_completed_status, wave_status_key
from fireflyfork.programs._scheduling_keys import JOB_PREFIX

from ._advisor import AdvisorProfile, StandInAdvisor
from ._deterministic_run import run_deterministically
from ._executors import FAIL_SHARE, MAX_LEASE_SECONDS, StandInExecutor
from ._further_writers import FurtherWriters, KindChanges, RouteChanges
from ._history import History, Violation
from ._machines import StandInMachines, machine_of
from ._nodes import UNIX_MS_AT_START, StandInNode
from ._region_link import Purpose
from ._regions import RegionMap, RegionProfile, instance_name
from ._store import LINK_MBPS, StandInStore
from ._troubles import Troubles

SERVICE = ServiceName("desk")
WAVE_AT_ONCE = 2
INTERNAL_ERROR = "no internal error"
"""The promise that is broken by an error which the scheduler reports and survives."""
OWNER_CHECK_SECONDS = 0.05
SETTLE_SECONDS = 60.0
"""Limit for all accepted jobs to end after the last trouble. The longest wait for unreachable
executors is 9 s, and some tasks have to run one after the other."""


@dataclass(frozen=True, slots=True)
class Burst:
    """A time of more traffic, in seconds from the start of the traffic."""

    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Profile:
    """The settings of a day."""

    instances: int = 3
    executors: int = 6
    seconds: float = 20.0
    jobs_per_second: float = 2.0
    cancel_share: float = 0.08
    troubles: tuple[str, ...] = ()
    """Kinds of trouble that may occur at random times. The day is calm if there are none."""
    trouble_gap_seconds: float = 3.0
    speculative_share: float = 0.0
    """Share of steps whose tasks may run speculatively on several executors."""
    waves: int = 0
    """Number of waves of upkeep, each of all machines with at most two of them down at once."""
    thin_instances: int = 0
    """Number of instances with a slow link, counted from the first."""
    thin_link_mbps: float = 0.02
    """Bandwidth of a slow link in Mbit/s. Reading the stored state of thirty jobs over it takes some
    five seconds."""
    retention_seconds: float = 120.0
    """Time for which the state of a job must be readable after its end."""
    listing_counts: bool = False
    """Whether an end counts as known to the scheduler as soon as an executor has listed it."""
    max_lease_seconds: float = MAX_LEASE_SECONDS
    """Maximum lease that executors accept at once. They cut longer ones to it."""
    regions: RegionProfile | None = None
    """Settings of two regions with one link between them, or None for one region with a configuration
    that never changes."""
    planned_troubles: tuple[tuple[float, str], ...] = ()
    """Times from the start of the traffic, in seconds, and the kinds of trouble to inject then."""
    advisor: AdvisorProfile | None = None
    """The advisor whose tickets all starts need, if any."""
    burst: Burst | None = None
    attempts: int = 3
    """How often a task may fail before its job is failed."""
    fail_share: float = FAIL_SHARE
    """Share of runs that fail without any trouble."""
    changes_routes: bool = False
    """Whether the operator removes the route, adds it again, and changes its priority."""
    foreign_entries: bool = False
    """Whether another writer stores entries among the executors, most of which can't be read."""
    changes_kinds: bool = False
    """Whether executors come back as another kind, and steps require one."""
    early_cancel_share: float = 0.0
    """Share of jobs whose callers cancel them before they have an answer."""
    unusual_jobs: bool = False
    """Whether steps leave out what they don't need, and tasks request nothing of some kinds."""


@dataclass(slots=True)
class Report:
    """The results of a day."""

    violations: list[Violation]
    accepted: int = 0
    refused: int = 0
    unanswered: int = 0
    starts: int = 0
    store_calls: int = 0
    longest_without_owner: float = 0.0
    """Longest time without an active owner after the first one, in seconds. An owner isn't active
    while it is still recovering."""
    longest_hand_over: float = 0.0
    """Maximum time from the planned stop of an owner until another owner is active, in seconds."""
    waves_over: int = 0
    remaining_jobs: int = 0
    """Number of jobs that the store still holds at the end."""
    states: dict[JobState, int] = field(default_factory=dict)
    ends: dict[EndReason, int] = field(default_factory=dict)
    troubles: list[str] = field(default_factory=list)
    link_bytes: dict[Purpose, int] = field(default_factory=dict)
    """Number of bytes on the link between the regions by kind of traffic, both directions together."""
    configuration_bytes: int = 0
    """Number of bytes that all versions of the configuration take if each crosses the link once."""
    first_starts: list[tuple[float, float]] = field(default_factory=list)
    """For each accepted job that started: when it was accepted, in seconds from the start of the
    traffic, and how long its first task waited."""
    advisor_calls: dict[str, int] = field(default_factory=dict)
    """See ``StandInAdvisor.counts``."""
    most_waiting_calls: int = 0
    """The most calls of one instance that waited at the advisor at a time."""


def run_day(seed: int, profile: Profile) -> Report:
    """Simulate a day on a virtual clock. The same seed gives the same day."""
    return run_deterministically(seed, lambda: _Day(seed, profile).run())


def _terms(advisor: AdvisorProfile) -> AdviceTerms:
    return AdviceTerms(advisor.decision_seconds, advisor.executor_seconds, advisor.valid_seconds)


class _Day:
    def __init__(self, seed: int, profile: Profile) -> None:
        self._profile = profile
        self._random = Random(seed)
        self._history = History()
        self._store = StandInStore(self._random)
        self._map = RegionMap(profile.regions, profile.instances, profile.executors)
        self._executors: dict[ExecutorId, StandInExecutor] = {}
        self._advisor = self._make_advisor()
        self._executors |= {
            (name := ExecutorId(f"i-{number}")): StandInExecutor(
                name,
                SERVICE,
                ExecutorRoom(8000, 16000, 0),
                self._store,
                self._history,
                self._random,
                max_lease_seconds=profile.max_lease_seconds,
                failure_domain=self._map.executor_domain(number),
                ticket_check=self._has_ticket,
                fail_share=profile.fail_share,
            )
            for number in range(profile.executors)
        }
        self._machines = StandInMachines(SERVICE, self._executors, self._history, self._random)
        self._history.checks_budgets = not (profile.troubles or profile.planned_troubles)
        self._history.listing_counts = profile.listing_counts
        queue = QueueConfiguration(
            QueueName("q"), "h", "/q/", SERVICE, 0, profile.attempts, 2.0, 1000, 3000
        )
        if profile.advisor is not None:
            queue = replace(queue, needs_tickets=True, advice=_terms(profile.advisor))
        further_random = Random(f"further {seed}")
        self._further = FurtherWriters(further_random, self._store, SERVICE)
        self._routes = RouteChanges(further_random, SERVICE, queue)
        self._further_random = further_random
        self._kinds = KindChanges(further_random, self._executors if profile.changes_kinds else {})
        table = self._routes.table
        if profile.changes_routes:
            self._history.attempts = profile.attempts
        longest = profile.max_lease_seconds
        bounds = PlatformBounds(longest, 0.2, 6.0, profile.retention_seconds, 2.5, 2.5)
        self._operator = self._map.operator(self._store, SERVICE, self._history)
        self._nodes = [
            StandInNode(
                instance_name(number),
                SERVICE,
                self._store,
                self._executors,
                self._random,
                bounds,
                table,
                self._machines,
                profile.thin_link_mbps if number < profile.thin_instances else LINK_MBPS,
                self._map.site(number, bounds.configuration_delay),
                self._advisor,
            )
            for number in range(profile.instances)
        ]
        self._troubles = Troubles(
            SERVICE,
            self._nodes,
            self._executors,
            self._store,
            self._machines,
            self._random,
            profile.troubles,
            profile.seconds,
            profile.trouble_gap_seconds,
            self._advisor,
        )
        self._began = 0.0
        self._report = Report(self._history.violations, troubles=self._troubles.log)
        self._refused_only: set[JobId] = set()

    async def run(self) -> Report:
        """Simulate the day and return its report."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._store.run)
            if self._map.link is not None:
                nursery.start_soon(self._map.link.run)
            if self._operator is not None:
                self._operator.begin()
            for executor in self._executors.values():
                nursery.start_soon(executor.run)
            await trio.sleep(0.1)
            for node in self._nodes:
                nursery.start_soon(node.run_process, nursery)
            # Without regions all instances have a configuration from the start, and a wait would change
            # the days of existing seeds.
            while self._operator is not None and not all(
                node.is_configured for node in self._nodes
            ):
                await trio.sleep(OWNER_CHECK_SECONDS)
            nursery.start_soon(self._watch_owner)
            await trio.sleep(1.0)
            async with trio.open_nursery() as day:
                day.start_soon(self._callers, nursery)
                if self._profile.waves:
                    day.start_soon(self._ask_for_upkeep, nursery)
                if self._profile.troubles:
                    day.start_soon(self._troubles.run, nursery)
                if self._operator is not None:
                    day.start_soon(self._operator.run)
                self._start_further_writers(day)
                if self._profile.planned_troubles:
                    day.start_soon(
                        self._troubles.run_planned, self._profile.planned_troubles, nursery
                    )
            await self._settle()
            self._check_internal_errors()
            nursery.cancel_scope.cancel()
        self._report.starts = self._history.starts
        self._report.longest_hand_over = self._troubles.longest_hand_over
        self._report.remaining_jobs = len(self._store.items_under(JOB_PREFIX))
        self._report.store_calls = self._store.calls
        self._report.ends = dict(self._history.ends)
        self._report.first_starts = [
            (accepted - self._began, self._history.first_starts[job] - accepted)
            for job, accepted in self._history.acknowledged.items()
            if job in self._history.first_starts
        ]
        if self._advisor is not None:
            self._report.advisor_calls = dict(self._advisor.counts)
            self._report.most_waiting_calls = self._advisor.most_waiting
        if self._map.link is not None and self._operator is not None:
            self._report.link_bytes = self._map.link.crossed
            self._report.configuration_bytes = self._operator.carried_bytes
        return self._report

    def _start_further_writers(self, nursery: trio.Nursery) -> None:
        profile = self._profile
        if profile.changes_routes:
            nursery.start_soon(self._routes.run, self._nodes, profile.seconds)
        if profile.changes_kinds:
            nursery.start_soon(self._kinds.run, profile.seconds)
        if profile.foreign_entries:
            nursery.start_soon(self._further.write_entries, profile.seconds)

    async def _watch_owner(self) -> None:
        while not any(node.is_active_owner for node in self._nodes):
            await trio.sleep(OWNER_CHECK_SECONDS)
        without = 0.0
        while True:
            await trio.sleep(OWNER_CHECK_SECONDS)
            has_owner = any(node.is_active_owner for node in self._nodes)
            without = 0.0 if has_owner else without + OWNER_CHECK_SECONDS
            self._report.longest_without_owner = max(self._report.longest_without_owner, without)

    async def _callers(self, nursery: trio.Nursery) -> None:
        self._began = trio.current_time()
        end = self._began + self._profile.seconds
        number = 0
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(self._jobs_per_second()))
            number += 1
            nursery.start_soon(self._caller, JobId(f"{number:016x}"), nursery)

    def _jobs_per_second(self) -> float:
        burst, usual = self._profile.burst, self._profile.jobs_per_second
        now = trio.current_time() - self._began
        if burst is None or not burst.at <= now < burst.at + burst.seconds:
            return usual
        return usual * burst.factor

    def _make_advisor(self) -> StandInAdvisor | None:
        if self._profile.advisor is None:
            return None
        return StandInAdvisor(self._profile.advisor, self._random, self._executors)

    def _has_ticket(self, executor: ExecutorId, task: TaskName, ticket: str) -> bool:
        return self._advisor is None or self._advisor.is_valid(executor, task, ticket)

    async def _caller(self, name: JobId, nursery: trio.Nursery) -> None:
        spec = self._draw_job(name)
        self._history.jobs[name] = spec
        share = self._profile.early_cancel_share
        if share and self._further_random.random() < share:
            nursery.start_soon(self._cancel_early, name)
        only_refused = True
        for _ in range(5):
            node = self._random.choice(self._nodes)
            if not node.is_configured:
                await trio.sleep(0.3)
                continue
            try:
                await node.requests.submit(spec)
            except StoreRefusedError:
                self._report.refused += 1
                await trio.sleep(0.5)
                continue
            except StoreUnavailableError:
                self._report.unanswered += 1
                only_refused = False
                await trio.sleep(0.2)
                continue
            except JobGoneError:
                return
            if name in self._history.barred:
                self._broken("cancelled", f"{name} is accepted, and was said not to exist")
            self._history.acknowledged[name] = trio.current_time()
            self._report.accepted += 1
            break
        else:
            if only_refused:
                self._refused_only.add(name)
            return
        if spec.is_long_running or self._random.random() < self._profile.cancel_share:
            await trio.sleep(self._random.uniform(0.0, 6.0))
            await self._cancel(name)

    async def _cancel_early(self, name: JobId) -> None:
        """Cancel a job that may not have been accepted; the answer holds also if there is none."""
        await trio.sleep(self._further_random.uniform(0.0, 0.5))
        self._history.cancelling.add(name)
        node = self._further_random.choice(self._nodes)
        if node.is_configured:
            with suppress(StoreUnavailableError):
                if not await node.requests.cancel(name):
                    self._history.barred.add(name)
                self._history.cancelled.setdefault(name, trio.current_time())

    async def _cancel(self, name: JobId) -> None:
        self._history.cancelling.add(name)
        for _ in range(60):
            node = self._random.choice(self._nodes)
            if node.is_configured:
                try:
                    if await node.requests.cancel(name):
                        self._history.cancelled[name] = trio.current_time()
                        return
                except StoreUnavailableError:
                    self._report.unanswered += 1
            await trio.sleep(0.5)

    def _draw_job(self, name: JobId) -> JobSpec:
        random = self._random
        is_long_running = random.random() < 0.15
        steps = []
        for number in range(1 if is_long_running else random.randint(1, 3)):
            steps.append(
                StepSpec(
                    count=random.randint(1, 5),
                    cpu_millis=random.choice((500, 1000, 2000, 4000)),
                    memory_mb=random.choice((500, 1000, 3000)),
                    accelerators=0,
                    estimate_ms=random.randint(200, 1800),
                    after=(number - 1,) if number else (),
                    checkpointing=random.random() < 0.3 and not is_long_running,
                    per_executor_limit=2 if random.random() < 0.2 else 0,
                    long_running=is_long_running,
                    speculative=self._draws(self._profile.speculative_share)
                    and not is_long_running,
                    uses_leftover_cpu=random.random() < 0.3 and not is_long_running,
                )
            )
        now_ms = UNIX_MS_AT_START + int(trio.current_time() * 1000)
        if self._profile.unusual_jobs:
            steps = [self._further.reduced(step) for step in steps]
        if self._profile.changes_kinds:
            steps = [self._kinds.labelled(step) for step in steps]
        terms = self._routes.queue.terms
        return JobSpec(
            name, QueueName("q"), SERVICE, "work", tuple(steps), now_ms, queue_terms=terms
        )

    def _draws(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    async def _ask_for_upkeep(self, nursery: trio.Nursery) -> None:
        for number in range(1, self._profile.waves + 1):
            await trio.sleep(3.0)
            machines = tuple(map(machine_of, self._executors))
            wave = UpkeepWave(number, machines, WAVE_AT_ONCE)
            self._machines.waves.append(wave)
            nursery.start_soon(self._follow_wave, wave)

    async def _follow_wave(self, wave: UpkeepWave) -> None:
        """Wait for the wave's status in the store to report its end, and check that it is true."""
        key = wave_status_key(wave.number)
        while not any(is_completed_status(item.value) for item in self._store.items_under(key)):
            await trio.sleep(0.05)
        self._report.waves_over += 1
        if not self._machines.begun(wave):
            self._broken("upkeep", f"wave {wave.number} is reported as over too early")

    async def _settle(self) -> None:
        await trio.sleep(10.0)
        if self._profile.retention_seconds < 0:
            # Jobs that have ended are removed from the store, so their states can't be checked.
            await trio.sleep(30.0)
            return
        end = trio.current_time() + SETTLE_SECONDS
        unfinished = set(self._history.acknowledged)
        while unfinished and trio.current_time() < end:
            await trio.sleep(1.0)
            unfinished = {job for job in unfinished if not await self._is_final(job)}
        while self._report.waves_over < self._profile.waves and trio.current_time() < end:
            await trio.sleep(1.0)
        if self._report.waves_over < self._profile.waves:
            self._broken("upkeep", f"{self._report.waves_over} waves of upkeep are over")
        for job in sorted(unfinished):
            self._broken("finished", f"{job} has not ended")
        for job in sorted(self._history.acknowledged):
            await self._check_final_state(job)
        for job in sorted(self._refused_only):
            if any(run for run in self._history.done_tasks(job)):
                self._broken("not run", f"{job} was refused and ran")

    def _check_internal_errors(self) -> None:
        for node in self._nodes:
            if node.internal_errors:
                self._broken(INTERNAL_ERROR, f"{node.name}: {node.internal_errors} of them")

    async def _state(self, job: JobId) -> JobState | None:
        while True:
            node = self._random.choice(self._nodes)
            if node.is_configured:
                try:
                    return await node.requests.state(job)
                except StoreUnavailableError:
                    self._report.unanswered += 1
            await trio.sleep(0.2)

    async def _is_final(self, job: JobId) -> bool:
        state = await self._state(job)
        return state is not None and state.is_final

    async def _check_final_state(self, job: JobId) -> None:
        state = await self._state(job)
        if state is None:
            self._broken("kept", f"{job} is not known any more")
            return
        self._report.states[state] = self._report.states.get(state, 0) + 1
        spec = self._history.jobs[job]
        if state is JobState.COMPLETED:
            done = len(self._history.done_tasks(job))
            if done != spec.task_count:
                self._broken("completed", f"{job}: {done} of {spec.task_count} tasks are done")
        elif state is JobState.FAILED and self._history.failures(job) < self._profile.attempts:
            self._broken("failed", f"{job} has failed {self._history.failures(job)} times only")
        elif state is JobState.CANCELLED and job not in self._history.cancelling:
            self._broken("cancelled", f"{job} was not cancelled by its caller")

    def _broken(self, promise: str, what: str) -> None:
        self._history.record_violation(promise, what)

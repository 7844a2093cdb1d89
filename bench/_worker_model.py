"""A seeded model of workers that run services and batch tasks, for measuring a placement policy.

Time advances in steps, without concurrency and without network calls. Usage and latency are
reported with a lag, declared sizes and run times differ from the actual ones, and each pair of a
service and a batch class has its own hidden slow-down that grows with the worker's load.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram

from fireflyfork import (
    AttemptNumber,
    FailureDomainName,
    JobId,
    RackName,
    RegionName,
    Resources,
    ServiceContract,
    ServiceName,
    TaskId,
    TeamContract,
    TeamName,
    Tolerance,
    Weights,
    Worker,
    WorkerId,
)
from fireflyfork.decisions._placement_policy import (
    AttemptEnded,
    AttemptStarted,
    CheckpointAndEvict,
    PlacementCommand,
    PlacementPolicy,
    PlacementView,
    Refuse,
    RunSample,
    SamplesTaken,
    Start,
)
from fireflyfork.decisions._task_changes import AttemptOutcome
from fireflyfork.decisions._tasks import JobNumber, Task, TaskShape, TaskState

STEP_SECONDS = 1.0
DECISIONS_PER_STEP = 2
_REPORT_SECONDS = 5
_LAG_SECONDS = 10
_START_SECONDS = 0.5
_STOP_SECONDS = 2.0
_CHECKPOINT_SECONDS = 60.0
_CHECKPOINT_FAILURE_SHARE = 0.1
"""Share of checkpoints on eviction that fail; the task then resumes from its last periodic one."""
_TEAMS = 6
_OBJECTIVE = 200.0
_RATIO_UNIT = 1000


@dataclass(frozen=True, slots=True)
class Site:
    """A fleet of workers with its workload and the weights of its goals."""

    name: str
    workers: int
    cores: int
    gigabytes: int
    workers_per_rack: int
    domains: int
    weights: Weights
    services: int = 4
    batch_classes: int = 8
    replicas_per_worker: int = 2
    replica_share: float = 0.125
    """Share of a worker's processors that one replica declares."""
    batch_scale: float = 1.0
    """Factor on the size of batch tasks; at 1.0 they declare 1/32 to 1/4 of a worker's cores."""
    noisy_pair_share: float = 0.25
    """Share of the pairs of a service and a batch class that interfere strongly."""


NAIDU = Site("naidu", 24, 16, 60, 8, 3, Weights(tail_latency=5.0, evictions=1.0, throughput=1.0))
KASTINGS = Site(
    "kastings", 33, 64, 250, 11, 3, Weights(tail_latency=2.0, evictions=5.0, throughput=3.0)
)


@dataclass(frozen=True, slots=True)
class _BatchTruth:
    """The actual behaviour of a class of batch tasks, which the policy never sees."""

    shape: TaskShape
    processor_ratio: float
    """Processor demand as a fraction of the declared millicores."""
    memory_ratio: float
    memory_spread: float
    run_ratio: float
    slopes: tuple[tuple[float, ...], ...]
    """Increase of the log tail latency on a worker full of this class, by service and load band."""


@dataclass(frozen=True, slots=True)
class _ServiceTruth:
    """The actual behaviour of a service, which the policy never sees."""

    shape: TaskShape
    base: float
    """Ratio of p99 latency to the objective when the service runs alone at half load."""


@dataclass(slots=True)
class _Run:
    """An attempt that is running on a worker."""

    task: Task
    started_at: float
    demand_millicores: float
    """Millicores that the attempt could use without limits."""
    memory: int
    full_speed_seconds: float
    """Actual run time at full speed."""
    progress: float
    truth: _BatchTruth | _ServiceTruth
    used: float = 0.0
    stops_at: float | None = None
    """Time at which an ordered stop takes effect, or None if none is ordered."""
    checkpoint: float = 0.0
    checkpoint_at: float = 0.0
    fails: bool = False


@dataclass(slots=True)
class Outcome:
    """The measurements of one run of the model."""

    tail: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 1_000_000, 3))
    urgent: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10_000_000, 3))
    over_objective: int = 0
    intervals: int = 0
    core_seconds: float = 0.0
    finished: int = 0
    evictions: int = 0
    lost_core_seconds: float = 0.0
    throttles: int = 0
    out_of_memory: int = 0
    failures: int = 0
    refused: int = 0
    worst_rack_share: float = 0.0
    """The largest share of a service's replicas in one rack at the end of the run."""

    def tail_ratio(self, percentile: float) -> float:
        """Return a percentile of p99 latency over the objective, over replicas and intervals."""
        return float(self.tail.get_value_at_percentile(percentile)) / _RATIO_UNIT

    def urgent_seconds(self, percentile: float) -> float:
        """Return a percentile of the seconds from the submission of an urgent task to its start."""
        return float(self.urgent.get_value_at_percentile(percentile)) / 1000.0


class WorkerModel:
    """Simulates one site under one policy with one seed."""

    def __init__(self, site: Site, policy: PlacementPolicy, seed: int) -> None:
        """Set up the site; task behaviour and arrivals depend on the seed, not on the policy."""
        self._site = site
        self._policy = policy
        self._arrival_random = random.Random(seed)
        self._noise_random = random.Random(seed + 1)
        self._now = 0.0
        self.outcome = Outcome()
        self._workers = {item.worker_id: item for item in _workers(site)}
        self._services = tuple(
            _service(number, self._arrival_random, site) for number in range(site.services)
        )
        self._classes = tuple(
            _batch_class(number, self._arrival_random, site) for number in range(site.batch_classes)
        )
        truths: tuple[_BatchTruth | _ServiceTruth, ...] = (*self._services, *self._classes)
        self._truth = {item.shape.task_class: item for item in truths}
        self._tasks: dict[TaskId, Task] = {}
        self._waiting: dict[JobId, dict[TaskId, Task]] = {}
        self._urgent: dict[JobId, dict[TaskId, Task]] = {}
        self._on_worker: dict[WorkerId, dict[TaskId, Task]] = {}
        self._reserved: dict[WorkerId, Resources] = {}
        self._team_reserved: dict[TeamName, Resources] = {}
        self._runs: dict[TaskId, _Run] = {}
        self._reports: deque[SamplesTaken] = deque()
        self._teams = _teams(site)
        self._contracts = {
            ServiceName(f"service-{number}"): ServiceContract(
                ServiceName(f"service-{number}"),
                TeamName("team-0"),
                10.0,
                latency_objective_milliseconds=_OBJECTIVE,
            )
            for number in range(site.services)
        }
        self._load = 0.5
        self._job_count = 0
        self._failing_worker: WorkerId | None = None
        self._wave: tuple[float, _BatchTruth] | None = None

    def run(self, seconds: int) -> Outcome:
        """Simulate this many seconds and return the measurements."""
        self.submit_replicas()
        while self._now < seconds:
            self._submit_arrivals()
            for _ in range(DECISIONS_PER_STEP):
                self._now += STEP_SECONDS / DECISIONS_PER_STEP
                for command in self._policy.decide(self.view()):
                    self.apply(command)
            self._advance_runs()
            if int(self._now) % _REPORT_SECONDS == 0:
                self.measure()
            while self._reports and self._reports[0].now <= self._now:
                self._policy.observe(self._reports.popleft())
        self._measure_spread()
        return self.outcome

    def submit_replicas(self) -> None:
        """Submit the replicas of all services."""
        replicas = self._site.replicas_per_worker * self._site.workers
        for service in self._services:
            self.submit(service.shape, replicas // self._site.services)

    def _measure_spread(self) -> None:
        for service in self._services:
            runs = [run for run in self._runs.values() if run.truth is service]
            racks = Counter(
                self._workers[run.task.worker_id].rack for run in runs if run.task.worker_id
            )
            share = max(racks.values(), default=0) / max(len(runs), 1)
            self.outcome.worst_rack_share = max(self.outcome.worst_rack_share, share)

    @property
    def running(self) -> Mapping[TaskId, _Run]:
        """The attempts that have been started and have not ended, by task."""
        return self._runs

    def waiting_count(self) -> int:
        """Return the number of waiting tasks that aren't urgent."""
        return sum(len(tasks) for tasks in self._waiting.values())

    def submit_random_tasks(self, count: int, rng: random.Random) -> None:
        """Submit about ``count`` tasks of randomly drawn classes, in jobs of up to four tasks."""
        for _ in range(max(count // 4, 1)):
            team = TeamName(f"team-{rng.randrange(_TEAMS)}")
            self.submit(replace(rng.choice(self._classes).shape, team=team), min(count, 4))

    def end_random_runs(self, count: int, rng: random.Random, outcome: AttemptOutcome) -> None:
        """End ``count`` randomly drawn batch attempts with this outcome."""
        batch = [run for run in self._runs.values() if run.task.shape.service is None]
        for run in rng.sample(batch, min(count, len(batch))):
            self.end(run, outcome)

    def run_round(self, seconds: float) -> None:
        """Advance time and apply the commands that the policy then decides on."""
        self._now += seconds
        for command in self._policy.decide(self.view()):
            self.apply(command)

    def report_at_once(self) -> None:
        """Report all attempts to the policy without the usual lag."""
        self._set_steady_usage()
        self.measure()
        self._policy.observe(self._reports.pop())

    def drop_waiting(self) -> None:
        """Remove all waiting tasks, urgent ones included."""
        for group in (self._waiting, self._urgent):
            for tasks in group.values():
                for task_id in tasks:
                    del self._tasks[task_id]
            group.clear()

    def _set_steady_usage(self) -> None:
        for run in self._runs.values():
            run.started_at = self._now
            if isinstance(run.truth, _ServiceTruth):
                run.demand_millicores = self._load * run.task.shape.resources.millicores
            run.used = min(run.demand_millicores, run.task.reservation.millicores)

    def _submit_arrivals(self) -> None:
        rng = self._arrival_random
        if int(self._now) % 300 == 0:
            self._load = rng.uniform(0.35, 0.95)
            wave = rng.choice(self._classes) if rng.random() < 0.4 else None
            self._wave = None if wave is None else (self._now + 60.0, wave)
            is_broken = rng.random() < 0.3
            chosen = rng.choice(sorted(self._workers))
            self._failing_worker = chosen if is_broken else None
        offered = 1.15 * self._site.workers * self._site.cores * 1000.0
        for batch_class in self._classes:
            demand = batch_class.shape.resources.millicores * batch_class.processor_ratio
            run_seconds = batch_class.shape.run_seconds * batch_class.run_ratio
            rate = offered / (len(self._classes) * demand * run_seconds)
            in_wave = self._wave is not None and self._wave[1] is batch_class
            if self._wave is not None and in_wave and self._now <= self._wave[0]:
                rate *= 6.0
            count = _poisson(rate * 0.55, rng)
            team = TeamName(f"team-{rng.randrange(_TEAMS)}")
            urgent = rng.random() < 0.02
            if count:
                self.submit(replace(batch_class.shape, team=team, urgent=urgent), count)

    def submit(self, shape: TaskShape, count: int) -> None:
        """Submit a job of ``count`` tasks of the same shape."""
        self._job_count += 1
        job_id = JobId(f"job-{self._job_count}")
        group = self._urgent if shape.urgent else self._waiting
        for index in range(count):
            task_id = TaskId(f"{job_id}/{index}")
            task = Task(
                task_id,
                job_id,
                JobNumber(self._job_count),
                index,
                shape,
                TaskState.WAITING,
                self._now,
                self._now,
            )
            self._tasks[task_id] = task
            group.setdefault(job_id, {})[task_id] = task

    def view(self) -> PlacementView:
        """Return the state that the policy decides on."""
        return PlacementView(
            self._now,
            self._workers,
            self._reserved,
            self._on_worker,
            self._waiting,
            self._urgent,
            self._team_reserved,
            self._teams,
            self._contracts,
            self._site.weights,
            500,
        )

    def apply(self, command: PlacementCommand) -> None:
        """Apply a command of the policy."""
        task = self._tasks[command.task_id]
        if isinstance(command, Start):
            self._start(task, command)
        elif isinstance(command, Refuse):
            self.outcome.refused += 1
            self._unqueue(task)
            del self._tasks[task.task_id]
        elif isinstance(command, CheckpointAndEvict):
            self._evict(task)
        elif task.state is TaskState.RUNNING:
            self.outcome.throttles += command.millicores is not None
            self._replace(replace(task, millicores_limit=command.millicores))

    def _start(self, task: Task, command: Start) -> None:
        self._unqueue(task)
        held = self._reserved.get(command.worker_id, Resources()) + command.reservation
        if not held.fits_in(self._workers[command.worker_id].capacity):
            raise AssertionError(f"reservations on {command.worker_id} would exceed its capacity")
        started = replace(
            task,
            state=TaskState.RUNNING,
            worker_id=command.worker_id,
            reservation=command.reservation,
            attempt=AttemptNumber(task.attempt + 1),
            since=self._now,
        )
        self._reserved[command.worker_id] = held
        self._count_quota(started, 1)
        self._replace(started)
        self._runs[task.task_id] = self._new_run(started)
        if task.shape.urgent and task.attempt == 0:
            waited = self._now + _START_SECONDS - task.submitted
            self.outcome.urgent.record_value(int(1000 * waited))
        self._policy.observe(AttemptStarted(self._now, started))

    def _new_run(self, task: Task) -> _Run:
        truth = self._truth[task.shape.task_class]
        rng = random.Random(task.task_id)
        begins = self._now + _START_SECONDS
        declared = task.shape.resources
        if isinstance(truth, _ServiceTruth):
            memory = int(0.7 * declared.memory)
            return _Run(task, begins, 0.0, memory, math.inf, 0.0, truth)
        need = declared.millicores * truth.processor_ratio * rng.uniform(0.85, 1.15)
        spread = rng.gauss(0.0, truth.memory_spread)
        memory = int(declared.memory * truth.memory_ratio * math.exp(spread))
        seconds = task.shape.run_seconds * truth.run_ratio * rng.uniform(0.6, 1.4)
        run = _Run(task, begins, need, memory, seconds, task.progress, truth)
        run.checkpoint = task.progress
        run.checkpoint_at = begins
        run.fails = rng.random() < 0.004
        return run

    def _evict(self, task: Task) -> None:
        if task.state is not TaskState.RUNNING:
            return
        self.outcome.evictions += 1
        self._replace(replace(task, state=TaskState.EVICTING))
        self._runs[task.task_id].stops_at = self._now + _STOP_SECONDS

    def _replace(self, task: Task) -> None:
        self._tasks[task.task_id] = task
        if task.worker_id is not None:
            self._on_worker.setdefault(task.worker_id, {})[task.task_id] = task
        if task.task_id in self._runs:
            self._runs[task.task_id].task = task

    def _unqueue(self, task: Task) -> None:
        group = self._urgent if task.shape.urgent else self._waiting
        tasks = group[task.job_id]
        del tasks[task.task_id]
        if not tasks:
            del group[task.job_id]

    def _count_quota(self, task: Task, sign: int) -> None:
        if task.shape.service is not None:
            return
        held = self._team_reserved.get(task.shape.team, Resources())
        amount = task.reservation
        self._team_reserved[task.shape.team] = held + amount if sign > 0 else held - amount

    def end(self, run: _Run, outcome: AttemptOutcome, reason: str = "") -> None:
        """End an attempt, and return its task to the waiting tasks unless it has finished."""
        task = run.task
        assert task.worker_id is not None
        del self._runs[task.task_id]
        del self._on_worker[task.worker_id][task.task_id]
        self._reserved[task.worker_id] -= task.reservation
        self._count_quota(task, -1)
        if outcome is AttemptOutcome.FINISHED:
            del self._tasks[task.task_id]
        else:
            failed = outcome is AttemptOutcome.FAILED
            waiting = replace(
                task,
                state=TaskState.WAITING if failed else TaskState.EVICTED,
                worker_id=None,
                reservation=Resources(),
                millicores_limit=None,
                progress=run.checkpoint,
                failed_on=(*task.failed_on, task.worker_id) if failed else task.failed_on,
            )
            self._tasks[task.task_id] = waiting
            group = self._urgent if task.shape.urgent else self._waiting
            group.setdefault(task.job_id, {})[task.task_id] = waiting
        self._policy.observe(AttemptEnded(self._now, task, outcome, reason))

    def _advance_runs(self) -> None:
        for run in list(self._runs.values()):
            if run.started_at > self._now:
                continue
            if isinstance(run.truth, _ServiceTruth):
                run.demand_millicores = self._load * run.task.shape.resources.millicores
                run.used = min(run.demand_millicores, run.task.reservation.millicores)
            else:
                self._advance_batch_run(run)

    def _advance_batch_run(self, run: _Run) -> None:
        task = run.task
        if task.worker_id == self._failing_worker or (run.fails and run.progress > 0.3):
            self.outcome.failures += 1
            self._record_lost_work(run)
            self.end(run, AttemptOutcome.FAILED, "exit status 1")
            return
        if run.stops_at is not None and run.stops_at <= self._now:
            self._stop(run)
            return
        if run.progress > 0.4 and run.memory > task.reservation.memory:
            self.outcome.out_of_memory += 1
            self._record_lost_work(run)
            self.end(run, AttemptOutcome.FAILED, "out of memory")
            return
        limit = task.millicores_limit
        allowed = task.reservation.millicores if limit is None else limit
        run.used = min(run.demand_millicores, allowed, task.reservation.millicores)
        run.progress += STEP_SECONDS * run.used / run.demand_millicores / run.full_speed_seconds
        if self._now - run.checkpoint_at >= _CHECKPOINT_SECONDS:
            run.checkpoint = run.progress
            run.checkpoint_at = self._now
        if run.progress >= 1.0:
            self.outcome.finished += 1
            self.outcome.core_seconds += run.demand_millicores * run.full_speed_seconds / 1000.0
            self.end(run, AttemptOutcome.FINISHED)

    def _stop(self, run: _Run) -> None:
        if self._noise_random.random() < _CHECKPOINT_FAILURE_SHARE:
            self._record_lost_work(run)
        else:
            run.checkpoint = run.progress
        self.end(run, AttemptOutcome.STOPPED)

    def _record_lost_work(self, run: _Run) -> None:
        lost = (
            (run.progress - run.checkpoint)
            * run.full_speed_seconds
            * run.demand_millicores
            / 1000.0
        )
        self.outcome.lost_core_seconds += lost

    def measure(self) -> None:
        """Sample all attempts and queue the reports, which the policy receives after the lag."""
        due = self._now + _LAG_SECONDS
        samples = []
        for worker_id, tasks in self._on_worker.items():
            runs = [self._runs[task_id] for task_id in tasks]
            runs = [run for run in runs if run.started_at <= self._now]
            capacity = self._workers[worker_id].capacity.millicores
            load = sum(run.used for run in runs) / capacity
            samples += [self._sample(run, runs, load, capacity) for run in runs]
        self._reports.append(SamplesTaken(due, tuple(samples)))

    def _sample(self, run: _Run, runs: list[_Run], load: float, capacity: int) -> RunSample:
        tail = None
        memory = run.memory
        if isinstance(run.truth, _ServiceTruth):
            ratio = self._tail_ratio(run, run.truth, runs, load, capacity)
            tail = ratio * _OBJECTIVE
            self.outcome.intervals += 1
            self.outcome.over_objective += ratio > 1.0
            self.outcome.tail.record_value(int(ratio * _RATIO_UNIT))
        elif run.progress <= 0.4:
            memory = int(memory * 0.6)
        used = Resources(int(run.used), min(memory, run.task.reservation.memory))
        return RunSample(run.task, self._now, used, run.checkpoint, tail)

    def _tail_ratio(
        self, run: _Run, truth: _ServiceTruth, runs: list[_Run], load: float, capacity: int
    ) -> float:
        number = int(truth.shape.task_class.removeprefix("service-"))
        band = min(int(load * 4), 3)
        exponent = 0.8 * max(load - 0.5, 0.0) + 0.5 * (self._load - 0.5)
        for other in runs:
            if isinstance(other.truth, _BatchTruth):
                exponent += other.truth.slopes[number][band] * other.used / capacity
        starved = max(run.demand_millicores / max(run.task.reservation.millicores, 1), 1.0)
        noise = self._noise_random.gauss(0.0, 0.12)
        return truth.base * starved**2 * math.exp(exponent + noise)


def _workers(site: Site) -> Iterator[Worker]:
    capacity = Resources(site.cores * 1000, site.gigabytes * 10**9)
    for number in range(site.workers):
        rack = number // site.workers_per_rack
        yield Worker(
            WorkerId(f"worker-{number:04}"),
            RegionName("region"),
            FailureDomainName(f"domain-{rack % site.domains}"),
            RackName(f"rack-{rack}"),
            capacity,
        )


def _service(number: int, rng: random.Random, site: Site) -> _ServiceTruth:
    name = f"service-{number}"
    cores = site.cores * site.replica_share
    resources = Resources(int(1000 * cores), int(site.gigabytes * site.replica_share * 0.7 * 10**9))
    shape = TaskShape(
        TeamName("team-0"), name, resources, 0.0, False, ServiceName(name), Tolerance.NONE
    )
    return _ServiceTruth(shape, rng.uniform(0.35, 0.6))


def _batch_class(number: int, rng: random.Random, site: Site) -> _BatchTruth:
    cores = rng.choice((0.5, 1.0, 2.0, 4.0)) * site.batch_scale * site.cores / 16
    gigabytes = cores * rng.choice((1.0, 2.0, 4.0))
    shape = TaskShape(
        TeamName("team-0"),
        f"batch-{number}",
        Resources(int(cores * 1000), int(gigabytes * 10**9)),
        rng.choice((60.0, 120.0, 300.0, 600.0)),
        tolerance=Tolerance.EVICT if rng.random() < 0.8 else Tolerance.THROTTLE,
    )
    slopes = []
    for _ in range(site.services):
        is_noisy = rng.random() < site.noisy_pair_share
        slope = rng.uniform(2.0, 6.0) if is_noisy else rng.uniform(0.0, 0.3)
        slopes.append(tuple(slope * factor for factor in (0.5, 0.8, 1.0, 1.3)))
    return _BatchTruth(
        shape,
        processor_ratio=rng.uniform(0.25, 1.3),
        memory_ratio=rng.uniform(0.2, 1.1),
        memory_spread=rng.uniform(0.03, 0.15),
        run_ratio=rng.uniform(0.4, 2.5),
        slopes=tuple(slopes),
    )


def _teams(site: Site) -> dict[TeamName, TeamContract]:
    total = Resources(site.workers * site.cores * 1000, site.workers * site.gigabytes * 10**9)
    quota = Resources(total.millicores // 2, total.memory // 2)
    names = [TeamName(f"team-{number}") for number in range(_TEAMS)]
    return {name: TeamContract(name, quota, urgent=True) for name in names}


def _poisson(mean: float, rng: random.Random) -> int:
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count

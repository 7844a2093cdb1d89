"""Attributes the time of late jobs to causes, from the logs of the scheduler's processes.

The task of a step that ends last determines when the step ends. The time of each step is therefore
split by the history of that task: its waits for placement, its repeated runs and its last run.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

import msgspec

from .._job_samples import in_sample, job_of_task
from .._waits import WaitReason
from ._log_lines import decode_log_lines

PHASE_SECONDS = 5.0
"""Length of the phases into which late jobs are grouped by acceptance time."""


class Cause(Enum):
    """A reason for which time passed between a job's acceptance and its end."""

    NO_OWNER = "no owner"
    """No owner placed tasks: the old one was lost and the new one was still reading the state."""
    HELD = WaitReason.HELD.value
    PROCESSORS = WaitReason.PROCESSORS.value
    MEMORY = WaitReason.MEMORY.value
    DISTURBS = WaitReason.DISTURBS.value
    RESERVED = WaitReason.RESERVED.value
    BEHIND = WaitReason.BEHIND.value
    NEXT_ROUND = WaitReason.NEXT_ROUND.value
    TRIAL = WaitReason.TRIAL.value
    NEAR_DATA = WaitReason.NEAR_DATA.value
    ADVICE = WaitReason.ADVICE.value
    OTHER_WAIT = WaitReason.OTHER.value
    WAITED = "waited a moment"
    """The task had a place at once; the time is the latency of its order."""
    NEVER_PLACED = "never placed"
    REPEATED = "runs repeated"
    PACED = "ran at a lower pace"
    RAN = "ran"
    STORED = "stored"


@dataclass(frozen=True, slots=True)
class JobAccount:
    """One job's time, split by cause."""

    job: str
    queue: str
    accepted_at: float
    """Seconds since the first log line."""
    state: str
    """The final state, or ``not over`` if the log has no end of the job."""
    age_seconds: float
    allowed_seconds: float | None
    """Time that the objective allows, or None for a job that never ended."""
    seconds: dict[Cause, float]
    work: int = 0
    """Estimated work of all tasks; 0 if the log doesn't tell."""
    failure_domain: str = ""
    """Failure domain of the instance that accepted the job; empty if the log doesn't tell."""

    @property
    def late(self) -> bool:
        """Whether the job took longer than its objective allows, or never ended."""
        return self.allowed_seconds is None or self.age_seconds > self.allowed_seconds

    @property
    def main_cause(self) -> Cause:
        """The cause of most of the job's time, apart from normal running."""
        others = {cause: time for cause, time in self.seconds.items() if cause is not Cause.RAN}
        return max(others, key=lambda cause: others[cause]) if others else Cause.RAN


@dataclass(frozen=True, slots=True)
class JobAccounts:
    """The accounts of the fully logged jobs and their share of all jobs."""

    jobs: tuple[JobAccount, ...]
    share: float
    """From 0 to 1; below 1 if an owner was too busy to log its decisions on all jobs."""


@dataclass(frozen=True, slots=True)
class CauseRow:
    """Sum over the late jobs of one queue that share a main cause."""

    queue: str
    cause: Cause
    jobs: int
    seconds: float
    """Total time that the jobs spent on that cause."""


class _Line(msgspec.Struct):
    """The fields of log lines that the account uses; each message has only some of them."""

    time: str
    message: str
    service: str = ""
    job: str = ""
    queue: str = ""
    task: str = ""
    attempt: int = 0
    state: str = ""
    age_ms: int = 0
    allowed_ms: int = 0
    reason: str = ""
    waited_for: str = ""
    lowest_pace: int = 100
    share: float = 1.0
    node: str = ""
    failure_domain: str = ""
    work: int = 0


@dataclass(slots=True)
class _Run:
    sent_at: float
    waited_for: str
    ended_at: float | None = None
    reason: str = ""
    lowest_pace: int = 100


@dataclass(slots=True)
class _Job:
    queue: str
    accepted_at: float
    finished_at: float | None = None
    state: str = "not over"
    allowed_seconds: float | None = None
    work: int = 0
    node: str = ""
    runs: dict[str, dict[int, _Run]] = field(default_factory=lambda: defaultdict(dict))
    """Runs by task and attempt."""


def account_jobs(lines: Iterable[str]) -> JobAccounts:
    """Return the accounts of all accepted jobs, from the lines of all processes in any order.

    Long-running jobs are left out because they have no end that could be late. Jobs whose decisions
    a busy owner logged only in part are left out too. Text before the first brace of a line is
    skipped, and so are lines that are not log lines.
    """
    dated_lines = sorted(_lines_with_time(lines), key=lambda pair: pair[0])
    if not dated_lines:
        return JobAccounts((), 1.0)
    first_time = dated_lines[0][0]
    records = [((at - first_time).total_seconds(), line) for at, line in dated_lines]
    jobs = _collect(records)
    gaps = _intervals_without_owner(records)
    domains = {line.node: line.failure_domain for _, line in records if line.message == "serving"}
    last_time = records[-1][0]
    share = _smallest_share(records)
    accounts = tuple(
        _account(name, job, gaps, last_time, domains.get(job.node, ""))
        for name, job in jobs.items()
        if in_sample(name, share) and not _is_long_running(job)
    )
    return JobAccounts(accounts, share)


def _smallest_share(records: Iterable[tuple[float, _Line]]) -> float:
    shares = (line.share for _, line in records if line.message == "decisions not logged")
    return min(shares, default=1.0)


def summarize(accounts: Iterable[JobAccount]) -> tuple[CauseRow, ...]:
    """Sum late jobs by queue and main cause, in descending order of the number of jobs."""
    rows: dict[tuple[str, Cause], list[float]] = defaultdict(list)
    for account in accounts:
        if account.late:
            cause = account.main_cause
            rows[account.queue, cause].append(account.seconds.get(cause, 0.0))
    summary = (
        CauseRow(queue, cause, len(cause_seconds), sum(cause_seconds))
        for (queue, cause), cause_seconds in rows.items()
    )
    return tuple(sorted(summary, key=lambda row: (-row.jobs, row.queue, row.cause.value)))


def late_jobs_by_phase(accounts: Iterable[JobAccount]) -> dict[float, dict[Cause, int]]:
    """Count late jobs by main cause, for each interval of ``PHASE_SECONDS`` of their acceptance.

    The keys are the starts of the intervals in seconds since the first log line.
    """
    phases: dict[float, dict[Cause, int]] = defaultdict(lambda: defaultdict(int))
    for account in accounts:
        if account.late:
            phase = account.accepted_at // PHASE_SECONDS * PHASE_SECONDS
            phases[phase][account.main_cause] += 1
    return {phase: dict(phases[phase]) for phase in sorted(phases)}


def _lines_with_time(lines: Iterable[str]) -> Iterator[tuple[datetime, _Line]]:
    for line in decode_log_lines(lines, _Line):
        try:
            yield datetime.fromisoformat(line.time), line
        except ValueError:
            # A line of another program, which has no information on jobs.
            continue


def _collect(records: Iterable[tuple[float, _Line]]) -> dict[str, _Job]:
    jobs: dict[str, _Job] = {}
    for at, line in records:
        if line.message == "job accepted":
            jobs.setdefault(line.job, _Job(line.queue, at, work=line.work, node=line.node))
            continue
        job = jobs.get(line.job or job_of_task(line.task))
        if job is None:
            continue
        if line.message == "task sent":
            job.runs[line.task][line.attempt] = _Run(at, line.waited_for)
        elif line.message == "run ended":
            run = job.runs.get(line.task, {}).get(line.attempt)
            if run is not None and run.ended_at is None:
                run.ended_at, run.reason, run.lowest_pace = at, line.reason, line.lowest_pace
        elif line.message == "job over":
            job.finished_at, job.state = at, line.state
            job.allowed_seconds = line.allowed_ms / 1000
    return jobs


def _intervals_without_owner(records: Iterable[tuple[float, _Line]]) -> list[tuple[float, float]]:
    """Return the intervals in which a service had no owner that made decisions.

    An interval lasts from the last logged decision before a takeover until the new owner logs that
    it has read the state and taken ownership.
    """
    gaps: list[tuple[float, float]] = []
    decided_at = 0.0
    for at, line in records:
        if line.message in ("task sent", "run ended", "job over"):
            decided_at = at
        elif line.message == "took ownership":
            gaps.append((decided_at, at))
    return gaps


def _is_long_running(job: _Job) -> bool:
    """Whether the job's tasks run until it is cancelled, so that none ends with reason ``done``."""
    runs = [run for by_attempt in job.runs.values() for run in by_attempt.values()]
    cancelled = job.state == "cancelled"
    unended = job.finished_at is None and bool(runs)
    return (cancelled or unended) and not any(run.reason == "done" for run in runs)


def _account(
    name: str, job: _Job, gaps: list[tuple[float, float]], log_end: float, failure_domain: str
) -> JobAccount:
    until = job.finished_at if job.finished_at is not None else log_end
    seconds: dict[Cause, float] = defaultdict(float)
    for start, stop, cause in _segments(job, until):
        without_owner = 0.0
        if cause not in (Cause.RAN, Cause.PACED, Cause.STORED):
            without_owner = sum(
                max(0.0, min(stop, gap_stop) - max(start, gap_start))
                for gap_start, gap_stop in gaps
            )
        if without_owner:
            seconds[Cause.NO_OWNER] += without_owner
        seconds[cause] += stop - start - without_owner
    allowed = job.allowed_seconds if job.finished_at is not None else None
    return JobAccount(
        name,
        job.queue,
        job.accepted_at,
        job.state,
        until - job.accepted_at,
        allowed,
        dict(seconds),
        job.work,
        failure_domain,
    )


def _segments(job: _Job, until: float) -> Iterator[tuple[float, float, Cause]]:
    """Yield the begin, end and cause of each interval from the job's acceptance to ``until``."""
    cursor = job.accepted_at
    for runs in _critical_tasks(job):
        for run in runs:
            if run.sent_at > cursor:
                yield cursor, run.sent_at, _wait_cause(run)
            ended = run.ended_at if run.ended_at is not None else until
            if ended > max(cursor, run.sent_at):
                yield max(cursor, run.sent_at), ended, _run_cause(run)
            cursor = max(cursor, ended)
    if cursor < until:
        yield cursor, until, Cause.STORED if job.finished_at is not None else Cause.NEVER_PLACED


def _critical_tasks(job: _Job) -> Iterator[list[_Run]]:
    """Yield the runs of the task that ended last in each step, in the order of the steps' ends."""
    steps: dict[str, list[list[_Run]]] = defaultdict(list)
    for task, by_attempt in job.runs.items():
        runs = [by_attempt[attempt] for attempt in sorted(by_attempt)]
        steps[task.rpartition(".")[0]].append(runs)
    slowest = [max(tasks, key=_ended_at) for tasks in steps.values()]
    yield from sorted(slowest, key=_ended_at)


def _ended_at(runs: list[_Run]) -> float:
    last = runs[-1].ended_at
    return last if last is not None else float("inf")


def _wait_cause(run: _Run) -> Cause:
    try:
        return Cause(run.waited_for)
    except ValueError:
        return Cause.WAITED


def _run_cause(run: _Run) -> Cause:
    if run.ended_at is not None and run.reason != "done":
        return Cause.REPEATED
    return Cause.RAN if run.lowest_pace >= 100 else Cause.PACED


def late_seconds_by_cause(accounts: Iterable[JobAccount]) -> dict[str, dict[Cause, float]]:
    """Sum the seconds of late jobs by queue and cause."""
    sums: dict[str, dict[Cause, float]] = defaultdict(lambda: defaultdict(float))
    for account in accounts:
        if account.late:
            for cause, seconds in account.seconds.items():
                sums[account.queue][cause] += seconds
    return {queue: dict(causes) for queue, causes in sums.items()}

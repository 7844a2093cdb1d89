"""The planner's HTTP endpoint for operators.

``POST /v1/jobs`` submits a job, ``GET /v1/jobs`` lists jobs, ``GET /v1/jobs/JOB`` returns a job's
status, ``POST /v1/jobs/JOB/cancel`` cancels a job, ``GET /v1/tasks/JOB/INDEX`` explains a task and
``POST /v1/tasks/JOB/INDEX/cancel`` cancels a task. ``/healthz``, ``/readyz`` and ``/metrics``
describe the process. A planner that does not own a job's partition redirects to the owner.
"""

from __future__ import annotations

import re
import time
from collections.abc import Awaitable, Mapping
from typing import TypeVar

import trio
import xxhash

from .._decoding import MAX_INTEGER, MAX_NAME_LENGTH, decode_json
from .._errors import FireflyforkError, InvalidDataError
from .._ids import JobId, PartitionId
from ..adapters import Exchange, HttpError, HttpHandler, collect
from ..decisions import Job, Partition, Refusal, Submission, TaskShape
from ._batch_messages import (
    BatchProblem,
    JobRequest,
    PartitionMetrics,
    PlannerMetrics,
)
from ._batch_views import explain_task, job_status
from ._metrics import METRICS_TEXT
from ._partition_plan import NotReadyError, OutcomeUnknownError
from ._planner_metrics import prometheus_text
from ._planner_partition import PartitionRunner
from ._planner_rights import PartitionRights

_MAX_REQUEST_BYTES = 65_536
_COMMIT_TIMEOUT_SECONDS = 10.0
"""How long a request waits for the store before it is answered with an unknown outcome."""
_RETRY_AFTER = (b"retry-after", b"2")
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_MAX_RUN_SECONDS = 30 * 86_400.0


Outcome = TypeVar("Outcome")


class _ProblemError(FireflyforkError):
    """Ends a request with an HTTP error status and a BatchProblem."""

    def __init__(self, status: int, error: str, accepted: str = "no") -> None:
        super().__init__(error)
        self.status = status
        self.problem = BatchProblem(error, accepted)


class _RedirectError(FireflyforkError):
    """Ends a request with a redirect to the planner that owns the job's partition."""

    def __init__(self, location: str) -> None:
        super().__init__(location)
        self.location = location


class PlannerEndpoint(HttpHandler):
    """Serves the operators' requests."""

    def __init__(
        self, runners: Mapping[PartitionId, PartitionRunner], rights: PartitionRights
    ) -> None:
        """``runners`` holds every partition, owned or not.

        All planners must use the same partitions, since jobs are assigned by hash. All runners of a
        planner share one Metrics object.
        """
        self._runners = runners
        self._partitions = tuple(sorted(runners))
        self._rights = rights

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        try:
            await self._route(exchange)
        except _ProblemError as answer:
            headers = (_RETRY_AFTER,) if answer.status == 503 else ()
            await exchange.answer_json(answer.status, answer.problem, headers)
        except _RedirectError as redirect:
            location = (b"location", redirect.location.encode("latin-1"))
            problem = BatchProblem("another planner owns this job's partition")
            await exchange.answer_json(307, problem, (location,))

    async def _route(self, exchange: Exchange) -> None:
        path = exchange.head.target.partition("?")[0]
        match (exchange.head.method, path.strip("/").split("/")):
            case "GET", ["healthz"]:
                await exchange.answer_json(200, {"alive": True})
            case "GET", ["readyz"]:
                await self._answer_readiness(exchange)
            case "GET", ["metrics"]:
                text = (
                    prometheus_text(self._metrics())
                    + self._runners[self._partitions[0]].metrics.text()
                )
                await exchange.answer(200, text.encode("utf-8"), (METRICS_TEXT,))
            case "GET", ["v1", "metrics"]:
                await exchange.answer_json(200, self._metrics())
            case "POST", ["v1", "jobs"]:
                await self._submit(exchange)
            case "GET", ["v1", "jobs"]:
                await self._answer_job_list(exchange)
            case "GET", ["v1", "jobs", job]:
                await self._answer_status(exchange, job)
            case "POST", ["v1", "jobs", job, "cancel"]:
                await self._cancel(exchange, job, None)
            case "GET", ["v1", "tasks", job, index]:
                await self._explain(exchange, job, _parse_task_index(index))
            case "POST", ["v1", "tasks", job, index, "cancel"]:
                await self._cancel(exchange, job, _parse_task_index(index))
            case _:
                raise _ProblemError(404, f"there is no {exchange.head.method} {path}")

    async def _answer_readiness(self, exchange: Exchange) -> None:
        owned = self._rights.owned()
        ownerless = {name for name in self._partitions if not self._has_owner(name)}
        unready = {name for name in owned if not self._runners[name].is_ready}
        waiting = ownerless | unready
        status = 503 if waiting else 200
        await exchange.answer_json(status, {"ready": not waiting, "waiting_for": sorted(waiting)})

    async def _submit(self, exchange: Exchange) -> None:
        request = await _read_job(exchange)
        runner = self._owned_runner(request.job_id, exchange)
        submission = Submission(request.job_id, _task_shape(request), request.tasks)
        refusal = await _wait_for_commit(runner.submit(submission))
        if isinstance(refusal, Refusal):
            raise _ProblemError(409 if refusal.permanent else 503, refusal.reason)
        await self._answer_status(exchange, request.job_id)

    async def _cancel(self, exchange: Exchange, job_id: str, index: int | None) -> None:
        runner = self._owned_runner(JobId(job_id), exchange)
        if not await _wait_for_commit(runner.cancel(JobId(job_id), index)):
            raise _unknown_job(job_id)
        await self._answer_status(exchange, job_id)

    async def _answer_status(self, exchange: Exchange, job_id: str) -> None:
        state, job = self._find_job(JobId(job_id), exchange)
        await exchange.answer_json(200, job_status(state, job))

    async def _explain(self, exchange: Exchange, job_id: str, index: int) -> None:
        state, job = self._find_job(JobId(job_id), exchange)
        explanation = explain_task(state, job, index, time.time())
        if explanation is None:
            raise _ProblemError(404, f"job {job_id} has tasks 0 to {job.task_count - 1}")
        await exchange.answer_json(200, explanation)

    async def _answer_job_list(self, exchange: Exchange) -> None:
        statuses = [
            job_status(runner.state, job)
            for runner in self._runners.values()
            if runner.state is not None
            for job in runner.state.table.jobs.values()
        ]
        await exchange.answer_json(200, statuses)

    def _find_job(self, job_id: JobId, exchange: Exchange) -> tuple[Partition, Job]:
        state = self._owned_runner(job_id, exchange).state
        if state is None:
            raise _ProblemError(503, "the partition is being taken over")
        job = state.table.jobs.get(job_id)
        if job is None:
            raise _unknown_job(job_id)
        return state, job

    def _owned_runner(self, job_id: JobId, exchange: Exchange) -> PartitionRunner:
        position = xxhash.xxh64_intdigest(job_id.encode()) % len(self._partitions)
        partition = self._partitions[position]
        if partition in self._rights.owned():
            return self._runners[partition]
        address = self._rights.owner_address(partition)
        if address is None:
            raise _ProblemError(503, "the partition has no owner at present")
        raise _RedirectError(f"http://{address}{exchange.head.target}")

    def _has_owner(self, partition: PartitionId) -> bool:
        return partition in self._rights.owned() or bool(self._rights.owner_address(partition))

    def _metrics(self) -> PlannerMetrics:
        partitions = tuple(
            _partition_metrics(name, runner) for name, runner in self._runners.items()
        )
        return PlannerMetrics(self._rights.member, partitions)


async def _wait_for_commit(call: Awaitable[Outcome]) -> Outcome:
    """Wait for a change to be stored and return its outcome.

    Raises _ProblemError that states whether the change may still be stored.
    """
    try:
        with trio.fail_after(_COMMIT_TIMEOUT_SECONDS):
            return await call
    except NotReadyError as error:
        raise _ProblemError(503, str(error)) from error
    except OutcomeUnknownError as error:
        raise _ProblemError(503, str(error), "unknown") from error
    except trio.TooSlowError as error:
        problem = "the store does not answer; the change is stored as soon as it does"
        raise _ProblemError(503, problem, "unknown") from error


async def _read_job(exchange: Exchange) -> JobRequest:
    try:
        body = await collect(exchange.body(), _MAX_REQUEST_BYTES)
    except HttpError as error:
        raise _ProblemError(413, str(error)) from error
    try:
        request = decode_json(body, JobRequest)
    except InvalidDataError as error:
        raise _ProblemError(400, str(error)) from error
    problem = _validation_problem(request)
    if problem:
        raise _ProblemError(400, problem)
    return request


def _validation_problem(request: JobRequest) -> str:
    for name, value in (("job_id", request.job_id), ("task_class", request.task_class)):
        if not _ID.fullmatch(value):
            return f"{name} {value!r} must match {_ID.pattern}"
    if not 0 < request.run_seconds <= _MAX_RUN_SECONDS:
        return f"run_seconds must be above 0 and at most {_MAX_RUN_SECONDS:.0f}"
    size = request.resources
    if min(size.millicores, size.memory, size.accelerators) < 0 or size.millicores == 0:
        return "resources must not be negative, and a task needs processor time"
    if max(size.millicores, size.memory, size.accelerators) > MAX_INTEGER:
        return f"resources must be at most {MAX_INTEGER}"
    if len(request.team) > MAX_NAME_LENGTH:
        return f"the team's name must have at most {MAX_NAME_LENGTH} characters"
    return ""


def _task_shape(request: JobRequest) -> TaskShape:
    return TaskShape(
        request.team,
        request.task_class,
        request.resources,
        request.run_seconds,
        request.urgent,
        tolerance=request.tolerance,
    )


def _parse_task_index(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _ProblemError(400, f"{text!r} is not the number of a task")
    return int(text)


def _unknown_job(job_id: str) -> _ProblemError:
    return _ProblemError(404, f"there is no job {job_id}, or it ended long ago")


def _partition_metrics(name: PartitionId, runner: PartitionRunner) -> PartitionMetrics:
    state = runner.state
    counts = runner.journal.counts
    if state is None:
        return PartitionMetrics(name, owned=False)
    table = state.table
    holding = sum(map(len, table.on_worker.values()))
    return PartitionMetrics(
        name,
        True,
        len(table.tasks),
        holding,
        len(table.tasks) - holding,
        counts.commits,
        counts.changes,
        counts.segment_bytes,
        counts.snapshots,
        counts.snapshot_bytes,
        state.dropped_commands,
    )

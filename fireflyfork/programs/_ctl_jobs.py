"""The commands on batch jobs: submit, cancel and explain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Literal, TypeVar

import trio

from .._contracts import Tolerance
from .._ids import JobId, TeamName
from .._links import Address
from .._machines import Resources
from ..operations import ByteCount, Cores, Duration
from ._batch_client import BatchCallError, BatchClient
from ._batch_messages import JobRequest, JobStatus, TaskExplanation
from ._ctl_addresses import planner_addresses
from ._ctl_output import CommandError, ExitCode, Output, format_table, run_and_report

_POLL_SECONDS = 1.0
_REFUSED_STATUSES = frozenset({400, 409, 413})
_NOT_FOUND_STATUS = 404
_TRANSIENT_STATUSES = frozenset({None, 503})
"""No answer, or a partition that is being taken over. Both are expected to pass."""

T = TypeVar("T")


def submit(
    job: str,
    *,
    team: str,
    run_time: Duration,
    cores: Cores,
    memory: ByteCount,
    accelerators: int = 0,
    tasks: int = 1,
    task_class: str = "",
    urgent: bool = False,
    tolerance: Literal["none", "throttle", "evict"] = "evict",
    planners: list[Address] | None = None,
    wait: float = 0.0,
    json: bool = False,
) -> ExitCode:
    """Submit a batch job and return once it is stored.

    Submitting a job again under the same id has no effect, so an unanswered submission can be
    repeated. Exit status: 0 stored (with ``--wait``: finished), 8 refused with a reason, 5 no
    planner answered and nothing was stored, 6 the job may have been stored.

    Examples::

        fireflyfork-ctl submit letters-2026-12-02 --team letters --tasks 200 --cores 2cores --memory 4GB --run-time 30s --planners 10.0.0.7:8010
        fireflyfork-ctl submit audit --team rates --urgent --cores 1core --memory 1GB --run-time 5min --wait 600

    :param job: the job's id, which you choose
    :param team: the team whose quota the job uses
    :param run_time: how long one task takes, such as 30s
    :param cores: processors of one task, such as 2cores; an estimate
    :param memory: memory of one task, such as 4GB; an estimate
    :param accelerators: accelerators of one task
    :param tasks: number of tasks
    :param task_class: class of similar tasks, whose actual sizes are learned together; default: the team's name
    :param urgent: start the job before other work
    :param tolerance: what the system may do to a task that disturbs a service
    :param planners: addresses of planners; default: the variable FIREFLYFORK_PLANNERS
    :param wait: seconds to wait for the job to end; progress goes to standard error
    :param json: print the job's state as JSON
    """
    output = Output(json)
    request = JobRequest(
        job_id=JobId(job),
        team=TeamName(team),
        task_class=task_class or team,
        resources=Resources(cores.millicores, memory.rounded_amount, accelerators),
        run_seconds=run_time.seconds,
        tasks=tasks,
        urgent=urgent,
        tolerance=Tolerance(tolerance),
    )

    def command() -> ExitCode:
        client = BatchClient(planner_addresses(planners))
        call_planner(lambda: client.submit(request))
        status = call_planner(lambda: wait_for_job(client, JobId(job), wait, output))
        output.result(status, job_lines((status,)))
        return job_exit_code(status) if wait else ExitCode.DONE

    return run_and_report(output, command)


def cancel(
    job: str,
    *,
    task: int | None = None,
    planners: list[Address] | None = None,
    json: bool = False,
) -> ExitCode:
    """Cancel a job, or one of its tasks, and return once this is stored.

    Running tasks are stopped; finished tasks stay finished. It is safe to repeat the command.

    Examples::

        fireflyfork-ctl cancel letters-2026-12-02
        fireflyfork-ctl cancel letters-2026-12-02 --task 17

    :param job: the job's id
    :param task: the number of one task, from 0
    :param planners: addresses of planners; default: the variable FIREFLYFORK_PLANNERS
    :param json: print the job's state as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        client = BatchClient(planner_addresses(planners))
        status = call_planner(lambda: client.cancel(JobId(job), task))
        output.result(status, job_lines((status,)))
        return ExitCode.DONE

    return run_and_report(output, command)


def explain(
    job: str, task: int = 0, *, planners: list[Address] | None = None, json: bool = False
) -> ExitCode:
    """Show what a task is doing and why.

    Examples::

        fireflyfork-ctl explain letters-2026-12-02 17

    :param job: the job's id
    :param task: the number of the task, from 0
    :param planners: addresses of planners; default: the variable FIREFLYFORK_PLANNERS
    :param json: print the explanation as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        client = BatchClient(planner_addresses(planners))
        explanation = call_planner(lambda: client.explain(JobId(job), task))
        output.result(explanation, _explanation_lines(explanation))
        return ExitCode.DONE

    return run_and_report(output, command)


def job_lines(statuses: tuple[JobStatus, ...]) -> list[str]:
    """Format jobs as a table, followed by the reasons of permanent failures."""
    if not statuses:
        return ["no jobs"]
    rows = ((each.job_id, each.state, each.tasks, _counts(each)) for each in statuses)
    lines = format_table(("job", "state", "tasks", "of them"), rows)
    for each in statuses:
        lines += [f"  task {failure.task_id}: {failure.reason}" for failure in each.failures]
    return lines


async def wait_for_job(client: BatchClient, job: JobId, wait: float, output: Output) -> JobStatus:
    """Poll a job until it has ended or ``wait`` seconds have passed. Raises BatchCallError.

    While the wait lasts, a planner that is restarting is polled again.
    """
    deadline = trio.current_time() + wait
    while True:
        timed_out = trio.current_time() >= deadline
        try:
            status = await client.status(job)
            if status.state != "open" or timed_out:
                return status
            output.progress(f"{job}: {_counts(status)}")
        except BatchCallError as error:
            if timed_out or error.status not in _TRANSIENT_STATUSES:
                raise
            output.progress(f"{job}: no answer from a planner: {error}")
        await trio.sleep(_POLL_SECONDS)


def call_planner(call: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous call to the planners. Raises CommandError in place of BatchCallError."""

    async def main() -> T:
        return await call()

    try:
        return trio.run(main)
    except BatchCallError as error:
        raise _command_error(error) from error


def _command_error(error: BatchCallError) -> CommandError:
    if error.problem.accepted == "unknown":
        hint = "repeat the command: a job id is never accepted twice"
        return CommandError(ExitCode.UNKNOWN, f"it may have been stored: {error}", hint)
    if error.status == _NOT_FOUND_STATUS:
        return CommandError(ExitCode.NOT_FOUND, str(error))
    if error.status in _REFUSED_STATUSES:
        return CommandError(ExitCode.REFUSED, f"refused, nothing was stored: {error}")
    hint = "running tasks are not affected; try again, or name other planners"
    return CommandError(ExitCode.UNAVAILABLE, f"nothing was changed: {error}", hint)


def job_exit_code(status: JobStatus) -> ExitCode:
    """Return the exit code for a job that was waited for."""
    return ExitCode.DONE if status.state == "finished" else ExitCode.FAILED


def _counts(status: JobStatus) -> str:
    return ", ".join(f"{count} {state}" for state, count in status.states.items())


def _explanation_lines(explanation: TaskExplanation) -> list[str]:
    lines = [f"{explanation.task_id}: {explanation.state}", f"  {explanation.words}"]
    if explanation.worker_id is not None:
        lines.append(
            f"  attempt {explanation.attempt} at worker {explanation.worker_id}, "
            f"{explanation.progress:.0%} done"
        )
    if explanation.evictions:
        lines.append(f"  evicted {explanation.evictions} times")
    if explanation.failed_on:
        lines.append(f"  failed on {', '.join(explanation.failed_on)}")
    if explanation.reason:
        lines.append(f"  {explanation.reason}")
    return lines

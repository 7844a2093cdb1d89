"""The command ``status``: shows a job, or all entries, schedulers and jobs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import trio

from .._ids import JobId
from .._links import Address
from ..operations import read_samples
from ._batch_client import BatchCallError, BatchClient
from ._batch_messages import JobStatus
from ._ctl_addresses import entry_addresses, planner_addresses, scheduler_addresses
from ._ctl_entries import entry_lines, has_version, metrics_page, reports_once_in_force
from ._ctl_jobs import call_planner, job_exit_code, job_lines, wait_for_job
from ._ctl_output import CommandError, ExitCode, Output, format_table, run_and_report
from ._scheduler_metrics import EXECUTORS_WITHOUT_REGISTRATION
from .containment._unexpected_errors import INTERNAL_ERRORS

_REQUESTS = "requests"
"""The part of errors in the handling of callers' requests, which are counted without one."""


@dataclass(frozen=True, slots=True)
class PlannerView:
    """The jobs that a planner reports, or why it did not answer."""

    planner: str
    jobs: tuple[JobStatus, ...]
    problem: str = ""
    """The error of the call, or an empty string if the planner answered."""


@dataclass(frozen=True, slots=True)
class SchedulerReport:
    """What keeps a scheduler from its work, or why it did not answer."""

    address: str
    errors: Mapping[str, int] = field(default_factory=dict)
    """By part of the program: the errors since its process started."""
    executors_without_registration: int = 0
    """The executors of its services that answer but get no runs."""
    problem: str = ""


def status(
    job: str | None = None,
    *,
    entries: list[Address] | None = None,
    planners: list[Address] | None = None,
    schedulers: list[Address] | None = None,
    version: int = 0,
    wait: float = 0.0,
    json: bool = False,
) -> ExitCode:
    """Show the status of a job, or of all entries, schedulers and jobs.

    ``--wait`` waits until the job has ended, or until every entry has the configuration
    ``--version`` in force. Of schedulers, the internal errors since their start are shown, each of which
    has a line in the log with its trace, and the executors that answer but get no runs because their
    registration is missing. Exit status: 0 success, 1 the job failed or the wait
    timed out, 5 nobody answered, 7 no such job.

    Examples::

        fireflyfork-ctl status --entries 10.0.0.7:8003 10.0.0.8:8003 --planners 10.0.0.7:8010
        fireflyfork-ctl status --entries 10.0.0.7:8003 10.0.0.8:8003 --version 4 --wait 10
        fireflyfork-ctl status --schedulers 10.0.0.7:7720
        fireflyfork-ctl status letters-2026-12-02 --wait 600

    :param job: the job's id
    :param entries: operator addresses of entries; default: the variable FIREFLYFORK_ENTRIES
    :param planners: addresses of planners; default: the variable FIREFLYFORK_PLANNERS
    :param schedulers: metrics addresses of schedulers; default: the variable FIREFLYFORK_SCHEDULERS
    :param version: a version of the configuration that every entry should have in force
    :param wait: seconds to wait; progress goes to standard error
    :param json: print the states as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        if job is not None:
            return _show_job(JobId(job), planners, wait, output)
        return _show_all(entries, planners, schedulers, version, wait, output)

    return run_and_report(output, command)


def _show_job(job: JobId, planners: list[Address] | None, wait: float, output: Output) -> ExitCode:
    client = BatchClient(planner_addresses(planners))
    status = call_planner(lambda: wait_for_job(client, job, wait, output))
    output.result(status, job_lines((status,)))
    return job_exit_code(status) if wait else ExitCode.DONE


def _show_all(
    entries: list[Address] | None,
    planners: list[Address] | None,
    schedulers: list[Address] | None,
    version: int,
    wait: float,
    output: Output,
) -> ExitCode:
    named_entries = entry_addresses(entries, required=False)
    named_planners = planner_addresses(planners, required=False)
    named_schedulers = scheduler_addresses(schedulers)
    if not named_entries and not named_planners and not named_schedulers:
        entry_addresses(None)
    reports = trio.run(reports_once_in_force, named_entries, version, wait, output)
    views = trio.run(_planner_views, named_planners)
    scheduler_reports = trio.run(_scheduler_reports, named_schedulers)
    lines = [
        *(entry_lines(reports) if reports else []),
        *(scheduler_lines(scheduler_reports) if scheduler_reports else []),
        *_planner_lines(views),
    ]
    result = {
        "entries": reports,
        "planners": views,
        "schedulers": scheduler_reports,
        "jobs": _unique_jobs(views),
    }
    output.result(result, lines)
    answered = [report.status is not None for report in reports]
    answered += [not view.problem for view in views]
    answered += [not report.problem for report in scheduler_reports]
    if not any(answered):
        raise CommandError(ExitCode.UNAVAILABLE, "nobody answered")
    return ExitCode.DONE if has_version(reports, version) else ExitCode.FAILED


async def _planner_views(planners: tuple[Address, ...]) -> tuple[PlannerView, ...]:
    return tuple([await _planner_view(planner) for planner in planners])


async def _scheduler_reports(schedulers: tuple[Address, ...]) -> tuple[SchedulerReport, ...]:
    return tuple([await scheduler_report(scheduler) for scheduler in schedulers])


async def scheduler_report(address: Address) -> SchedulerReport:
    """Read the metrics of a scheduler, or report why it did not answer."""
    try:
        page = await metrics_page(address)
    except CommandError as error:
        return SchedulerReport(str(address), problem=f"no answer: {error.__cause__}")
    samples = tuple(read_samples(page))
    errors = {
        sample.labels.get("part", _REQUESTS): int(sample.value)
        for sample in samples
        if sample.name == INTERNAL_ERRORS
    }
    unregistered = sum(
        int(sample.value) for sample in samples if sample.name == EXECUTORS_WITHOUT_REGISTRATION
    )
    return SchedulerReport(str(address), errors, unregistered)


def scheduler_lines(reports: tuple[SchedulerReport, ...]) -> list[str]:
    """Format the schedulers as a table, and a line for each one that can't use executors."""
    table = format_table(
        ("scheduler", "internal errors"),
        ((report.address, report.problem or _error_counts(report.errors)) for report in reports),
    )
    unused = (
        f"scheduler {report.address}: {report.executors_without_registration} executors answer but"
        " get no runs, as the store has no usable registration of them"
        for report in reports
        if report.executors_without_registration
    )
    return [*table, *unused]


def _error_counts(errors: Mapping[str, int]) -> str:
    return ", ".join(f"{part} {n}" for part, n in sorted(errors.items())) or "none"


async def _planner_view(planner: Address) -> PlannerView:
    try:
        return PlannerView(str(planner), await BatchClient((planner,)).jobs())
    except BatchCallError as error:
        return PlannerView(str(planner), (), str(error))


def _unique_jobs(views: tuple[PlannerView, ...]) -> tuple[JobStatus, ...]:
    """Return the jobs that the planners report, each once, latest first."""
    statuses_by_id = {status.job_id: status for view in reversed(views) for status in view.jobs}
    return tuple(sorted(statuses_by_id.values(), key=lambda each: -each.submitted))


def _planner_lines(views: tuple[PlannerView, ...]) -> list[str]:
    if not views:
        return []
    problems = [f"planner {view.planner}: {view.problem}" for view in views if view.problem]
    return ["", *problems, *job_lines(_unique_jobs(views))]

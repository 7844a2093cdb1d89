"""The command ``account``: the causes of late jobs, and how the schedulers spend their time."""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain, islice
from pathlib import Path

from ..operations import (
    AdviceAccount,
    Cause,
    JobAccount,
    JobAccounts,
    LoopAccount,
    OutcomeRow,
    account_advice,
    account_jobs,
    account_loops,
    late_jobs_by_phase,
    late_seconds_by_cause,
    outcomes_by_failure_domain,
    outcomes_by_size,
    summarize,
)
from ._ctl_output import CommandError, ExitCode, Output, format_table, run_and_report
from ._ctl_trace import read_lines

INSTANCES_SHOWN = 10


def account(
    *files: Path,
    json: bool = False,
    plot: Path | None = None,
    loops: bool = False,
    advice: bool = False,
) -> ExitCode:
    """Show why jobs were late, from the logs of the scheduler's processes.

    A job is late if it took longer than its objective allows or never ended. The time of each late job is
    split by cause: what its slowest tasks waited for, repeated runs, and runs at a lower pace. Exit status:
    7 when the logs contain no job.

    Examples::

        fireflyfork-ctl account logs/
        cat scheduler-*.log | fireflyfork-ctl account --plot causes.png
        fireflyfork-ctl account --loops logs/
        fireflyfork-ctl account --advice logs/

    :param files: files of log lines, or directories of them; standard input when none is given
    :param json: print the account of each late job as JSON
    :param loops: show instead how the instances spent processor time, calls to the store and network traffic
    :param advice: show instead the calls to the advisor, and how long steps had to wait for it
    :param plot: write a chart of late jobs by phase and cause to this file; needs matplotlib
    """
    output = Output(json)
    lines = chain.from_iterable(map(read_lines, files)) if files else sys.stdin
    if loops:
        return run_and_report(output, lambda: _show_loops(lines, output))
    if advice:
        return run_and_report(output, lambda: _show_advice(lines, output))
    return run_and_report(output, lambda: _show_jobs(lines, output, plot))


def _show_jobs(lines: Iterable[str], output: Output, plot: Path | None) -> ExitCode:
    accounts = account_jobs(lines)
    if not accounts.jobs:
        raise CommandError(
            ExitCode.NOT_FOUND,
            "no accepted job is in these logs",
            "give the logs of all instances: each logs the jobs that it accepted",
        )
    late = [job for job in accounts.jobs if job.late]
    output.result(late, _job_report(accounts, late))
    if plot is not None:
        _draw(accounts.jobs, plot)
    return ExitCode.DONE


def _show_loops(lines: Iterable[str], output: Output) -> ExitCode:
    accounts = account_loops(lines)
    if not accounts:
        raise CommandError(
            ExitCode.NOT_FOUND,
            "no instance's loop time is in these logs",
            "each instance logs it every ten seconds",
        )
    output.result(accounts, _loop_report(accounts))
    return ExitCode.DONE


def _show_advice(lines: Iterable[str], output: Output) -> ExitCode:
    accounts = account_advice(lines)
    if not accounts:
        raise CommandError(
            ExitCode.NOT_FOUND,
            "no call to the advisor is in these logs",
            "the owner of a service logs each call if a queue needs advice",
        )
    output.result(accounts, _advice_report(accounts))
    return ExitCode.DONE


def _advice_report(accounts: Mapping[str, AdviceAccount]) -> Iterator[str]:
    calls = [
        (service, outcome, number)
        for service, advice_account in accounts.items()
        for outcome, number in advice_account.outcomes.most_common()
    ]
    yield from format_table(("service", "calls that were", "number"), calls)
    yield ""
    waits = [
        (
            service,
            f"{advice_account.median_seconds:.3f}",
            f"{advice_account.median_cost_seconds:.3f}",
            advice_account.most_open_calls,
            advice_account.most_waiting_steps,
            f"{advice_account.longest_backlog_seconds:.1f}",
        )
        for service, advice_account in accounts.items()
    ]
    headings = ("service", "median s", "configured s", "most open", "most waiting", "backlog s")
    yield from format_table(headings, waits)


def _job_report(accounts: JobAccounts, late: list[JobAccount]) -> Iterator[str]:
    yield f"{len(late)} of {len(accounts.jobs)} jobs were late or never ended"
    if accounts.share < 1:
        yield f"an owner was busy: this is a sample of {accounts.share:.1%} of all jobs"
    yield ""
    yield from _outcome_table("size", outcomes_by_size(accounts.jobs))
    yield ""
    yield from _outcome_table("accepted in", outcomes_by_failure_domain(accounts.jobs))
    if not late:
        return
    yield ""
    rows = [(row.queue, row.cause.value, row.jobs, f"{row.seconds:.1f}") for row in summarize(late)]
    yield from format_table(("queue", "main cause", "late jobs", "seconds of it"), rows)
    yield ""
    sums = [
        (queue, cause.value, f"{seconds:.1f}")
        for queue, causes in sorted(late_seconds_by_cause(late).items())
        for cause, seconds in sorted(causes.items(), key=lambda item: -item[1])
    ]
    yield from format_table(("queue", "time of late jobs", "seconds"), sums)


def _outcome_table(group: str, outcomes: Iterable[OutcomeRow]) -> Iterator[str]:
    rows = [
        (row.queue, row.group, row.jobs, row.in_time, row.late, row.not_completed)
        for row in outcomes
    ]
    headings = ("queue", group, "jobs", "in time", "late", "not completed")
    yield from format_table(headings, rows)


def _loop_report(accounts: dict[str, LoopAccount]) -> Iterator[str]:
    instances = [
        (
            name,
            f"{loop_account.share:.2f}",
            loop_account.store_calls.total(),
            _kilobytes(loop_account.store_received.total()),
            _kilobytes(loop_account.store_sent.total()),
            loop_account.worst_lag_ms,
        )
        for name, loop_account in islice(accounts.items(), INSTANCES_SHOWN)
    ]
    yield from format_table(
        ("instance", "processors", "store calls", "KB received", "KB sent", "worst lag ms"),
        instances,
    )
    busiest, *others = accounts.values()
    yield ""
    yield from format_table(("the busiest: activity", "processors"), _share_rows(busiest.shares))
    shares: dict[str, float] = defaultdict(float)
    for loop_account in others:
        for activity, share in loop_account.shares.items():
            shares[activity] += share
    yield ""
    yield from format_table(("all others: activity", "processors"), _share_rows(shares))
    yield ""
    yield from format_table(
        ("store calls", "number", "KB received", "KB sent"), _store_rows(accounts)
    )
    yield ""
    yield from format_table(("relays in", "KB received", "KB sent"), _relay_rows(accounts))


def _store_rows(accounts: Mapping[str, LoopAccount]) -> Iterator[tuple[str, int, str, str]]:
    calls: Counter[str] = Counter()
    received: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for loop_account in accounts.values():
        calls.update(loop_account.store_calls)
        received.update(loop_account.store_received)
        sent.update(loop_account.store_sent)
    for purpose, number in calls.most_common():
        yield purpose, number, _kilobytes(received[purpose]), _kilobytes(sent[purpose])


def _relay_rows(accounts: Mapping[str, LoopAccount]) -> Iterator[tuple[str, str, str]]:
    received: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for loop_account in accounts.values():
        received.update(loop_account.relay_received)
        sent.update(loop_account.relay_sent)
    for domain in sorted(received.keys() | sent.keys()):
        yield domain, _kilobytes(received[domain]), _kilobytes(sent[domain])


def _kilobytes(size: int) -> str:
    return f"{size / 1000:.1f}"


def _share_rows(shares: Mapping[str, float]) -> list[tuple[str, str]]:
    ordered = sorted(shares.items(), key=lambda item: -item[1])
    return [(activity, f"{share:.3f}") for activity, share in ordered]


def _draw(accounts: tuple[JobAccount, ...], path: Path) -> None:
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise CommandError(
            ExitCode.USAGE, "plots need matplotlib", "pip install 'fireflyfork[plots]'"
        ) from error
    phases = late_jobs_by_phase(accounts)
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.subplots()
    below = [0] * len(phases)
    for cause in Cause:
        heights = [counts.get(cause, 0) for counts in phases.values()]
        if any(heights):
            axes.bar(
                list(phases), heights, bottom=below, width=4.5, align="edge", label=cause.value
            )
            below = [low + height for low, height in zip(below, heights, strict=True)]
    axes.set_xlabel("accepted at, seconds since the first line")
    axes.set_ylabel("late jobs")
    if phases:
        axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise CommandError(ExitCode.USAGE, f"{path} can't be written: {error}") from error

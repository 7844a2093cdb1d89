"""The commands ``drain`` and ``metrics``, and the status of entries."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
import trio

from .._decoding import decode_json
from .._errors import InvalidDataError
from .._links import Address
from ..adapters import HttpClient, HttpError
from ..operations import Sample, read_samples
from ._batch_client import BatchCallError, BatchClient
from ._batch_messages import PlannerMetrics
from ._ctl_addresses import entry_addresses, planner_addresses
from ._ctl_output import CommandError, ExitCode, Output, format_table, run_and_report
from ._entry_messages import EntryStatus

_TIMEOUT_SECONDS = 5.0
_POLL_SECONDS = 0.5
_DRAIN_OUTCOMES = {
    "draining": "draining; its process ends when nothing is in flight",
    "ended": "ended; nothing was in flight any more",
}

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class EntryReport:
    """The readiness and status of an entry, or why it did not answer."""

    address: str
    ready: bool
    status: EntryStatus | None = None
    problem: str = ""
    """Why the entry is not ready or did not answer; empty if it is ready."""


@dataclass(frozen=True, slots=True)
class _Readiness:
    ready: bool
    reason: str = ""


def drain(entry: Address, *, wait: float = 0.0, json: bool = False) -> ExitCode:
    """Take an entry out of service gracefully.

    The entry reports itself not ready to the balancer, finishes the requests in flight, hands over
    its targets to other entries and stops. Exit status: 0 the drain has begun (with ``--wait``: the
    process has ended), 1 the process has not ended in time, 5 the entry does not answer, 8 the entry
    refused.

    Examples::

        fireflyfork-ctl drain 10.0.0.7:8003 --wait 60

    :param entry: operator address of the entry
    :param wait: seconds to wait for the entry's process to end
    :param json: print the result as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        status, body = trio.run(_call, entry, "POST", "/drain")
        if status == 404:
            raise CommandError(
                ExitCode.REFUSED,
                f"the entry at {entry} can't be drained over its operator address",
                "send its process SIGTERM, which stops it in the same graceful way",
            )
        if status >= 300:
            text = body.decode("utf-8", "replace")
            raise CommandError(ExitCode.REFUSED, f"the entry at {entry} answered {status}: {text}")
        has_ended = wait > 0 and trio.run(_has_ended, entry, wait, output)
        outcome = "ended" if has_ended else "draining"
        plain = {"entry": str(entry), "outcome": outcome}
        output.result(plain, [f"{entry}: {_DRAIN_OUTCOMES[outcome]}"])
        return ExitCode.DONE if has_ended or not wait else ExitCode.FAILED

    return run_and_report(output, command)


def metrics(
    *,
    entries: list[Address] | None = None,
    planners: list[Address] | None = None,
    raw: bool = False,
    json: bool = False,
) -> ExitCode:
    """Show the metrics of entries and planners.

    Examples::

        fireflyfork-ctl metrics --entries 10.0.0.7:8003 10.0.0.8:8003
        fireflyfork-ctl metrics --entries 10.0.0.7:8003 --raw
        fireflyfork-ctl metrics --planners 10.0.0.7:8010 --json

    :param entries: operator addresses of entries; default: the variable FIREFLYFORK_ENTRIES
    :param planners: addresses of planners; default: the variable FIREFLYFORK_PLANNERS
    :param raw: print the entries' metrics unchanged, in the Prometheus text format
    :param json: print the values as JSON
    """
    output = Output(json)

    def command() -> ExitCode:
        named_entries = entry_addresses(entries, required=False)
        named_planners = planner_addresses(planners, required=False)
        if not named_entries and not named_planners:
            entry_addresses(None)
        pages = [(address, trio.run(metrics_page, address)) for address in named_entries]
        if raw:
            output.result({str(address): page for address, page in pages}, [p for _, p in pages])
            return ExitCode.DONE
        samples = {str(address): tuple(read_samples(page)) for address, page in pages}
        figures = [planner_metrics(address) for address in named_planners]
        lines = [
            line
            for address, entry_samples in samples.items()
            for line in _sample_lines(address, entry_samples)
        ]
        lines += [line for each in figures for line in _planner_lines(each)]
        output.result({"entries": samples, "planners": figures}, lines)
        return ExitCode.DONE

    return run_and_report(output, command)


async def entry_report(address: Address) -> EntryReport:
    """Read the readiness and status of an entry, or report why it did not answer."""
    try:
        _, readiness_body = await _call(address, "GET", "/readyz")
        _, status_body = await _call(address, "GET", "/status")
        readiness = _decode(readiness_body, _Readiness)
        status = _decode(status_body, EntryStatus)
    except CommandError as error:
        problem = "no answer" if error.code is ExitCode.UNAVAILABLE else error.message
        return EntryReport(str(address), False, None, problem)
    return EntryReport(str(address), readiness.ready, status, readiness.reason)


async def reports_once_in_force(
    addresses: tuple[Address, ...], version: int, wait: float, output: Output
) -> tuple[EntryReport, ...]:
    """Poll the entries until each has ``version`` in force or ``wait`` seconds have passed."""
    deadline = trio.current_time() + wait
    while True:
        collected = [await entry_report(address) for address in addresses]
        reports = tuple(collected)
        if has_version(reports, version) or trio.current_time() >= deadline:
            return reports
        behind = [report.address for report in reports if not has_version((report,), version)]
        output.progress(f"version {version} is not yet in force at {', '.join(behind)}")
        await trio.sleep(_POLL_SECONDS)


def has_version(reports: tuple[EntryReport, ...], version: int) -> bool:
    """Return whether every entry has ``version`` or a later one in force; always True for 0."""
    versions_in_force = (
        each.status.configuration_version if each.status else -1 for each in reports
    )
    return not version or all(number >= version for number in versions_in_force)


def entry_lines(reports: tuple[EntryReport, ...]) -> list[str]:
    """Format the entries as a table."""
    header = ("entry", "member", "ready", "configuration", "targets", "free slots", "queued")
    return format_table(header, (_entry_row(report) for report in reports))


def planner_metrics(address: Address) -> PlannerMetrics:
    """Read the metrics of one planner. Raises CommandError."""
    try:
        return trio.run(BatchClient((address,), _TIMEOUT_SECONDS).metrics)
    except BatchCallError as error:
        raise CommandError(
            ExitCode.UNAVAILABLE, f"the planner at {address} did not return its metrics: {error}"
        ) from error


async def _call(address: Address, method: str, target: str) -> tuple[int, bytes]:
    client = HttpClient(address, _TIMEOUT_SECONDS)
    try:
        head, body = await client.call(method, target)
    except HttpError as error:
        raise CommandError(
            ExitCode.UNAVAILABLE,
            f"the entry at {address} can't be reached: {error}",
            "is this its operator address, and is the process running?",
        ) from error
    finally:
        client.close()
    return head.status, body


async def metrics_page(address: Address) -> str:
    """Read the metrics of a process, in the Prometheus text format. Raises CommandError."""
    """Read the metrics of a process, in the Prometheus text format. Raises CommandError."""
    _, body = await _call(address, "GET", "/metrics")
    return body.decode("utf-8", "replace")


async def _has_ended(entry: Address, wait: float, output: Output) -> bool:
    """Return whether an entry stops answering within ``wait`` seconds."""
    deadline = trio.current_time() + wait
    while trio.current_time() < deadline:
        report = await entry_report(entry)
        if report.status is None:
            return True
        targets = sum(len(each.own_targets) for each in report.status.services.values())
        output.progress(f"{entry}: draining, still owns {targets} targets")
        await trio.sleep(_POLL_SECONDS)
    return False


def _decode(body: bytes, kind: type[Answer]) -> Answer:
    try:
        return decode_json(body, kind)
    except InvalidDataError as error:
        raise CommandError(ExitCode.FAILED, f"the entry's answer can't be read: {error}") from error


def _entry_row(report: EntryReport) -> tuple[object, ...]:
    status = report.status
    if status is None:
        return (report.address, "-", f"no: {report.problem}", "-", "-", "-", "-")
    services = status.services.values()
    return (
        report.address,
        status.member,
        "yes" if report.ready else f"no: {report.problem}",
        status.configuration_version,
        sum(len(service.own_targets) for service in services),
        sum(service.free_slots for service in services),
        sum(service.queued for service in services),
    )


def _sample_lines(address: str, samples: tuple[Sample, ...]) -> list[str]:
    rows = ((sample.name, _labels(sample.labels), f"{sample.value:g}") for sample in samples)
    return [address, *(f"  {line}" for line in format_table(("metric", "labels", "value"), rows))]


def _labels(labels: Mapping[str, str]) -> str:
    return " ".join(f"{name}={value}" for name, value in labels.items())


def _planner_lines(figures: PlannerMetrics) -> list[str]:
    plain: list[dict[str, Any]] = [msgspec.to_builtins(each) for each in figures.partitions]
    header = tuple(plain[0]) if plain else ("partition",)
    rows = (tuple(row.values()) for row in plain)
    return [figures.member, *(f"  {line}" for line in format_table(header, rows))]

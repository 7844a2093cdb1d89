"""The status of schedulers, for the command ``status``."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .._links import Address
from ..adapters import HttpClient, HttpError
from ..operations import Sample, read_samples
from ._ctl_output import format_table
from ._unexpected_errors import INTERNAL_ERRORS

_TIMEOUT_SECONDS = 5.0
_REQUESTS = "requests"
"""The part of errors in the handling of callers' requests, which are counted without one."""


@dataclass(frozen=True, slots=True)
class SchedulerReport:
    """The internal errors of a scheduler, or why it did not answer."""

    address: str
    errors: Mapping[str, int] = field(default_factory=dict)
    """By part of the program: the errors since its process started."""
    problem: str = ""


async def scheduler_report(address: Address) -> SchedulerReport:
    """Read the metrics of a scheduler, or report why it did not answer."""
    client = HttpClient(address, _TIMEOUT_SECONDS)
    try:
        _, body = await client.call("GET", "/metrics")
    except HttpError as error:
        return SchedulerReport(str(address), problem=f"no answer: {error}")
    finally:
        client.close()
    return SchedulerReport(str(address), _errors(read_samples(body.decode("utf-8", "replace"))))


def scheduler_lines(reports: tuple[SchedulerReport, ...]) -> list[str]:
    """Format the schedulers as a table."""
    rows = ((report.address, _state(report)) for report in reports)
    return format_table(("scheduler", "internal errors"), rows)


def _errors(samples: Iterable[Sample]) -> dict[str, int]:
    return {
        sample.labels.get("part", _REQUESTS): int(sample.value)
        for sample in samples
        if sample.name == INTERNAL_ERRORS
    }


def _state(report: SchedulerReport) -> str:
    if report.problem:
        return report.problem
    return ", ".join(f"{part} {n}" for part, n in sorted(report.errors.items())) or "none"

"""``python -m fireflyfork_standins.scheduling``: simulates days of the platform and reports on them."""

from __future__ import annotations

import sys
from collections.abc import Iterator

import defopt
from loguru import logger

from ._day import Profile, Report, run_day
from ._troubles import TROUBLES, UPKEEP_TROUBLES


def play(
    *,
    seed: int = 1,
    days: int = 1,
    seconds: float = 20.0,
    instances: int = 3,
    executors: int = 6,
    jobs_per_second: float = 2.0,
    troubles: tuple[str, ...] = (),
    all_troubles: bool = False,
    waves: int = 0,
    logs: bool = False,
) -> None:
    """Simulate days on a virtual clock, with the scheduler's real code in one process.

    :param seed: seed of the first day; each further day uses the next integer
    :param days: number of days
    :param seconds: duration of the traffic of a day, in seconds
    :param instances: number of instances of the scheduler
    :param executors: number of executors of the platform
    :param jobs_per_second: rate at which callers submit jobs
    :param troubles: kinds of trouble that may occur, at any time and concurrently
    :param all_troubles: allow every kind of trouble
    :param waves: number of waves of upkeep, each of all machines
    :param logs: also print the logs of the instances
    """
    kinds = UPKEEP_TROUBLES if waves else TROUBLES
    unknown = sorted(set(troubles) - set(kinds))
    if unknown:
        print(f"unknown trouble {unknown[0]!r}; one of: {', '.join(kinds)}", file=sys.stderr)
        sys.exit(2)
    if not logs:
        logger.remove()
    profile = Profile(
        instances,
        executors,
        seconds,
        jobs_per_second,
        troubles=kinds if all_troubles else troubles,
        waves=waves,
    )
    broken = 0
    for day in range(seed, seed + days):
        report = run_day(day, profile)
        broken += len(report.violations)
        print("\n".join(_lines(day, report)))
    sys.exit(1 if broken else 0)


def _lines(seed: int, report: Report) -> Iterator[str]:
    states = ", ".join(f"{n} {state.value}" for state, n in report.states.items())
    ends = ", ".join(f"{n} {reason.value}" for reason, n in report.ends.items())
    yield f"seed {seed}: {report.accepted} jobs accepted ({states})"
    yield f"  {report.refused} refusals, {report.unanswered} answers that settled nothing"
    yield f"  {report.starts} runs ({ends}), {report.store_calls} calls to the store"
    for trouble in report.troubles:
        yield f"  trouble at {trouble}"
    for violation in report.violations:
        yield f"  BROKEN at {violation.at:.2f}: {violation.promise}: {violation.description}"


if __name__ == "__main__":
    defopt.run(play)

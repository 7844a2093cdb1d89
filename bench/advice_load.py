"""Goodput of a service with an advisor against load, and recovery after trouble.

Run ``python -m bench.advice_load``. Each row is a simulated day on a virtual clock, with the
scheduler's real code. The advisor is busy for 0.17 s with a call about six executors, so that it
answers about 3 jobs a second at most. A job counts as served if its first task starts within the
time for urgent work.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import defopt
from loguru import logger

from fireflyfork_standins.scheduling import AdvisorProfile, Burst, Profile, Report, run_day

URGENT_START_SECONDS = 2.3
LOADS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)
"""Jobs a second."""
TROUBLE_AT = 5.0
SCARCE = AdvisorProfile(executor_seconds=0.02)
SLOW = AdvisorProfile(decision_seconds=2.2, executor_seconds=0.05)
SLOWER_THAN_STATED = replace(SCARCE, actual_cost_factor=10.0)
DAY = Profile(executors=6, seconds=30.0, jobs_per_second=1.5, advisor=SCARCE)
RECOVERIES = (
    ("burst x 4 for 4 s", replace(DAY, burst=Burst(TROUBLE_AT, 4.0, 4.0)), 9.0),
    ("one slow call", replace(DAY, planned_troubles=((TROUBLE_AT, "advisor_slow_call"),)), None),
    ("lost answers", replace(DAY, planned_troubles=((TROUBLE_AT, "advisor_loses_answers"),)), None),
    ("owner killed", replace(DAY, planned_troubles=((TROUBLE_AT, "kill"),)), TROUBLE_AT),
    ("calls of seconds", replace(DAY, jobs_per_second=0.1, advisor=SLOW), 0.0),
    ("10 x stated cost", replace(DAY, jobs_per_second=0.15, advisor=SLOWER_THAN_STATED), 0.0),
)


def measure(*, seeds: int = 2, drops_abandoned: bool = True) -> None:
    """Print goodput against load, then the recovery from each kind of trouble.

    :param seeds: number of days for each row
    :param drops_abandoned: whether the advisor drops waiting calls whose caller has hung up
    """
    logger.remove()
    print("jobs/s  served/s  started late or never  calls handled  abandoned  rejected")
    for load in LOADS:
        profile = _with_advisor(replace(DAY, jobs_per_second=load), drops_abandoned)
        print(_load_row(load, [run_day(seed, profile) for seed in range(1, seeds + 1)]), flush=True)
    print("\ntrouble             worst wait s  last job that waited 2.3 s, s after  not started")
    for name, profile, end in RECOVERIES:
        for seed in range(1, seeds + 1):
            report = run_day(seed, _with_advisor(profile, drops_abandoned))
            print(_recovery_row(name, report, end), flush=True)


def _with_advisor(profile: Profile, drops_abandoned: bool) -> Profile:
    assert profile.advisor is not None
    return replace(profile, advisor=replace(profile.advisor, drops_abandoned=drops_abandoned))


def _served(report: Report) -> Iterator[float]:
    return (waited for _, waited in report.first_starts if waited <= URGENT_START_SECONDS)


def _load_row(load: float, reports: list[Report]) -> str:
    seconds = DAY.seconds * len(reports)
    served = sum(sum(1 for _ in _served(report)) for report in reports)
    accepted = sum(report.accepted for report in reports)
    counts = [
        sum(report.advisor_calls.get(kind, 0) for report in reports)
        for kind in ("handled", "abandoned", "rejected")
    ]
    return f"{load:6}  {served / seconds:8.2f}  {accepted - served:21}  {counts[0]:13}  {counts[1]:9}  {counts[2]:8}"


def _recovery_row(name: str, report: Report, end: float | None) -> str:
    """Return a row; without an ``end`` of the trouble times count from its begin."""
    waits = [waited for _, waited in report.first_starts]
    late = [at for at, waited in report.first_starts if waited > URGENT_START_SECONDS]
    after = max(late, default=0.0) - (TROUBLE_AT if end is None else end)
    last = f"{max(0.0, after):.1f}" if late else "-"
    unstarted = report.accepted - len(report.first_starts)
    return f"{name:18}  {max(waits, default=0.0):12.1f}  {last:35}  {unstarted:11}"


if __name__ == "__main__":
    defopt.run(measure)

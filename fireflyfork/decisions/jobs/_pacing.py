"""How much of the leftover processor time on an executor may be given away, and at what pace.

Tasks without a reservation disturb those that serve users, by amounts that depend on the pair and
move within seconds. What shows is the tail of the serving tasks, rough and half a second late. So
each executor has a share that falls fast when a tail comes near its target and rises slowly while
all is well, as congestion control does for a link.
"""

from __future__ import annotations

from collections.abc import Iterator

from ._executors import ExecutorState
from ._reports import RunningRow
from ._runs import Run, RunPhase

HIGH_RATIO = 0.85
"""Above this share of its target a tail is too near: at the rate at which loads swing, it would be
over the target within the second until the next look."""
LOW_RATIO = 0.6
"""Below this share there is room for one more disturber."""
CUT = 0.5
"""The share is halved at each look with a tail too near; three looks bring it to an eighth."""
RAISE = 0.08
"""Each calm look gives back a twelfth."""
LOWEST_SHARE = 0.05
PACE_STEP = 10
"""Percent: smaller changes of pace aren't worth a call."""


def adjust_pace(executor: ExecutorState, rows: tuple[RunningRow, ...]) -> Iterator[tuple[Run, int]]:
    """Take in the tails of a look. Yields runs that have to work at another pace, in percent."""
    executor.tail_ratio = _worst_ratio(executor, rows)
    if executor.tail_ratio > HIGH_RATIO:
        executor.leftover_share = max(LOWEST_SHARE, executor.leftover_share * CUT)
    elif executor.tail_ratio < LOW_RATIO:
        executor.leftover_share = min(1.0, executor.leftover_share + RAISE)
    pace = round(executor.leftover_share * 100 / PACE_STEP) * PACE_STEP
    for run in executor.runs.values():
        disturbs = run.task.spec.uses_leftover_cpu and run.phase is RunPhase.RUNNING
        if disturbs and abs(run.pace_percent - pace) >= PACE_STEP:
            run.pace_percent = pace
            yield run, pace


def _worst_ratio(executor: ExecutorState, rows: tuple[RunningRow, ...]) -> float:
    ratios = (
        row.figure / run.task.spec.tail_target_ms
        for row in rows
        if (run := executor.runs.get((row.task, row.attempt))) is not None
        and run.task.spec.tail_target_ms
    )
    return max(ratios, default=0.0)

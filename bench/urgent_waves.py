"""What urgent waves into a full fleet wait for, with and without preemption.

Run ``python -m bench.urgent_waves``. Nothing is drawn or timed: the same figures come out each time.
"""

from __future__ import annotations

from fireflyfork.decisions.jobs import PreemptionSettings
from fireflyfork.decisions.jobs.preemption.tests.builders_waves import (
    EXECUTORS,
    URGENT_SECONDS,
    URGENT_TASKS,
    play_urgent_waves,
)

CORES = 4.0


def main() -> None:
    """Play the waves with several shares of runs that may be stopped, and without preemption."""
    work = URGENT_TASKS * URGENT_SECONDS * CORES
    print(f"{EXECUTORS} executors, {URGENT_TASKS} urgent tasks of {work:.0f} core-seconds in all")
    for share in (0.0, 0.05, 0.1):
        outcome = play_urgent_waves(PreemptionSettings(share > 0, share))
        waits = sorted(outcome.waits)
        median, longest = (waits[len(waits) // 2], waits[-1]) if waits else (0.0, 0.0)
        print(
            f"share {share:.2f}: {len(waits)} started, median {median:.1f} s, "
            f"longest {longest:.1f} s; {len(outcome.stopped)} runs stopped, "
            f"{outcome.lost_core_seconds:.0f} core-seconds since their checkpoints, "
            f"{outcome.thrown_away_core_seconds:.0f} thrown away"
        )


if __name__ == "__main__":
    main()

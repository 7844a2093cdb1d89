"""Compares the placement policy with baselines on a seeded model of workers.

``python -m bench.placement_policy`` prints tail latency, throughput, evictions and the start
latency of urgent tasks. The policy was developed with seeds 0 to 4. Seeds from 100 on weren't used
in development and are reported separately.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Callable, Mapping

import defopt

from fireflyfork.decisions._placement_policy import FirstFitPolicy, PlacementPolicy
from fireflyfork.decisions.placement import InterferenceAwarePolicy, PolicySettings, Relief

from ._worker_model import KASTINGS, NAIDU, Outcome, Site, WorkerModel

_SITES = (NAIDU, KASTINGS)
_POLICIES: Mapping[str, Callable[[], PlacementPolicy]] = {
    "first fit, declared": FirstFitPolicy,
    "declared, spread": lambda: InterferenceAwarePolicy(
        PolicySettings(learns_sizes=False, learns_interference=False, relief=Relief.NONE)
    ),
    "evict at once": lambda: InterferenceAwarePolicy(
        PolicySettings(learns_interference=False, relief=Relief.EVICT_AT_ONCE)
    ),
    "no relief": lambda: InterferenceAwarePolicy(
        PolicySettings(learns_interference=False, relief=Relief.NONE)
    ),
    "whole policy": InterferenceAwarePolicy,
}
_HEADINGS = (
    "tail p50",
    "tail p99",
    "over %",
    "core-h",
    "finished",
    "evicted",
    "lost c-h",
    "throttled",
    "no mem",
    "urg p50",
    "urg p99",
    "urg max",
    "one rack %",
)


def _figures(outcome: Outcome) -> tuple[float, ...]:
    return (
        outcome.tail_ratio(50),
        outcome.tail_ratio(99),
        100.0 * outcome.over_objective / max(outcome.intervals, 1),
        outcome.core_seconds / 3600.0,
        outcome.finished,
        outcome.evictions,
        outcome.lost_core_seconds / 3600.0,
        outcome.throttles,
        outcome.out_of_memory,
        outcome.urgent_seconds(50),
        outcome.urgent_seconds(99),
        outcome.urgent_seconds(100),
        100.0 * outcome.worst_rack_share,
    )


def _report(site: Site, title: str, seeds: list[int], seconds: int) -> None:
    print(f"{site.name}, {title} seeds {seeds}, {seconds} s each: median (least..most)")
    print(f"{'':>20}" + "".join(f"{heading:>22}" for heading in _HEADINGS))
    for name, make in _POLICIES.items():
        rows = [_figures(WorkerModel(site, make(), seed).run(seconds)) for seed in seeds]
        cells = [
            f"{statistics.median(column):.2f} ({min(column):.2f}..{max(column):.2f})"
            for column in zip(*rows, strict=True)
        ]
        print(f"{name:>20}" + "".join(f"{cell:>22}" for cell in cells), flush=True)
    print()


def main(*, seconds: int = 2400, seeds: int = 5, held_back: bool = False, site: str = "") -> None:
    """Print a table per site.

    :param seconds: Modelled seconds per run.
    :param seeds: Number of seeds.
    :param held_back: Use the seeds that weren't used to develop the policy.
    :param site: Print only this site.
    """
    first = 100 if held_back else 0
    title = "held-back" if held_back else "seen"
    for chosen in _SITES:
        if site in ("", chosen.name):
            _report(chosen, title, list(range(first, first + seeds)), seconds)


if __name__ == "__main__":
    defopt.run(main, argv=sys.argv[1:])

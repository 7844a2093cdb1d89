"""Measures goodput, tail latency and refusals at and above capacity: ``python -m bench.overload``.

The first variant is the product's. Each of the others replaces one mechanism by a naive one, and
the last replaces all of them. The model and its parameters were developed with the "tried" seeds;
the "held back" seeds weren't used in development.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from .overload_model import CAPACITY, MEASURED, Outcomes, OverloadModel, Variant

VARIANTS = (
    Variant("as built"),
    Variant("fixed share", fixed_share=True),
    Variant("round robin", round_robin=True),
    Variant("no shedding", no_shedding=True),
    Variant("plain retry", plain_retry=True),
    Variant("all naive", True, True, True, True),
)
LOADS = (1.0, 2.0, 5.0)
TRIED_SEEDS = (1, 2)
HELD_BACK_SEEDS = (101, 102, 103, 104, 105)


def measure(outcomes: Outcomes) -> tuple[float, ...]:
    """Return the columns of the table for one run."""
    arrived = max(1, outcomes.arrived)
    return (
        100.0 * len(outcomes.answer_seconds) / MEASURED / CAPACITY,
        1000.0 * _quantile(outcomes.answer_seconds, 0.5),
        1000.0 * _quantile(outcomes.answer_seconds, 0.99),
        100.0 * len(outcomes.refusal_seconds) / arrived,
        1000.0 * _quantile(outcomes.refusal_seconds, 0.5),
        1000.0 * _quantile(outcomes.refusal_seconds, 0.99),
        100.0 * outcomes.timed_out / arrived,
        100.0 * outcomes.failed / arrived,
        100.0 * outcomes.retries / arrived,
    )


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _rows(seeds: Sequence[int]) -> Iterator[str]:
    for load in LOADS:
        for variant in VARIANTS:
            runs = [measure(OverloadModel(variant, load, seed).run()) for seed in seeds]
            cells = (
                f"{_median(column):6.1f} ({min(column):.1f}-{max(column):.1f})"
                for column in zip(*runs, strict=True)
            )
            yield f"{load:3.0f}x {variant.name:12}" + "".join(f"{cell:>24}" for cell in cells)


def _median(column: Sequence[float]) -> float:
    return sorted(column)[len(column) // 2]


def main() -> None:
    """Print the median and the range of each column over the seeds."""
    names = (
        "goodput %",
        "p50 ms",
        "p99 ms",
        "refused %",
        "ref. p50 ms",
        "ref. p99 ms",
        "timed out %",
        "failed %",
        "retries %",
    )
    for title, seeds in (("tried", TRIED_SEEDS), ("held back", HELD_BACK_SEEDS)):
        print(f"seeds {title}: {seeds}")
        print(" " * 17 + "".join(f"{name:>24}" for name in names))
        for row in _rows(seeds):
            print(row, flush=True)


if __name__ == "__main__":
    main()

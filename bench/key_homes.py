"""Compares the cost of three ways to remember idempotency keys: ``python -m bench.key_homes``.

This is a seeded model. A key's home is the member that keeps its record.

- ``neither``: the home keeps its table in memory only.
- ``guard_copy``: the home sends each key to its guard and waits for the acknowledgement before the
  request may run.
- ``journal``: the home writes keys to the store before their requests may run. Keys that arrive
  during a write go into the next one.

After the loss of a home, callers repeat unanswered requests under the same key. The last two
columns count the callers that receive "may have run", and how many of their requests had not run.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

HOMES = 9
RATE = 300.0
"""Requests per second with an idempotency key, over all homes."""
SECONDS = 60.0
RUN_SECONDS = 0.1
GAP_SECONDS = 4.6
"""Time from the loss of a home to its takeover: suspecting the home and waiting out its right."""
DOUBT_SECONDS = 2.0
"""Keys created within this time after the takeover may, with clock error, be older than it."""
GUARD_HOP = 0.0005
"""One-way latency between two failure domains, in seconds."""
STORE_SECONDS = 0.004
LINK_SECONDS = 0.02
"""One-way latency between two regions, in seconds."""
FAR_HOMES = 3
"""Number of homes in the region without the store."""
KEY_BYTES = 40
SEEDS = (101, 102, 103, 104, 105)


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one way to remember keys: a row of the table."""

    added_median: float
    added_tail: float
    """99th percentile of the added latency; like the median in milliseconds."""
    store_writes: float
    """Writes to the store per second."""
    bytes_per_home: float
    """Bytes that a home sends per second."""
    doubtful: float
    """Callers that receive "may have run" after the loss of one home."""
    needless: float
    """Number of these callers whose request had not run."""


def neither(random: Random) -> Cost:
    """Keep keys in memory only."""
    doubtful, needless = _lost_home(random, remembered=False)
    return Cost(0.0, 0.0, 0.0, 0.0, doubtful, needless)


def guard_copy(random: Random) -> Cost:
    """Send each key to the guard before the request is dispatched."""
    added = sorted(2 * GUARD_HOP * random.lognormvariate(0, 0.3) for _ in range(2000))
    doubtful, needless = _lost_home(random, remembered=True)
    share = RATE / HOMES * KEY_BYTES
    return Cost(
        _quantile(added, 0.5) * 1e3, _quantile(added, 0.99) * 1e3, 0.0, share, doubtful, needless
    )


def journal(random: Random) -> Cost:
    """Write keys to the store before dispatch, with one write at a time per home."""
    added: list[float] = []
    writes = 0
    for home in range(HOMES):
        far = 2 * LINK_SECONDS if home < FAR_HOMES else 0.0
        waits, count = _group_commit(random, far)
        added += waits
        writes += count
    added.sort()
    doubtful, needless = _lost_home(random, remembered=True)
    size = RATE / HOMES * KEY_BYTES
    tail, median = _quantile(added, 0.99) * 1e3, _quantile(added, 0.5) * 1e3
    return Cost(median, tail, writes / SECONDS, size, doubtful, needless)


def _group_commit(random: Random, far: float) -> tuple[list[float], int]:
    arrivals = list(_arrivals(random, RATE / HOMES, SECONDS))
    waits: list[float] = []
    now, writes, index = 0.0, 0, 0
    while index < len(arrivals):
        now = max(now, arrivals[index])
        batch = index
        while batch < len(arrivals) and arrivals[batch] <= now:
            batch += 1
        now += far + STORE_SECONDS * random.lognormvariate(0, 0.5)
        waits += [now - arrived for arrived in arrivals[index:batch]]
        writes, index = writes + 1, batch
    return waits, writes


def _lost_home(random: Random, remembered: bool) -> tuple[float, float]:
    """Return the numbers of doubtful and of needlessly doubtful requests after one home is lost."""
    rate = RATE / HOMES
    in_flight = sum(1 for _ in _arrivals(random, rate, RUN_SECONDS))
    if remembered:
        return in_flight, 0.0
    meanwhile = sum(1 for _ in _arrivals(random, rate, GAP_SECONDS + DOUBT_SECONDS))
    return in_flight + meanwhile, meanwhile


def _arrivals(random: Random, rate: float, seconds: float) -> Iterator[float]:
    now = random.expovariate(rate)
    while now < seconds:
        yield now
        now += random.expovariate(rate)


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[int(share * (len(ordered) - 1))]


def main() -> None:
    """Print the median and the range of each column over the seeds."""
    names = (
        "added p50 ms",
        "added p99 ms",
        "store writes/s",
        "bytes/s/home",
        "in doubt",
        "needless",
    )
    print(" " * 12 + "".join(f"{name:>24}" for name in names))
    for way in (neither, guard_copy, journal):
        costs = [way(Random(seed)) for seed in SEEDS]
        columns = zip(*[_columns(cost) for cost in costs], strict=True)
        cells = [f"{sorted(c)[len(c) // 2]:.1f} ({min(c):.1f}-{max(c):.1f})" for c in columns]
        print(f"{way.__name__:12}" + "".join(f"{cell:>24}" for cell in cells))


def _columns(cost: Cost) -> tuple[float, ...]:
    return (
        cost.added_median,
        cost.added_tail,
        cost.store_writes,
        cost.bytes_per_home,
        cost.doubtful,
        cost.needless,
    )


if __name__ == "__main__":
    main()

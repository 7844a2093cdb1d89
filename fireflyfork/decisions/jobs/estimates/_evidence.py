"""Counts of good and bad results that are forgotten with age and with each new result."""

from __future__ import annotations

from dataclasses import dataclass

USUAL_FAILURE_SHARE = 0.05
"""Share of runs that fail by themselves, on sound executors and in steps that can be done."""
HALF_LIFE_SECONDS = 4.0
"""Time after which a result counts half. Executors in trouble usually recover within seconds."""
KEPT_PER_RESULT = 0.4
"""Factor by which a new result reduces the weight of the earlier ones. A busy executor that begins
to fail is noticed after two results, however many good ones it had."""


@dataclass(slots=True)
class Evidence:
    """Decayed counts of the results on one executor."""

    good: float = 0.0
    bad: float = 0.0
    updated_at: float = 0.0
    """The time for which the counts are valid, in seconds on the owner's clock."""
    ended_well: bool = False
    """Whether the last result was good."""

    @property
    def weight(self) -> float:
        """The decayed number of results."""
        return self.good + self.bad

    def decay(self, now: float) -> None:
        """Reduce the counts to their weight at ``now``."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS)
        self._scale(factor)
        self.updated_at = max(now, self.updated_at)

    def add(self, good: float, bad: float, now: float) -> None:
        """Add a result with a weight of ``good`` plus ``bad``, at most 1."""
        self.decay(now)
        self._scale(KEPT_PER_RESULT ** (good + bad))
        self.ended_well = good > bad
        self.good += good
        self.bad += bad

    def share(self, prior: float, strength: float) -> float:
        """Return the mean share of bad results, for a beta prior of this mean and strength."""
        return shrunk_share(self.bad, self.weight, prior, strength)

    def _scale(self, factor: float) -> None:
        self.good *= factor
        self.bad *= factor


def shrunk_share(bad: float, weight: float, prior: float, strength: float) -> float:
    """Return the mean of a beta-binomial estimate.

    ``prior`` is the mean of the prior, ``strength`` the number of results that it weighs as much as.
    """
    return (bad + strength * prior) / (weight + strength)

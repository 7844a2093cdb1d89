"""Learns how much each image of disturbing tasks slows each image of serving ones.

What shows is a serving task's tail latency. Services queue, so their tail goes with 1 / (1 - use):
its inverse falls in a straight line as its own load and the disturbance beside it grow. The model
works on *headroom*, target / tail: above 1 the target is met. Per serving image it fits

    headroom = undisturbed headroom - sum over images beside it of (effect x their use of the room)

by least squares with forgetting. Effects differ by pair from 0.2 to 6, so that which tasks stand together
matters more than how many.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

PRIOR_EFFECT = 1.6
"""Headroom lost to a full room of tasks that nothing is known about: that of an average pair."""
PRIOR_HEADROOM = 2.4
"""Undisturbed, of a service at its usual load."""
PRIOR_WEIGHT = 0.05
"""A pair is taken for average until this much squared use of the room has been seen with it: some
ten samples of a task that uses a tenth of the room."""
GROWTH = 1.0002
"""Each sample weighs so much more than the one before. Some eighty rows a second come in for one
serving image, so what is 45 s old counts for half: effects move within seconds to minutes."""
LARGEST_WEIGHT = 1e6
"""Sums are scaled back beyond this, long before floats lose digits."""
CHANGE_WEIGHT = 3.0
"""Of a change between two polls, against a level. The load of a service swings by half within ten
seconds, so levels scatter by 0.8 of headroom around the fit and changes by 0.45."""
LONGEST_CHANGE_SECONDS = 1.3
"""Two polls that lie farther apart say little about each other: the load has swung."""
FEWEST_SAMPLES = 20
SOLVE_SECONDS = 1.0
"""Between two solutions for one serving image. In a large fleet samples come faster than effects change, and
a solution for thirty images costs as much as many polls."""

_INTERCEPT = "\x00"


@dataclass(slots=True)
class _Fit:
    """The sums of one serving image's least squares."""

    products: defaultdict[str, defaultdict[str, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    """By the earlier and the later name of a pair: the sums are symmetric, and each is kept once."""
    targets: dict[str, float] = field(default_factory=dict)
    solution: dict[str, float] = field(default_factory=dict)
    weight: float = 1.0
    samples: int = 0
    solved_at: float = float("-inf")
    """When its solution was worked out, by the clock of the samples."""

    def add(self, row: dict[str, float], target: float, weight: float) -> None:
        """Take in one equation."""
        weight *= self.weight
        names = sorted(row)
        values = [row[name] for name in names]
        for place, (name, value) in enumerate(zip(names, values, strict=True)):
            weighed = weight * value
            sums = self.products[name]
            for other, other_value in zip(names[place:], values[place:], strict=True):
                sums[other] += weighed * other_value
            self.targets[name] = self.targets.get(name, 0.0) + weighed * target

    def matrix(self, names: list[str]) -> list[list[float]]:
        """The sums of products of all pairs, in the order of ``names``."""
        places = {name: place for place, name in enumerate(names)}
        rows = [[0.0] * len(names) for _ in names]
        for left, sums in self.products.items():
            for right, product in sums.items():
                one, other = places[left], places[right]
                rows[one][other] = rows[other][one] = product
        return rows

    def age(self) -> None:
        """What is in counts a little less from now on."""
        self.weight *= GROWTH
        if self.weight > LARGEST_WEIGHT:
            for sums in self.products.values():
                for name in sums:
                    sums[name] /= self.weight
            self.targets = {name: sum_ / self.weight for name, sum_ in self.targets.items()}
            self.weight = 1.0


@dataclass(frozen=True, slots=True)
class LearnedFit:
    """What has been learned about one serving image, for the next owner."""

    serving: str
    names: tuple[str, ...]
    """The images beside it, and the constant term."""
    products: tuple[float, ...]
    """The lower triangle of the sums of products, row by row in the order of ``names``."""
    targets: tuple[float, ...]
    """The right-hand sides in the same order."""


@dataclass(frozen=True, slots=True)
class Sample:
    """What a poll tells about one serving task."""

    at: float
    headroom: float
    uses: dict[str, float]
    """Shares of the room that were used beside it, by image."""
    over_since: float | None = None
    """Since when every sample of the task has been over its target."""


class InterferenceModel:
    """Effects by pair of images."""

    def __init__(self) -> None:
        """Every pair is average."""
        self._fits: dict[str, _Fit] = {}

    def effect(self, serving: str, beside: str) -> float:
        """Headroom that tasks of ``serving`` lose to a full room of ``beside``."""
        fit = self._fits.get(serving)
        return PRIOR_EFFECT if fit is None else fit.solution.get(beside, PRIOR_EFFECT)

    def lost_headroom(self, serving: str, uses: dict[str, float]) -> float:
        """Headroom that tasks of ``serving`` lose to these shares of the room, by image."""
        fit = self._fits.get(serving)
        if fit is None:
            return PRIOR_EFFECT * sum(uses.values())
        solution = fit.solution
        return sum(solution.get(image, PRIOR_EFFECT) * use for image, use in uses.items())

    def observe(self, serving: str, sample: Sample, before: Sample | None) -> None:
        """Take in a sample of a serving task, and the one before of the same task."""
        fit = self._fits.setdefault(serving, _Fit())
        fit.add({_INTERCEPT: 1.0, **sample.uses}, sample.headroom, 1.0)
        if before is not None and sample.at - before.at <= LONGEST_CHANGE_SECONDS:
            images = sample.uses.keys() | before.uses.keys()
            change = {
                image: sample.uses.get(image, 0.0) - before.uses.get(image, 0.0)
                for image in sorted(images)
            }
            fit.add(change, sample.headroom - before.headroom, CHANGE_WEIGHT)
        fit.age()
        fit.samples += 1
        if fit.samples >= FEWEST_SAMPLES and sample.at - fit.solved_at >= SOLVE_SECONDS:
            fit.solved_at = sample.at
            fit.solution = _solution(fit)

    def learned(self) -> tuple[LearnedFit, ...]:
        """What the next owner should know."""
        return tuple(_learned(serving, fit) for serving, fit in self._fits.items())

    def adopt(self, learned: Iterable[LearnedFit]) -> None:
        """Take over what an earlier owner has learned.

        An owner that begins with every pair taken for average puts work beside services that it slows
        most, until it has found out again. Tails would rise for some seconds after each change of owner.
        """
        for one in learned:
            fit = _adopted(one)
            fit.solution = _solution(fit)
            self._fits[one.serving] = fit


def _learned(serving: str, fit: _Fit) -> LearnedFit:
    names = tuple(fit.targets)
    matrix = fit.matrix(list(names))
    products = tuple(matrix[row][column] / fit.weight for row, column in _triangle(len(names)))
    targets = tuple(fit.targets[name] / fit.weight for name in names)
    return LearnedFit(serving, names, products, targets)


def _adopted(learned: LearnedFit) -> _Fit:
    fit = _Fit(targets=dict(zip(learned.names, learned.targets, strict=True)))
    places = _triangle(len(learned.names))
    for (row, column), value in zip(places, learned.products, strict=True):
        left, right = sorted((learned.names[row], learned.names[column]))
        fit.products[left][right] = value
    return fit


def _triangle(size: int) -> list[tuple[int, int]]:
    return [(row, column) for row in range(size) for column in range(row + 1)]


def _solution(fit: _Fit) -> dict[str, float]:
    names = list(fit.targets)
    prior = {name: PRIOR_HEADROOM if name == _INTERCEPT else -PRIOR_EFFECT for name in names}
    # The prior keeps its weight against sums that age, so what hasn't been seen for long is forgotten.
    weight = PRIOR_WEIGHT * fit.weight
    rows = [[*sums, 0.0] for sums in fit.matrix(names)]
    for place, name in enumerate(names):
        rows[place][place] += weight
        rows[place][-1] = fit.targets[name] + weight * prior[name]
    slopes = dict(zip(names, _solve(rows), strict=True))
    # Nothing speeds a neighbour up; a negative effect is noise of its load.
    return {name: max(0.0, -slope) for name, slope in slopes.items() if name != _INTERCEPT}


def _solve(rows: list[list[float]]) -> list[float]:
    """Solve a symmetric positive definite system, each row with its right-hand side last."""
    size = len(rows)
    for pivot in range(size):
        head = rows[pivot]
        for row in rows[pivot + 1 :]:
            factor = row[pivot] / head[pivot]
            if factor:
                row[pivot:] = [
                    a - factor * b for a, b in zip(row[pivot:], head[pivot:], strict=True)
                ]
    solution = [0.0] * size
    for pivot in reversed(range(size)):
        row = rows[pivot]
        known = sum(row[column] * solution[column] for column in range(pivot + 1, size))
        solution[pivot] = (row[size] - known) / row[pivot]
    return solution

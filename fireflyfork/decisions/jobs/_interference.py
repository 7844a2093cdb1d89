"""Learns how much each image of disturbing tasks slows down each image of serving tasks.

The observable is the tail latency of a serving task. Services queue, so their tail latency is
proportional to 1 / (1 - utilization), and its inverse falls linearly as the service's own load and
the disturbance next to it grow. The model works on *headroom*, target / tail: above 1 the target is
met. Per serving image it fits

    headroom = undisturbed headroom - sum over images next to it of (effect x their use of the room)

by least squares with exponential forgetting. Effects range from 0.2 to 6 per pair, so which tasks
run next to each other matters more than how many.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import isfinite

from ..._decoding import guarded
from ..._errors import InvalidDataError
from .arrangement import ImageGroups

PRIOR_EFFECT = 1.6
"""Headroom that a service loses to an executor full of tasks of an unknown image: the effect of an
average pair."""
PRIOR_HEADROOM = 2.4
"""Undisturbed headroom of a service at its usual load."""
PRIOR_WEIGHT = 0.05
"""A pair is assumed to be average until this much squared use of the room has been observed for it:
about ten samples of a task that uses a tenth of the room."""
SAMPLE_WEIGHT_GROWTH = 1.0002
"""Factor by which each sample outweighs the previous one. About eighty rows a second arrive for one
serving image, so the weight halves in 45 s: effects change within seconds to minutes."""
MAX_WEIGHT = 1e6
"""The sums are scaled down beyond this weight, long before floats lose precision."""
CHANGE_WEIGHT = 3.0
"""Weight of a change between two polls relative to a level. The load of a service changes by half
within ten seconds, so levels scatter by 0.8 of headroom around the fit, and changes by 0.45."""
MAX_CHANGE_SECONDS = 1.3
"""Longest interval between two polls whose difference is used. Over a longer interval the load has
changed too much."""
MIN_SAMPLES = 20
SOLVE_SECONDS = 1.0
"""Interval between two solutions for one serving image. In a large fleet samples arrive faster than
effects change, and one solution for thirty images costs as much as many polls."""

MAX_IMAGES = 48
"""Number of disturbing images that are told apart for one serving image; further ones count as one
image. Callers name the images, and the time of a solution grows with the cube of their number."""
MAX_SERVING_IMAGES = 64
"""Number of serving images whose disturbances are learned; for further ones every pair is assumed to
be average."""

_INTERCEPT = "\x00"
_OTHER_IMAGES = "\x01"


@dataclass(slots=True)
class _Fit:
    """The least squares sums of one serving image."""

    products: defaultdict[str, defaultdict[str, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    """Sums of products, by the alphabetically first and second name of a pair. The matrix is
    symmetric, and each sum is kept once."""
    targets: dict[str, float] = field(default_factory=dict)
    solution: dict[str, float] = field(default_factory=dict)
    weight: float = 1.0
    samples: int = 0
    solved_at: float = float("-inf")
    """When the solution was computed, on the clock of the samples."""

    def add(self, row: dict[str, float], target: float, weight: float) -> None:
        """Add an equation: the sum of ``row`` values times the unknown effects is ``target``."""
        weight *= self.weight
        names = sorted(row)
        values = [row[name] for name in names]
        for position, (name, value) in enumerate(zip(names, values, strict=True)):
            weighted_value = weight * value
            sums = self.products[name]
            for column_name, column_value in zip(names[position:], values[position:], strict=True):
                sums[column_name] += weighted_value * column_value
            self.targets[name] = self.targets.get(name, 0.0) + weighted_value * target

    def matrix(self, names: list[str]) -> list[list[float]]:
        """Return the matrix of the sums of products, in the order of ``names``."""
        positions = {name: position for position, name in enumerate(names)}
        rows = [[0.0] * len(names) for _ in names]
        for first_name, sums in self.products.items():
            for second_name, product in sums.items():
                row, column = positions[first_name], positions[second_name]
                rows[row][column] = rows[column][row] = product
        return rows

    def decay(self) -> None:
        """Reduce the relative weight of all equations added so far."""
        self.weight *= SAMPLE_WEIGHT_GROWTH
        if self.weight > MAX_WEIGHT:
            for sums in self.products.values():
                for name in sums:
                    sums[name] /= self.weight
            self.targets = {name: sum_ / self.weight for name, sum_ in self.targets.items()}
            self.weight = 1.0


@dataclass(frozen=True, slots=True)
class LearnedFit:
    """The least squares sums of one serving image, as stored for the next owner."""

    serving: str
    names: tuple[str, ...]
    """The images that ran next to the serving image, and the name of the constant term."""
    products: tuple[float, ...]
    """The lower triangle of the sums of products, row by row in the order of ``names``."""
    targets: tuple[float, ...]
    """The right-hand sides, in the order of ``names``."""


@dataclass(frozen=True, slots=True)
class Sample:
    """The values of a serving task in one poll."""

    at: float
    """Time of the poll."""
    headroom: float
    """The target divided by the tail latency: below 1, the latency is over the target. Bounded for
    very low latencies."""
    uses: dict[str, float]
    """Shares of the room that were used next to the task, by image."""
    over_since: float | None = None
    """Start of the period in which the task's tail latency was over its target in every sample;
    None if it was not over the target in this sample."""


class InterferenceModel:
    """Learns for each pair of images how much headroom the disturbing image costs the serving one.

    The effects are estimated by least squares from samples of serving tasks.
    """

    def __init__(self) -> None:
        """Initialize without samples: every pair is assumed to be average."""
        self._fits: dict[str, _Fit] = {}
        self.groups = ImageGroups(enabled=False)

    def effect(self, serving: str, disturbing: str) -> float:
        """Return the headroom that tasks of ``serving`` lose to a room full of ``disturbing``."""
        fit = self._fits.get(serving)
        return PRIOR_EFFECT if fit is None else fit.solution.get(disturbing, PRIOR_EFFECT)

    def lost_headroom(self, serving: str, uses: dict[str, float]) -> float:
        """Return the headroom that tasks of ``serving`` lose to these shares by image."""
        fit = self._fits.get(serving)
        if fit is None:
            return PRIOR_EFFECT * sum(uses.values())
        solution = fit.solution
        return sum(solution.get(image, PRIOR_EFFECT) * use for image, use in uses.items())

    def observe(self, serving: str, sample: Sample, previous: Sample | None) -> None:
        """Add a sample of a serving task, with the previous sample of the same task if any."""
        if serving not in self._fits and len(self._fits) >= MAX_SERVING_IMAGES:
            return
        fit = self._fits.setdefault(serving, _Fit())
        uses = _with_known_images(fit, sample.uses)
        fit.add({_INTERCEPT: 1.0, **uses}, sample.headroom, 1.0)
        if previous is not None and sample.at - previous.at <= MAX_CHANGE_SECONDS:
            previous_uses = _with_known_images(fit, previous.uses)
            images = uses.keys() | previous_uses.keys()
            change = {
                image: uses.get(image, 0.0) - previous_uses.get(image, 0.0)
                for image in sorted(images)
            }
            fit.add(change, sample.headroom - previous.headroom, CHANGE_WEIGHT)
        fit.decay()
        fit.samples += 1
        if fit.samples >= MIN_SAMPLES and sample.at - fit.solved_at >= SOLVE_SECONDS:
            fit.solved_at = sample.at
            fit.solution = _solution(fit)

    def serving_images(self) -> Iterable[str]:
        """Return the serving images with samples."""
        return self._fits.keys()

    def is_known(self, serving: str, disturbing: str) -> bool:
        """Whether observations outweigh the assumption that the pair is average."""
        fit = self._fits.get(serving)
        if fit is None or disturbing not in fit.solution:
            return False
        return fit.products[disturbing][disturbing] > PRIOR_WEIGHT * fit.weight

    def learned(self) -> tuple[LearnedFit, ...]:
        """Return the least squares sums of all serving images, to be stored for the next owner."""
        return tuple(_to_learned_fit(serving, fit) for serving, fit in self._fits.items())

    def adopt(self, learned: Iterable[LearnedFit]) -> None:
        """Replace the sums of the given serving images by the sums that an earlier owner stored.

        An owner that assumes every pair to be average places work next to the services that it
        slows down most until it has learned the effects again. Tail latencies would rise for some
        seconds after each change of owner.
        """
        for learned_fit in learned:
            fit = _from_learned_fit(learned_fit)
            fit.solution = _solution(fit)
            self._fits[learned_fit.serving] = fit


def _with_known_images(fit: _Fit, uses: dict[str, float]) -> dict[str, float]:
    """Return the uses with all images beyond ``MAX_IMAGES`` as one."""
    if len(fit.targets.keys() | uses.keys()) <= MAX_IMAGES:
        return uses
    known: dict[str, float] = {}
    for image, use in uses.items():
        name = image if image in fit.targets else _OTHER_IMAGES
        known[name] = known.get(name, 0.0) + use
    return known


def is_solvable(learned_fit: LearnedFit) -> bool:
    """Whether stored sums have a finite solution, as all sums of observations have."""
    try:
        solution = guarded(lambda: _solution(_from_learned_fit(learned_fit)))
    except InvalidDataError:
        return False
    return all(map(isfinite, (*learned_fit.products, *learned_fit.targets, *solution.values())))


def _to_learned_fit(serving: str, fit: _Fit) -> LearnedFit:
    names = tuple(fit.targets)
    matrix = fit.matrix(list(names))
    products = tuple(matrix[row][column] / fit.weight for row, column in _triangle(len(names)))
    targets = tuple(fit.targets[name] / fit.weight for name in names)
    return LearnedFit(serving, names, products, targets)


def _from_learned_fit(learned: LearnedFit) -> _Fit:
    fit = _Fit(targets=dict(zip(learned.names, learned.targets, strict=True)))
    positions = _triangle(len(learned.names))
    for (row, column), value in zip(positions, learned.products, strict=True):
        first_name, second_name = sorted((learned.names[row], learned.names[column]))
        fit.products[first_name][second_name] = value
    return fit


def _triangle(size: int) -> list[tuple[int, int]]:
    return [(row, column) for row in range(size) for column in range(row + 1)]


def _solution(fit: _Fit) -> dict[str, float]:
    names = list(fit.targets)
    prior = {name: PRIOR_HEADROOM if name == _INTERCEPT else -PRIOR_EFFECT for name in names}
    # The prior keeps its weight relative to the sums that age, so pairs that have not been observed
    # for a long time return to it.
    weight = PRIOR_WEIGHT * fit.weight
    rows = [[*sums, 0.0] for sums in fit.matrix(names)]
    for position, name in enumerate(names):
        rows[position][position] += weight
        rows[position][-1] = fit.targets[name] + weight * prior[name]
    slopes = dict(zip(names, _solve(rows), strict=True))
    # No task speeds up its neighbors; a negative effect is noise from its load.
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
        known_sum = sum(row[column] * solution[column] for column in range(pivot + 1, size))
        solution[pivot] = (row[size] - known_sum) / row[pivot]
    return solution

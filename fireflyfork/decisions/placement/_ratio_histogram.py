"""A histogram of ratios with exponential forgetting, small enough to keep one per task class."""

from __future__ import annotations

import math
from array import array

_BINS_PER_OCTAVE = 8
_OCTAVES_BELOW_ONE = 5
_OCTAVES_ABOVE_ONE = 5
_BIN_COUNT = _BINS_PER_OCTAVE * (_OCTAVES_BELOW_ONE + _OCTAVES_ABOVE_ONE)
_FIRST_BIN_EXPONENT = -_OCTAVES_BELOW_ONE * _BINS_PER_OCTAVE
_MAX_TOTAL = 1024.0
"""Above this total weight all counts are halved, so old usage patterns lose influence."""


class RatioHistogram:
    """Counts of ratios between 1/32 and 32 in bins an eighth of an octave wide (9%).

    This replaces hdrhistogram, which can't forget and takes kilobytes for each class.
    """

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        """Start without counts."""
        self._counts = array("f", bytes(4 * _BIN_COUNT))
        self._total = 0.0

    @property
    def total(self) -> float:
        """The remaining weight of all ratios added."""
        return self._total

    def add(self, ratio: float) -> None:
        """Count a ratio. A ratio outside the range counts in the nearest bin."""
        self._counts[_bin_of(ratio)] += 1.0
        self._total += 1.0
        if self._total > _MAX_TOTAL:
            self._halve()

    def quantile(self, share: float) -> float:
        """Return an upper bound of a quantile: the upper edge of its bin, or 0 without counts."""
        if not self._total:
            return 0.0
        target = share * self._total
        cumulative = 0.0
        last_index = 0
        for index, count in enumerate(self._counts):
            if count <= 0.0:
                continue
            cumulative += count
            last_index = index
            if cumulative >= target:
                break
        return _upper_edge(last_index)

    def _halve(self) -> None:
        self._counts = array("f", (count / 2 for count in self._counts))
        self._total = math.fsum(self._counts)


def _bin_of(ratio: float) -> int:
    if ratio <= 0.0:
        return 0
    index = math.ceil(math.log2(ratio) * _BINS_PER_OCTAVE) - 1 - _FIRST_BIN_EXPONENT
    return min(max(index, 0), _BIN_COUNT - 1)


def _upper_edge(index: int) -> float:
    return float(2.0 ** ((index + 1 + _FIRST_BIN_EXPONENT) / _BINS_PER_OCTAVE))

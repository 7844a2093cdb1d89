"""Learns task sizes from usage, with the declared size as the prior."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ..._machines import Resources
from ._classes import TaskClass
from ._ratio_histogram import RatioHistogram

_PRIOR_SAMPLES = 8.0
"""The weight of the declared size, as a number of samples, if usage is lower."""
_MIN_SAMPLES_TO_SHRINK_MEMORY = 16.0
"""Fewer tasks don't show the tail of memory usage, so until then the declared memory is a lower
bound."""
_PROCESSOR_QUANTILE = 0.9
_SERVICE_PROCESSOR_QUANTILE = 0.99
_MEMORY_QUANTILE = 0.995
_MEMORY_MARGIN = 1.1
"""Reports give averages over an interval, and the peak within an interval is higher."""
_SATURATION_SHARE = 0.95
"""Usage of at least this share of the reservation may be cut off by it."""
_SATURATED_GROWTH = 1.5
"""Factor by which usage that may be cut off is increased."""
_EXHAUSTED_MEMORY_GROWTH = 1.5
"""Factor from the reservation of a task that ran out of memory to its assumed need."""
_MIN_MILLICORES = 10
_MIN_MEMORY = 1 << 20
_MAX_CLASSES = 20_000
_REFRESH_SAMPLES = 8
"""Number of samples of a class between two updates of its reservation ratios."""


@dataclass(slots=True)
class _ClassUsage:
    processor: RatioHistogram = field(default_factory=RatioHistogram)
    memory: RatioHistogram = field(default_factory=RatioHistogram)
    processor_ratio: float = 1.0
    service_processor_ratio: float = 1.0
    memory_ratio: float = 1.0
    samples_until_refresh: int = 1


class LearnedSizes:
    """The usage of each task class, as ratios to the declared size."""

    def __init__(self) -> None:
        """Start without samples, so declared sizes are used."""
        self._classes: OrderedDict[TaskClass, _ClassUsage] = OrderedDict()

    def reservation(
        self, task_class: TaskClass, declared: Resources, is_service: bool = False
    ) -> Resources:
        """Return the resources to reserve for a new task of the class.

        Accelerators are reserved as declared, since they are whole devices.
        """
        usage = self._classes.get(task_class)
        if usage is None:
            return declared
        ratio = usage.service_processor_ratio if is_service else usage.processor_ratio
        return Resources(
            _scaled(declared.millicores, ratio, _MIN_MILLICORES),
            _scaled(declared.memory, usage.memory_ratio, _MIN_MEMORY),
            declared.accelerators,
        )

    def observe_processor(
        self, task_class: TaskClass, declared: Resources, reserved: Resources, millicores: int
    ) -> None:
        """Learn from one usage report of a task that is not throttled.

        Usage close to the reservation may be cut off by it, and is increased by a factor. Otherwise
        a size that was once learned too low would never grow, and tasks would always run late.
        """
        if not declared.millicores:
            return
        need = float(millicores)
        if millicores >= _SATURATION_SHARE * reserved.millicores:
            need *= _SATURATED_GROWTH
        usage = self._usage(task_class)
        usage.processor.add(need / declared.millicores)
        _refresh_sometimes(usage)

    def observe_memory_peak(self, task_class: TaskClass, declared: Resources, memory: int) -> None:
        """Learn from the highest reported memory usage of an ended task, in bytes."""
        if not declared.memory:
            return
        usage = self._usage(task_class)
        ratio = memory / declared.memory
        usage.memory.add(ratio)
        if ratio * _MEMORY_MARGIN > usage.memory_ratio:
            _refresh(usage)
        _refresh_sometimes(usage)

    def observe_memory_exhausted(
        self, task_class: TaskClass, declared: Resources, reserved: Resources
    ) -> None:
        """Learn that a task ran out of its reserved memory."""
        needed = int(reserved.memory * _EXHAUSTED_MEMORY_GROWTH)
        self.observe_memory_peak(task_class, declared, needed)

    def _usage(self, task_class: TaskClass) -> _ClassUsage:
        usage = self._classes.get(task_class)
        if usage is None:
            usage = self._classes[task_class] = _ClassUsage()
            if len(self._classes) > _MAX_CLASSES:
                self._classes.popitem(last=False)
        else:
            self._classes.move_to_end(task_class)
        return usage


def _refresh_sometimes(usage: _ClassUsage) -> None:
    usage.samples_until_refresh -= 1
    if usage.samples_until_refresh <= 0:
        _refresh(usage)


def _refresh(usage: _ClassUsage) -> None:
    usage.samples_until_refresh = _REFRESH_SAMPLES
    processor = usage.processor
    usage.processor_ratio = _blended(processor.quantile(_PROCESSOR_QUANTILE), processor.total)
    usage.service_processor_ratio = _blended(
        processor.quantile(_SERVICE_PROCESSOR_QUANTILE), processor.total
    )
    usage.memory_ratio = _memory_ratio(usage.memory)


def _memory_ratio(memory: RatioHistogram) -> float:
    tail = memory.quantile(_MEMORY_QUANTILE) * _MEMORY_MARGIN
    if memory.total < _MIN_SAMPLES_TO_SHRINK_MEMORY:
        return max(tail, 1.0)
    return _blended(tail, memory.total)


def _blended(measured: float, samples: float) -> float:
    """Blend a measured ratio with the declared size.

    A ratio of 1 or more is used immediately. A lower one gains weight with the number of samples.
    """
    if measured >= 1.0 or not samples:
        return max(measured, 1.0)
    prior_share = _PRIOR_SAMPLES / (_PRIOR_SAMPLES + samples)
    return prior_share + (1.0 - prior_share) * measured


def _scaled(amount: int, ratio: float, smallest: int) -> int:
    return max(int(amount * ratio), smallest) if amount else 0

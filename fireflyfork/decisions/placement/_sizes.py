"""Sizes learned from usage: the declared size is a prior that measured quantiles replace."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ..._machines import Resources
from ._classes import TaskClass
from ._ratio_histogram import RatioHistogram

_PRIOR_SAMPLES = 8.0
"""The declared size weighs as much as so many samples when usage lies below it."""
_FEWEST_SAMPLES_TO_SHRINK_MEMORY = 16.0
"""A tail can't be told from fewer tasks, so until then the declared memory is a lower bound."""
_PROCESSOR_QUANTILE = 0.9
_SERVICE_PROCESSOR_QUANTILE = 0.99
_MEMORY_QUANTILE = 0.995
_MEMORY_MARGIN = 1.1
"""Reports give averages over an interval; the peak inside one lies above its average."""
_SATURATION_SHARE = 0.95
"""From this share of its reservation on, usage shows the limit rather than the need."""
_SATURATED_GROWTH = 1.5
_EXHAUSTED_MEMORY_GROWTH = 1.5
_SMALLEST_MILLICORES = 10
_SMALLEST_MEMORY = 1 << 20
_LARGEST_CLASS_COUNT = 20_000
_REFRESH_SAMPLES = 8


@dataclass(slots=True)
class _ClassUsage:
    processor: RatioHistogram = field(default_factory=RatioHistogram)
    memory: RatioHistogram = field(default_factory=RatioHistogram)
    processor_ratio: float = 1.0
    service_processor_ratio: float = 1.0
    memory_ratio: float = 1.0
    samples_until_refresh: int = 1


class LearnedSizes:
    """What each class of work uses, as a share of what its tasks declare."""

    def __init__(self) -> None:
        """Start with declared sizes alone."""
        self._classes: OrderedDict[TaskClass, _ClassUsage] = OrderedDict()

    def reservation(
        self, task_class: TaskClass, declared: Resources, is_service: bool = False
    ) -> Resources:
        """What to reserve for a new task of the class. Accelerators are whole, so never shrink."""
        usage = self._classes.get(task_class)
        if usage is None:
            return declared
        ratio = usage.service_processor_ratio if is_service else usage.processor_ratio
        return Resources(
            _scaled(declared.millicores, ratio, _SMALLEST_MILLICORES),
            _scaled(declared.memory, usage.memory_ratio, _SMALLEST_MEMORY),
            declared.accelerators,
        )

    def observe_processor(
        self, task_class: TaskClass, declared: Resources, reserved: Resources, millicores: int
    ) -> None:
        """Learn from one usage report of a task that is not throttled.

        Usage at the reservation is cut off by it: taken as it stands, a size once learned too
        low would never recover and tasks would run late for good. So it counts as more.
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
        """Learn from the highest memory that one ended task reported, in bytes."""
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
        """Learn that a task needed more memory than was reserved for it."""
        needed = int(reserved.memory * _EXHAUSTED_MEMORY_GROWTH)
        self.observe_memory_peak(task_class, declared, needed)

    def _usage(self, task_class: TaskClass) -> _ClassUsage:
        usage = self._classes.get(task_class)
        if usage is None:
            usage = self._classes[task_class] = _ClassUsage()
            if len(self._classes) > _LARGEST_CLASS_COUNT:
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
    if memory.total < _FEWEST_SAMPLES_TO_SHRINK_MEMORY:
        return max(tail, 1.0)
    return _blended(tail, memory.total)


def _blended(measured: float, samples: float) -> float:
    """Usage above the declared size counts at once; below it only as samples gather."""
    if measured >= 1.0 or not samples:
        return max(measured, 1.0)
    prior_share = _PRIOR_SAMPLES / (_PRIOR_SAMPLES + samples)
    return prior_share + (1.0 - prior_share) * measured


def _scaled(amount: int, ratio: float, smallest: int) -> int:
    return max(int(amount * ratio), smallest) if amount else 0

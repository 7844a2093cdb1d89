"""Summaries of the room on executors, by which steps are refused without comparing executors.

Thousands of steps that fit nowhere may wait. For each of them, ``FreeRoom`` tells in a few
comparisons whether any executor may have room, and ``RoomGains`` whether any has gained some since
the step was refused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import takewhile

from ..._waits import WaitReason
from ._executors import ExecutorState
from ._specs import StepSpec

_Room = tuple[int, int, int]
"""Free CPU time in thousandths of a core, memory in megabytes and accelerators."""


class FreeRoom:
    """The free room on some executors at one time, by label."""

    def __init__(self, executors: Sequence[ExecutorState]) -> None:
        """Initialize for these executors, whose room is read when it is first needed."""
        self._executors = executors
        self._rooms: dict[str, Counter[_Room]] = {}
        self._largest: dict[str, tuple[_Room, ...]] = {}

    def refresh(self) -> None:
        """Read the room again, because some of it was taken."""
        self._rooms.clear()
        self._largest.clear()

    def may_fit(self, step: StepSpec) -> bool:
        """Whether an executor with the required label has room for one task of a step."""
        cpu, memory, accelerators = step.reserved_cpu_millis, step.memory_mb, step.accelerators
        return any(
            cpu <= room[0] and memory <= room[1] and accelerators <= room[2]
            for room in self._largest_rooms(step.required_label)
        )

    def may_fit_together(self, step: StepSpec) -> bool:
        """Whether the executors with the required label have room for all tasks of a step."""
        return self._fitting(step, step.count) >= step.count

    def may_fit_copies(self, step: StepSpec, copies: int) -> bool:
        """Whether there is room for this many tasks like those of a step, or gangs like it."""
        if not self.may_fit(step):
            return False
        missing = copies * (step.count if step.gang else 1)
        return self._fitting(step, missing) >= missing

    def distinct_rooms(self, step: StepSpec) -> int:
        """Return the number of different rooms on the executors with the required label."""
        return len(self._rooms_with(step.required_label))

    def _fitting(self, step: StepSpec, most: int) -> int:
        """Return how many tasks of a step fit together, or some number from ``most`` on."""
        total = 0
        for room, executors in self._rooms_with(step.required_label).items():
            fitting = _count_fitting(step, room, most)
            total += executors * min(fitting, step.per_executor_limit or fitting)
            if total >= most:
                break
        return total

    def lack(self, step: StepSpec) -> WaitReason:
        """Return what a step lacks that found no executor."""
        rooms = self._largest_rooms("")
        if all(step.reserved_cpu_millis > room[0] for room in rooms):
            return WaitReason.PROCESSORS
        if all(step.memory_mb > room[1] for room in rooms):
            return WaitReason.MEMORY
        return WaitReason.DISTURBS if step.uses_leftover_cpu else WaitReason.OTHER

    def _largest_rooms(self, label: str) -> tuple[_Room, ...]:
        """Return the rooms that no other one exceeds in everything. They are few."""
        largest = self._largest.get(label)
        if largest is None:
            largest = self._largest[label] = _undominated(self._rooms_with(label))
        return largest

    def _rooms_with(self, label: str) -> Counter[_Room]:
        """Return the rooms of the executors with a label; all executors have the empty label."""
        rooms = self._rooms.get(label)
        if rooms is None:
            rooms = self._rooms[label] = Counter(
                _room(executor)
                for executor in self._executors
                if not label or label in executor.registration.labels
            )
        return rooms


def _room(executor: ExecutorState) -> _Room:
    accelerators = executor.registration.room.accelerators - executor.used_accelerators
    return executor.free_cpu_millis, executor.free_memory_mb, accelerators


def _count_fitting(step: StepSpec, room: _Room, most: int) -> int:
    """Return how many tasks of a step a room suffices for, up to ``most``."""
    sizes = (step.reserved_cpu_millis, step.memory_mb, step.accelerators)
    fitting = (max(0, free) // size for free, size in zip(room, sizes, strict=True) if size)
    return min(fitting, default=most)


def _undominated(rooms: Iterable[_Room]) -> tuple[_Room, ...]:
    kept: list[_Room] = []
    for room in sorted(rooms, reverse=True):
        if not any(room[1] <= other[1] and room[2] <= other[2] for other in kept):
            kept.append(room)
    return tuple(kept)


class RoomGains:
    """Numbers the gains of executors: room that was freed, other labels or limits, a return.

    A step that lacks room, a label or a place within its limit on every executor lacks it until a
    later gain.
    """

    def __init__(self) -> None:
        """Initialize without executors."""
        self._seen: dict[ExecutorState, tuple[object, ...]] = {}
        self._gains: dict[ExecutorState, int] = {}
        """By executor: the number of its last gain, the latest one last."""
        self._last = 0

    @property
    def last(self) -> int:
        """The number of the last gain."""
        return self._last

    def update(self, usable: Iterable[ExecutorState]) -> None:
        """Compare the usable executors with those of the previous call."""
        seen, self._seen = self._seen, {}
        for executor in usable:
            state = (
                executor.release_count,
                executor.incoming_cpu_millis,
                executor.incoming_memory_mb,
                executor.registration,
            )
            self._seen[executor] = state
            if seen.get(executor) != state:
                self._last += 1
                self._gains.pop(executor, None)
                self._gains[executor] = self._last
        if len(self._gains) > 2 * len(self._seen):
            self._gains = {each: n for each, n in self._gains.items() if each in self._seen}

    def executors_after(self, number: int) -> list[ExecutorState]:
        """Return the executors with a gain after the one with this number."""
        latest_first = reversed(self._gains.items())
        return [each for each, _ in takewhile(lambda gain: gain[1] > number, latest_first)]

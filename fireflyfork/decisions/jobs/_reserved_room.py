"""Decides for how long the room that is kept for short and for urgent tasks is refused to others.

What is refused must be able to start some day: long-running tasks don't end by themselves, so a
refusal that waits for their end may last for ever.
"""

from __future__ import annotations

from ._placement_round import PlacementRound
from ._runs import Task
from ._service_state import ServiceState

MAX_REFUSED_SECONDS = 3.0
"""How long a long-running task is refused the room for short tasks while there is room for two like
it, or while it is larger than all the room that long-running tasks may take."""
SHORT_TASKS_GONE_SECONDS = 15.0
"""Time without a short task after which no room is kept for them. They come in waves that are 11 to
13 s apart."""
ROOMS_PER_COMPARISON = 16
"""Executors whose free room is read in the time of one comparison of costs."""


class ReservedRoom:
    """The room that is kept free for short tasks and for urgent ones."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to read."""
        self._state = state
        self._short_tasks_seen_at: float | None = None

    def observe(self, placement_round: PlacementRound, now: float) -> None:
        """Note whether short tasks run when a round begins."""
        if self._short_tasks_seen_at is None or placement_round.short_task_millis > 0:
            self._short_tasks_seen_at = now

    def is_refused(
        self, task: Task, placement_round: PlacementRound, waited_seconds: float, now: float
    ) -> bool:
        """Whether a task can't have room now because it is kept for others.

        ``waited_seconds`` is the time since this owner first tried to place the task's step.
        """
        room = self._state.policies.room
        if placement_round.would_take_urgent_reserve(task, room.urgent_share()):
            return True
        share = room.short_task_share()
        if not placement_round.would_take_short_task_reserve(task, share):
            return False
        if waited_seconds >= MAX_REFUSED_SECONDS and self._yields(task, placement_round, share):
            return False
        return not self._short_tasks_are_gone(now)

    @staticmethod
    def _yields(task: Task, placement_round: PlacementRound, share: float) -> bool:
        """Whether short tasks keep some room even if a long-running task takes what it needs.

        A task that is larger than all that long-running tasks may take could never start otherwise.
        """
        if task.spec.reserved_cpu_millis > placement_round.total_millis * (1 - share):
            return True
        placement_round.other_work += len(placement_round.usable) // ROOMS_PER_COMPARISON
        return placement_round.current_free_room().may_fit_copies(task.spec, 2)

    def _short_tasks_are_gone(self, now: float) -> bool:
        """Whether no short task has run for a while, and none waits."""
        seen_at = self._short_tasks_seen_at
        if seen_at is None or now - seen_at < SHORT_TASKS_GONE_SECONDS:
            return False
        waiting = (task.spec for task, _ in self._state.waiting.by_step())
        return not any(step.reserved_cpu_millis and not step.long_running for step in waiting)

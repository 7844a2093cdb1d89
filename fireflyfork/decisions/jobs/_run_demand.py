"""What a run counts for in the sums that are kept for its executor."""

from __future__ import annotations

from typing import NamedTuple

from ._runs import Run


class RunDemand(NamedTuple):
    """The resources of a run, as they were when it was counted.

    A sum is reduced by exactly what was added to it, whatever has changed in between: the priority of
    a queue changes with the configuration while its runs go on.
    """

    reserved_cpu_millis: int
    urgent_cpu_millis: int
    long_running_cpu_millis: int
    memory_mb: int
    accelerators: int
    best_effort_cpu_millis: int
    serving_cpu_millis: int
    serving_image: str | None
    """The image of a serving task; None for other tasks."""
    disturbing_image: str
    disturbing_cpu_millis: int
    """0 for serving tasks."""

    @classmethod
    def of(cls, run: Run) -> RunDemand:
        """Return the present demand of a run."""
        step = run.task.spec
        reserved = step.reserved_cpu_millis
        is_urgent = not run.task.job.queue.priority and not step.long_running
        is_serving = bool(step.tail_target_ms)
        return cls(
            reserved,
            reserved if is_urgent else 0,
            reserved if step.long_running else 0,
            step.memory_mb,
            step.accelerators,
            step.cpu_millis if step.uses_leftover_cpu else 0,
            reserved if is_serving else 0,
            step.image if is_serving else None,
            step.image,
            0 if is_serving else step.cpu_millis,
        )

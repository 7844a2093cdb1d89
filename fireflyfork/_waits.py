"""The reasons why a task waits for an executor."""

from __future__ import annotations

from enum import Enum


class WaitReason(Enum):
    """Why a task could not be placed on an executor."""

    NOTHING = ""
    HELD = "held for executors"
    """A previous owner may have started the task on an executor that has not answered yet."""
    PROCESSORS = "no processors"
    MEMORY = "no memory"
    DISTURBS = "would disturb services"
    """Executors have room, but the task would slow the services on them too much."""
    RESERVED = "room kept for short work"
    BEHIND = "behind more urgent work"
    """Placement was not attempted, since too many more urgent tasks could not be placed."""
    NEXT_ROUND = "next round of placing"
    """Placement was not attempted yet, since the round has made as many comparisons as it may."""
    TRIAL = "few tasks of its step are tried"
    """Tasks of the step fail on executors that do well otherwise."""
    NEAR_DATA = "executors near its data"
    """The task waits for an executor on the rack of its data, since it would lose more elsewhere."""
    ADVICE = "advice"
    """No executor is known to be allowed to run the step: the advisor hasn't answered yet."""
    OTHER = "other limits"
    """Labels or limits per executor exclude the task, or no executor has enough resources."""

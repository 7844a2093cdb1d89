"""What a task that waits is waiting for."""

from __future__ import annotations

from enum import Enum


class WaitReason(Enum):
    """Why a task found no place."""

    NOTHING = ""
    HELD = "held for executors"
    """An earlier owner may have started it on an executor that has not answered yet."""
    PROCESSORS = "no processors"
    MEMORY = "no memory"
    DISTURBS = "would disturb services"
    """There is room, but only beside services that it would slow too much."""
    RESERVED = "room kept for short work"
    BEHIND = "behind more urgent work"
    """It was not looked at: too many before it found no place."""
    OTHER = "other limits"
    """Labels, limits per executor, or no executor with enough of everything."""

"""Makes room for urgent tasks: stops or pauses less urgent runs, and keeps room for short tasks."""

from ._preemption import Preemption

__all__ = ["Preemption"]

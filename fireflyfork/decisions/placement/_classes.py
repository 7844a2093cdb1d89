"""Task classes, for which sizes and interference are learned."""

from typing import NewType

TaskClass = NewType("TaskClass", str)
"""Names a kind of recurring work, such as one service or a nightly job of a team."""

"""Classes of work: the unit about which sizes and interference are learned."""

from typing import NewType

TaskClass = NewType("TaskClass", str)
"""A kind of work that recurs, such as one service or one team's nightly job."""

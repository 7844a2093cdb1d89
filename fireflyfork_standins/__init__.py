"""Test and demo implementations of the services that the users' platform provides.

The product never imports this package.
"""

from ._history_checks import history_problems
from ._simulated_workers import EventKind, Faults, HistoryEvent, SimulatedWorkers
from ._switches import Switches

__all__ = [
    "EventKind",
    "Faults",
    "HistoryEvent",
    "SimulatedWorkers",
    "Switches",
    "history_problems",
]

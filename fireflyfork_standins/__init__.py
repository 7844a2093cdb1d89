"""Small stand-ins for what the platform gives. The product never imports this package."""

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

"""The users' platform in one process: store, executors, callers, and trouble, on a virtual clock."""

from ._executors import ExecutorTrouble, StandInExecutor, StandInExecutorCalls
from ._history import History, Violation
from ._store import StandInStore, StoreTrouble
from ._wire_callers import WireCallers
from ._wire_platform import WireLayout, WirePlatform
from ._world import TROUBLES, UPKEEP_TROUBLES, Profile, Report, run_world

__all__ = [
    "TROUBLES",
    "UPKEEP_TROUBLES",
    "ExecutorTrouble",
    "History",
    "Profile",
    "Report",
    "StandInExecutor",
    "StandInExecutorCalls",
    "StandInStore",
    "StoreTrouble",
    "Violation",
    "WireCallers",
    "WireLayout",
    "WirePlatform",
    "run_world",
]

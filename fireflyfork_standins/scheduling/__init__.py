"""A simulation of the users' platform: store, executors, callers and failures on a virtual clock."""

from ._advisor import AdvisorProfile, AdvisorTrouble, StandInAdvisor, StandInAdvisorCalls
from ._day import Burst, Profile, Report, run_day
from ._deterministic_run import run_deterministically
from ._executor_calls import StandInExecutorCalls
from ._executors import ExecutorTrouble, StandInExecutor
from ._history import History, Violation
from ._machines import StandInMachines, machine_of
from ._nodes import UNIX_MS_AT_START, StandInNode
from ._region_link import Purpose, Region, RegionLink
from ._regions import Evacuation, RegionProfile, RouteChange
from ._replicas import ReplicaNetwork, StandInReplicaPeers
from ._store import StandInStore, StoreTrouble
from ._troubles import (
    ADVISOR_TROUBLES,
    ALL_TROUBLES,
    INCARNATION_TROUBLES,
    TROUBLES,
    UPKEEP_TROUBLES,
)
from ._wire_callers import WireCallers
from ._wire_platform import WireLayout, WirePlatform

__all__ = [
    "ADVISOR_TROUBLES",
    "ALL_TROUBLES",
    "INCARNATION_TROUBLES",
    "TROUBLES",
    "UNIX_MS_AT_START",
    "UPKEEP_TROUBLES",
    "AdvisorProfile",
    "AdvisorTrouble",
    "Burst",
    "Evacuation",
    "ExecutorTrouble",
    "History",
    "Profile",
    "Purpose",
    "Region",
    "RegionLink",
    "RegionProfile",
    "ReplicaNetwork",
    "Report",
    "RouteChange",
    "StandInAdvisor",
    "StandInAdvisorCalls",
    "StandInExecutor",
    "StandInExecutorCalls",
    "StandInMachines",
    "StandInNode",
    "StandInReplicaPeers",
    "StandInStore",
    "StoreTrouble",
    "Violation",
    "WireCallers",
    "WireLayout",
    "WirePlatform",
    "machine_of",
    "run_day",
    "run_deterministically",
]

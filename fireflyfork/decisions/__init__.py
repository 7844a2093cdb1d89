"""Pure decisions: immutable state, an event and the time in; new state and commands out."""

from ._connections import (
    ConnectionChoice,
    ConnectionDecision,
    ConnectionId,
    ConnectionPool,
    ConnectionTerms,
    IdleConnection,
    PathState,
)
from ._routing import (
    LeavingMark,
    LeavingTargets,
    LinkBudget,
    MemberFigures,
    OwnTarget,
    Route,
    RouteKind,
    RouteQuestion,
    partition_of,
    route,
)
from ._slots import (
    HandedSlot,
    OccupiedSlot,
    SlotHandover,
    SlotLedger,
    SlotRefusal,
    SlotTerms,
)

__all__ = [
    "ConnectionChoice",
    "ConnectionDecision",
    "ConnectionId",
    "ConnectionPool",
    "ConnectionTerms",
    "HandedSlot",
    "IdleConnection",
    "LeavingMark",
    "LeavingTargets",
    "LinkBudget",
    "MemberFigures",
    "OccupiedSlot",
    "OwnTarget",
    "PathState",
    "Route",
    "RouteKind",
    "RouteQuestion",
    "SlotHandover",
    "SlotLedger",
    "SlotRefusal",
    "SlotTerms",
    "partition_of",
    "route",
]

"""Waves of upkeep that operators ask for, and the machines that they concern."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..._ids import ExecutorId, MachineId, ServiceName


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """A number of machines that are to have their upkeep, a few at a time."""

    number: int
    machines: tuple[MachineId, ...]
    most_at_once: int
    """At most so many of them may be down for it at one time."""


class MachineState(Enum):
    """What the platform says of a machine."""

    UP = "up"
    MOVING = "moving"
    """On its way to another service."""
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class MachineListing:
    """One machine as the platform lists it."""

    machine: MachineId
    service: ServiceName
    state: MachineState
    executor: ExecutorId | None
    """Its present life, where it has one."""


class UpkeepPhase(Enum):
    """How far a machine's upkeep in one wave is."""

    ORDERED = "ordered"
    """The order may have been sent: it counts as down until it is known to have begun."""
    BEGUN = "begun"
    """The platform has accepted the order."""


@dataclass(frozen=True, slots=True)
class UpkeepMark:
    """What is stored of a machine's upkeep in one wave."""

    phase: UpkeepPhase
    executor: ExecutorId | None
    """Its life that the order was to end."""


class UpkeepOutcome(Enum):
    """How the platform answered the order to begin a machine's upkeep."""

    ACCEPTED = "accepted"
    """It begins now, or had begun in this wave before."""
    FENCED = "fenced"
    """An order with a higher fencing token has been seen for this machine."""
    BUSY = "busy"
    """The machine is not up, or is leaving."""
    OTHER_WAVE = "other-wave"
    """The machine is not one of the wave's."""
    UNKNOWN_MACHINE = "unknown-machine"
    UNKNOWN = "unknown"
    """No answer: it may have begun, or may begin in a few seconds."""

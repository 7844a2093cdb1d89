"""The waves of upkeep that operators request, and their machines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..._ids import ExecutorId, MachineId, ServiceName


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines that go down for upkeep at an operator's request, a few at a time."""

    number: int
    machines: tuple[MachineId, ...]
    max_at_once: int
    """Maximum number of machines of the wave that may be down for upkeep at the same time."""


class MachineState(Enum):
    """The state of a machine as reported by the platform."""

    UP = "up"
    MOVING = "moving"
    """The machine is being moved to another service."""
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class MachineListing:
    """One machine as listed by the platform."""

    machine: MachineId
    service: ServiceName
    state: MachineState
    executor: ExecutorId | None
    """The id of the executor on the machine, or None if there is no executor."""


class UpkeepPhase(Enum):
    """The phase of a machine's upkeep in one wave."""

    ORDERED = "ordered"
    """The order may have been sent: the machine counts as down until its upkeep is known to have
    begun."""
    BEGUN = "begun"
    """The platform has accepted the order."""


@dataclass(frozen=True, slots=True)
class UpkeepMark:
    """The stored state of a machine's upkeep in one wave."""

    phase: UpkeepPhase
    executor: ExecutorId | None
    """The executor on the machine when the order was sent; None if there was none or the upkeep has
    begun."""


class UpkeepOutcome(Enum):
    """How the platform answered the order to begin a machine's upkeep."""

    ACCEPTED = "accepted"
    """The upkeep begins now, or had already begun in this wave."""
    FENCED = "fenced"
    """The machine has received an order with a higher fencing token."""
    BUSY = "busy"
    """The machine is not up, or is leaving."""
    OTHER_WAVE = "other-wave"
    """The machine is not part of the wave."""
    UNKNOWN_MACHINE = "unknown-machine"
    UNKNOWN = "unknown"
    """No answer: the upkeep may have begun, or may still begin in a few seconds."""

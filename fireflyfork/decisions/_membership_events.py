"""What happens to a member, and what it wants done: events and commands."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from .._ids import MemberId, PartitionId, Revision
from ._fleet import FleetRecord, OccupiedSlots
from ._rights import GuardAnswer

_NO_REVISION = Revision(0)


class ChangeKind(Enum):
    """What a write of the record is for."""

    JOIN = "join"
    FENCE = "fence"
    TAKE_OVER = "take-over"
    CHANGE_GUARD = "change-guard"
    MOVE = "move"
    LEAVE = "leave"


class WriteOutcome(Enum):
    """What is known of a compare-and-swap."""

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"
    """No answer came: it took effect, will yet, or never will."""


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on. Expected several times a second."""


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The store answered a read."""

    record: FleetRecord | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The store did not answer a read in time."""


@dataclass(frozen=True, slots=True)
class RecordHeard:
    """A watch or a peer brought a record. It proves no right, only what has changed."""

    record: FleetRecord
    revision: Revision


@dataclass(frozen=True, slots=True)
class GuardAsked:
    """A member asks this one, as its guard."""

    asker: MemberId
    nonce: int
    revision: Revision
    """The asker's."""


@dataclass(frozen=True, slots=True)
class GuardAnswered:
    """The guard answered the question with this nonce."""

    nonce: int
    answer: GuardAnswer
    revision: Revision
    """The guard's."""


@dataclass(frozen=True, slots=True)
class WriteEnded:
    """The store answered a write, or did not."""

    outcome: WriteOutcome
    revision: Revision = _NO_REVISION
    """The new one, if won."""


@dataclass(frozen=True, slots=True)
class OccupiedCollected:
    """What may still be busy in the partitions about to be handed over."""

    occupied: Mapping[PartitionId, tuple[OccupiedSlots, ...]]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process is to stop."""


@dataclass(frozen=True, slots=True)
class MemberGone:
    """A member's instance is known to be terminated for good; see ``fence_gone``."""

    member_id: MemberId


Event = (
    Tick
    | RecordRead
    | ReadFailed
    | RecordHeard
    | GuardAsked
    | GuardAnswered
    | WriteEnded
    | OccupiedCollected
    | LeaveRequested
    | MemberGone
)

# Commands


@dataclass(frozen=True, slots=True)
class AskGuard:
    """Ask the guard, or another peer; what it answers comes back as ``GuardAnswered``."""

    peer: MemberId
    nonce: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class AnswerAsker:
    """Answer a member's question."""

    asker: MemberId
    nonce: int
    answer: GuardAnswer
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record from the store; ends in ``RecordRead`` or ``ReadFailed``."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Compare-and-swap the record; ends in ``WriteEnded``."""

    record: FleetRecord
    expected: Revision
    kind: ChangeKind


@dataclass(frozen=True, slots=True)
class CollectOccupied:
    """Dispatch for these partitions has stopped: answer with ``OccupiedCollected``."""

    partitions: tuple[PartitionId, ...]


@dataclass(frozen=True, slots=True)
class OfferRecord:
    """Send the record to these members."""

    members: tuple[MemberId, ...]
    record: FleetRecord
    revision: Revision


Command = AskGuard | AnswerAsker | ReadRecord | WriteRecord | CollectOccupied | OfferRecord
Commands = tuple[Command, ...]

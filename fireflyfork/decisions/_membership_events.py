"""The events and commands of the membership state machine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from .._ids import MemberId, PartitionId, Revision
from ._fleet import FleetRecord, OccupiedSlots
from ._rights import GuardAnswer

_NO_REVISION = Revision(0)


class ChangeKind(Enum):
    """Purpose of a change of the fleet record."""

    JOIN = "join"
    FENCE = "fence"
    TAKE_OVER = "take-over"
    CHANGE_GUARD = "change-guard"
    MOVE = "move"
    LEAVE = "leave"


class WriteOutcome(Enum):
    """Outcome of a compare-and-swap as known to its sender."""

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"
    """No answer arrived: the write may have taken effect, may do so later, or may never do so."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Expected several times a second."""


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The store answered a read."""

    record: FleetRecord | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The store did not answer a read in time."""


@dataclass(frozen=True, slots=True)
class RecordReceived:
    """A watch or a peer delivered a record. It doesn't prove the right to dispatch."""

    record: FleetRecord
    revision: Revision


@dataclass(frozen=True, slots=True)
class GuardAsked:
    """A question from another member arrived: from a ward, or to compare revisions."""

    asker: MemberId
    nonce: int
    revision: Revision
    """The revision of the asker's record."""


@dataclass(frozen=True, slots=True)
class GuardAnswered:
    """The guard or another peer answered the question with this nonce."""

    nonce: int
    answer: GuardAnswer
    revision: Revision
    """The revision of the answering member's record."""


@dataclass(frozen=True, slots=True)
class WriteEnded:
    """A write to the store was answered or timed out."""

    outcome: WriteOutcome
    revision: Revision = _NO_REVISION
    """The new revision of the record if the write was won."""


@dataclass(frozen=True, slots=True)
class OccupiedCollected:
    """The slots that may still be occupied in the partitions about to be handed over."""

    occupied: Mapping[PartitionId, tuple[OccupiedSlots, ...]]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """A planned stop of the process was requested."""


@dataclass(frozen=True, slots=True)
class MemberTerminated:
    """A member's instance is known to be terminated for good; see ``fence_terminated``."""

    member_id: MemberId


Event = (
    Tick
    | RecordRead
    | ReadFailed
    | RecordReceived
    | GuardAsked
    | GuardAnswered
    | WriteEnded
    | OccupiedCollected
    | LeaveRequested
    | MemberTerminated
)


@dataclass(frozen=True, slots=True)
class AskGuard:
    """Send a question to the guard or another peer; its answer arrives as ``GuardAnswered``."""

    peer: MemberId
    nonce: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class AnswerAsker:
    """Send the answer to a member's question."""

    asker: MemberId
    nonce: int
    answer: GuardAnswer
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record from the store; results in ``RecordRead`` or ``ReadFailed``."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Compare-and-swap the record; results in ``WriteEnded``."""

    record: FleetRecord
    expected: Revision
    kind: ChangeKind


@dataclass(frozen=True, slots=True)
class CollectOccupied:
    """Collect the occupied slots of partitions whose dispatch has stopped.

    Results in ``OccupiedCollected``.
    """

    partitions: tuple[PartitionId, ...]


@dataclass(frozen=True, slots=True)
class OfferRecord:
    """Send the record to other members."""

    members: tuple[MemberId, ...]
    record: FleetRecord
    revision: Revision


Command = AskGuard | AnswerAsker | ReadRecord | WriteRecord | CollectOccupied | OfferRecord
Commands = tuple[Command, ...]

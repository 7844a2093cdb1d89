"""The slots and connections of one target, counted by the one entry that owns it.

The owner alone sends work to the target, so that staying within its contract is a local check. A
slot is occupied from just before a request is sent until the target answered, the request is
proved not to have run, or so much time has passed that the target has surely ended it. That the
caller gave up frees nothing: the executor is still at work.

Assumptions, which the adapters have to keep true:

* A request leaves within ``START_WITHIN_SECONDS`` of its slot being taken or is aborted, and
  ``TCP_USER_TIMEOUT`` ends a connection whose bytes are not acknowledged within the rest of it.
* An executor starts a request as it arrives and ends it within the contract's longest run time.
* Clocks of members drift by less than ``CLOCK_DRIFT``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .._contracts import ServiceContract, TargetContract
from .._ids import RequestId

START_WITHIN_SECONDS = 5.0
"""From taking a slot until the request can no longer start: writing it and delivering it."""

CLOCK_DRIFT = 0.02
"""Twice the drift assumed of one clock, since a hold may pass from one clock to another."""

CONNECTION_SHARE = 2
"""An owner opens at most one in so many of the contract's connections.

The connections of an owner that died count against its successor until the target has surely
dropped them. If one owner used them all, its successor could open none.
"""


class SlotRefusal(Enum):
    """Why a target can't be given something new."""

    FULL = "full"
    LEAVING = "leaving"
    HANDED_OVER = "handed-over"
    """Another member owns the target now, or is about to."""
    DUPLICATE = "duplicate"
    """The attempt already holds a slot: a message came twice."""


@dataclass(frozen=True, slots=True)
class SlotTerms:
    """What the contracts allow at one target."""

    slots: int
    connections: int
    own_connections: int
    """The most that one owner opens."""
    hold_seconds: float
    """From taking a slot until the target has surely ended the request."""

    @classmethod
    def from_contracts(cls, target: TargetContract, service: ServiceContract) -> SlotTerms:
        """The terms of a target of that service."""
        share = max(target.slots, target.connections // CONNECTION_SHARE)
        return cls(
            slots=target.slots,
            connections=target.connections,
            own_connections=min(target.connections, share),
            hold_seconds=(START_WITHIN_SECONDS + service.longest_run_seconds) * (1 + CLOCK_DRIFT),
        )


@dataclass(frozen=True, slots=True)
class OccupiedSlot:
    """A slot that can't be given away."""

    attempt: RequestId | None
    """The attempt that holds it; None when the previous owner left no word about it."""
    until: float
    """When it is surely free, by the holder's monotonic clock in seconds."""


@dataclass(frozen=True, slots=True)
class HandedSlot:
    """An occupied slot on its way to the next owner, whose clock is another one."""

    attempt: RequestId | None
    remaining_seconds: float


@dataclass(frozen=True, slots=True)
class SlotHandover:
    """What an owner tells its successor about one target."""

    occupied: tuple[HandedSlot, ...]
    connections: int
    """Connections that may be open to the target."""
    leaving: bool


@dataclass(frozen=True, slots=True)
class SlotLedger:
    """The count of one target's slots and connections. Every change makes a new ledger."""

    terms: SlotTerms
    occupied: tuple[OccupiedSlot, ...] = ()
    own_connections: int = 0
    """Connections that this owner has open or is opening."""
    inherited_connections: int = 0
    """Connections that an earlier owner may still have open."""
    inherited_until: float = 0.0
    """When those are surely closed."""
    leaving: bool = False
    handed_over: bool = False

    @classmethod
    def after_handover(cls, terms: SlotTerms, handover: SlotHandover, now: float) -> SlotLedger:
        """Begin with what the previous owner wrote down when it stopped sending.

        The time that the handover was under way only lengthens the holds.
        """
        return cls(
            terms,
            tuple(OccupiedSlot(s.attempt, now + s.remaining_seconds) for s in handover.occupied),
            inherited_connections=handover.connections,
            inherited_until=now + terms.hold_seconds,
            leaving=handover.leaving,
        )

    @classmethod
    def after_fence(
        cls, terms: SlotTerms, now: float, ceiling: int | None = None, leaving: bool = False
    ) -> SlotLedger:
        """Begin after an owner that left no word; ``now`` is after its right to send has ended.

        Every slot it had the right to use may be busy, and the successor can't tell which. If it
        counted fewer, the target would be given more than it can hold as soon as one guess was
        wrong. ``ceiling`` is the most slots that the previous owner could use, if that is known.
        """
        busy = terms.slots if ceiling is None else min(ceiling, terms.slots)
        until = now + terms.hold_seconds
        return cls(
            terms,
            (OccupiedSlot(None, until),) * busy,
            inherited_connections=terms.own_connections,
            inherited_until=until,
            leaving=leaving,
        )

    def acquire(self, attempt: RequestId, now: float) -> SlotLedger | SlotRefusal:
        """Take a slot for one attempt. Attempt ids are never used again, not even for a retry.

        If a retry took the id of the attempt before it, the late answer to the first would free
        the slot that the second still occupies.
        """
        if self.handed_over:
            return SlotRefusal.HANDED_OVER
        if self.leaving:
            return SlotRefusal.LEAVING
        occupied = self.occupied
        if len(occupied) >= self.terms.slots:
            occupied = self._still_occupied(now)
            if len(occupied) >= self.terms.slots:
                return SlotRefusal.FULL
        for slot in occupied:
            if slot.attempt == attempt:
                return SlotRefusal.DUPLICATE
        taken = OccupiedSlot(attempt, now + self.terms.hold_seconds)
        return self._with_occupied((*occupied, taken))

    def release(self, attempt: RequestId) -> SlotLedger:
        """Free the slot: the target answered in full, or the attempt is proved not to have run.

        An attempt that holds no slot changes nothing, as answers come late and twice.
        """
        kept = tuple(slot for slot in self.occupied if slot.attempt != attempt)
        return self if len(kept) == len(self.occupied) else self._with_occupied(kept)

    def release_inherited(self) -> SlotLedger:
        """Free one slot of the previous owner, which says that its request has ended."""
        for index, slot in enumerate(self.occupied):
            if slot.attempt is None:
                return self._with_occupied((*self.occupied[:index], *self.occupied[index + 1 :]))
        return self

    def attempts(self) -> tuple[RequestId, ...]:
        """The attempts of this owner that hold slots."""
        return tuple(slot.attempt for slot in self.occupied if slot.attempt is not None)

    def busy(self, now: float) -> int:
        """How many slots may be occupied."""
        return sum(slot.until > now for slot in self.occupied)

    def free(self, now: float) -> int:
        """How many slots can be given away at once."""
        if self.leaving or self.handed_over:
            return 0
        return max(0, self.terms.slots - self.busy(now))

    def next_free_at(self, now: float) -> float:
        """When the next slot is surely free, at the latest; ``now`` if one is free already."""
        if self.busy(now) < self.terms.slots:
            return now
        return min(slot.until for slot in self.occupied if slot.until > now)

    def open_connection(self, now: float) -> SlotLedger | SlotRefusal:
        """Count a connection before it is opened."""
        if self.handed_over:
            return SlotRefusal.HANDED_OVER
        own = self.own_connections + 1
        if own > self.terms.own_connections:
            return SlotRefusal.FULL
        if own + self._inherited(now) > self.terms.connections:
            return SlotRefusal.FULL
        return self._with_connections(own)

    def close_connection(self) -> SlotLedger:
        """Count a connection that is closed or failed to open."""
        return self._with_connections(max(0, self.own_connections - 1))

    def leave(self) -> SlotLedger:
        """The target is leaving: it gets nothing new, and what runs on it goes on."""
        return self._marked(leaving=True, handed_over=self.handed_over)

    def rejoin(self) -> SlotLedger:
        """The target is back, so it may be given work again."""
        return self._marked(leaving=False, handed_over=self.handed_over)

    def hand_over(self, now: float) -> tuple[SlotLedger, SlotHandover]:
        """Stop sending, and write down what is occupied for the next owner."""
        occupied = tuple(
            HandedSlot(slot.attempt, slot.until - now) for slot in self._still_occupied(now)
        )
        connections = self.own_connections + self._inherited(now)
        handover = SlotHandover(occupied, connections, self.leaving)
        return self._marked(leaving=self.leaving, handed_over=True), handover

    def take_back(self) -> SlotLedger:
        """Send again. Only when the handover is known not to have taken effect."""
        return self._marked(leaving=self.leaving, handed_over=False)

    def with_terms(self, terms: SlotTerms) -> SlotLedger:
        """Apply a changed contract. Requests that run already are not affected."""
        return SlotLedger(
            terms,
            self.occupied,
            self.own_connections,
            self.inherited_connections,
            self.inherited_until,
            self.leaving,
            self.handed_over,
        )

    def _still_occupied(self, now: float) -> tuple[OccupiedSlot, ...]:
        return tuple(slot for slot in self.occupied if slot.until > now)

    def _inherited(self, now: float) -> int:
        return self.inherited_connections if self.inherited_until > now else 0

    def _with_occupied(self, occupied: tuple[OccupiedSlot, ...]) -> SlotLedger:
        return SlotLedger(
            self.terms,
            occupied,
            self.own_connections,
            self.inherited_connections,
            self.inherited_until,
            self.leaving,
            self.handed_over,
        )

    def _with_connections(self, own: int) -> SlotLedger:
        return SlotLedger(
            self.terms,
            self.occupied,
            own,
            self.inherited_connections,
            self.inherited_until,
            self.leaving,
            self.handed_over,
        )

    def _marked(self, leaving: bool, handed_over: bool) -> SlotLedger:
        return SlotLedger(
            self.terms,
            self.occupied,
            self.own_connections,
            self.inherited_connections,
            self.inherited_until,
            leaving,
            handed_over,
        )

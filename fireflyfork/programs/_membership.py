"""Drives the membership decisions against the store and the peers."""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

import trio
from loguru import logger

from .._errors import PeerError, SettingsError, StoreError
from .._ids import ConfigurationVersion, MemberId, PartitionId, Revision
from ..adapters import Store
from ..decisions import (
    FLEET_KEY,
    AnswerAsker,
    AskGuard,
    CollectOccupied,
    Command,
    Event,
    FleetRecord,
    GuardAnswered,
    GuardAsked,
    LeaveRequested,
    Member,
    MemberPhase,
    MembershipState,
    MembershipTiming,
    MemberTerminated,
    OccupiedCollected,
    OccupiedSlots,
    OfferRecord,
    ReadRecord,
    RecordReceived,
    Tick,
    WriteRecord,
    begin_membership,
    decode_fleet,
    encode_fleet,
    holds_right,
    is_watcher,
    may_dispatch,
    step,
    zone_peers,
)
from ._guard_channel import FleetOffer, GuardChannel, GuardQuestion, GuardReply
from ._stored_record import StoredRecord

Occupied = Mapping[PartitionId, tuple[OccupiedSlots, ...]]

_STABLE_SECONDS = 120.0
"""A fence later than this after joining is not taken for a repetition of the last."""
_LONGEST_REJOIN_SECONDS = 63.0


def boot_time() -> float:
    """Seconds that go on while the machine is suspended, unlike the monotonic clock's.

    With that clock a suspended member would wake with a right that has long been taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How a member takes part."""

    timing: MembershipTiming = field(default_factory=MembershipTiming)
    key: str = FLEET_KEY
    """The store key of the record, one for each kind of process."""
    partitions_per_region: int = 32
    """Counts only for the first member of an empty record."""
    tick_seconds: float = 0.2
    store_timeout_seconds: float = 1.0
    """After this a call to the store counts as unanswered."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a member knows, for those that follow changes."""

    member_id: MemberId
    """This process's present one. It changes when the process had to join anew."""
    phase: MemberPhase
    record: FleetRecord
    revision: Revision


class Membership:
    """One process's membership of the fleet.

    ``occupied`` tells, without waiting, what may still be busy in partitions that are handed over;
    dispatch for them has stopped by then. ``changed`` is called after each change and before
    anything else runs, so that a new owner can count busy slots before its first dispatch.
    """

    def __init__(
        self,
        me: Member,
        store: Store,
        channel: GuardChannel,
        new_member_id: Callable[[], MemberId],
        occupied: Callable[[tuple[PartitionId, ...]], Occupied],
        changed: Callable[[FleetView], None] = lambda view: None,
        settings: MembershipSettings | None = None,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        """``me`` carries the first member id; ``new_member_id`` gives the later ones."""
        self._settings = settings or MembershipSettings()
        self._stored = StoredRecord(store, self._settings.key, self._settings.store_timeout_seconds)
        self._channel = channel
        self._new_member_id = new_member_id
        self._occupied = occupied
        self._listener = changed
        self._clock = clock
        self._configuration_version = ConfigurationVersion(0)
        self._state = self._begin(me)
        self._nursery: trio.Nursery | None = None
        self._change_event = trio.Event()
        self._leaving = False
        self._rejoin_at: float | None = None
        self._joined_at = float("-inf")
        self._soon_fenced = 0
        self._random = random.Random(me.member_id)

    @property
    def member_id(self) -> MemberId:
        """This process's present member id."""
        return self._state.me.member_id

    @property
    def phase(self) -> MemberPhase:
        """Where this member stands."""
        return self._state.phase

    @property
    def record(self) -> FleetRecord:
        """The newest record known."""
        return self._state.record

    @property
    def revision(self) -> Revision:
        """The store's revision of that record."""
        return self._state.revision

    @property
    def owned_partitions(self) -> tuple[PartitionId, ...]:
        """The partitions that the record gives to this member."""
        return self._state.record.owned_by(self.member_id)

    @property
    def holds_right(self) -> bool:
        """Whether this member may dispatch for what it owns, now."""
        return holds_right(self._state, self._clock())

    @property
    def is_watcher(self) -> bool:
        """Whether this member watches the store for its failure domain."""
        return self.phase is MemberPhase.ACTIVE and is_watcher(self._state)

    @property
    def zone_mates(self) -> tuple[Member, ...]:
        """The other members of the failure domain, to whom a watcher passes news on."""
        members = self._state.record.members
        return tuple(members[name] for name in zone_peers(self._state))

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """The version told to the guard and to wards."""
        return self._configuration_version

    @configuration_version.setter
    def configuration_version(self, version: ConfigurationVersion) -> None:
        self._configuration_version = version

    def may_dispatch(self, partition: PartitionId) -> bool:
        """Whether to dispatch for a partition now. Ask right before, and anew after any await."""
        return may_dispatch(self._state, partition, self._clock())

    def owner_of(self, partition: PartitionId) -> Member | None:
        """The member that owns a partition; None when nobody does or the owner is fenced."""
        record = self._state.record
        owner = record.owner_of(partition)
        return record.members.get(owner) if owner is not None else None

    async def changes(self) -> AsyncIterator[FleetView]:
        """The present view, then each newer one; views in between may be left out."""
        seen: FleetView | None = None
        while True:
            view = self._view()
            if view != seen:
                seen = view
                yield view
            else:
                await self._change_event.wait()

    # What peers say

    def asked(self, question: GuardQuestion) -> GuardReply:
        """Answer a peer that takes this process for its guard, or compares what both know."""
        asked = GuardAsked(question.asker, question.nonce, question.revision)
        answers = [one for one in self._feed(asked) if isinstance(one, AnswerAsker)]
        return GuardReply(
            question.nonce,
            answers[0].answer,
            answers[0].revision,
            self._configuration_version,
        )

    def offered(self, offer: FleetOffer) -> None:
        """Take in a record that a peer passed on. Raises SettingsError when it is unreadable."""
        if offer.revision > self._state.revision:
            self._feed(RecordReceived(decode_fleet(offer.record), offer.revision))

    def declare_gone(self, member_id: MemberId) -> None:
        """A member's instance is terminated for good, on the word of an operator or of the list."""
        self._feed(MemberTerminated(member_id))

    # Running

    async def run(self) -> None:
        """Take part until cancelled. Call ``leave`` first when the stop is planned."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._keep_ticking)
                nursery.start_soon(self._keep_watching)
        finally:
            self._nursery = None

    async def leave(self, seconds: float) -> bool:
        """Hand everything over. False when that was not possible in time; dispatch goes on then."""
        self._leaving = True
        self._feed(LeaveRequested())
        with trio.move_on_after(seconds):
            while self.phase not in (MemberPhase.LEFT, MemberPhase.FENCED):
                await self._change_event.wait()
        return self.phase is MemberPhase.LEFT

    async def _keep_ticking(self) -> None:
        while True:
            self._feed(Tick())
            self._rejoin_if_fenced()
            await trio.sleep(self._settings.tick_seconds)

    def _rejoin_if_fenced(self) -> None:
        if self.phase is not MemberPhase.FENCED or self._leaving:
            return
        now = self._clock()
        if self._rejoin_at is None:
            self._rejoin_at = now + self._rejoin_delay(now)
            logger.warning("fenced", member=self.member_id, joins_in=self._rejoin_at - now)
        if now < self._rejoin_at:
            return
        before = self._state
        anew = self._begin(replace(before.me, member_id=self._new_member_id(), guard=None))
        self._state = replace(
            anew,
            record=before.record,
            revision=before.revision,
            # A reply to the old id's question must not be taken for one to the new id's.
            next_nonce=before.next_nonce,
        )
        self._rejoin_at = None
        self._joined_at = now
        self._announce()

    def _rejoin_delay(self, now: float) -> float:
        """None at first, then longer with each fence that soon follows the last.

        A member that reaches the store but not its peers is fenced again and again. Each time its
        partitions change owners twice, and their callers meet refusals.
        """
        soon = now - self._joined_at < _STABLE_SECONDS
        self._soon_fenced = self._soon_fenced + 1 if soon else 0
        return min(_LONGEST_REJOIN_SECONDS, float(2**self._soon_fenced - 1))

    def _begin(self, me: Member) -> MembershipState:
        settings = self._settings
        return begin_membership(me, settings.timing, settings.partitions_per_region)

    async def _keep_watching(self) -> None:
        """One member of each failure domain waits for changes in the store, for all of them."""
        while True:
            if not self.is_watcher:
                await self._change_event.wait()
                continue
            try:
                await self._watch_once()
            except (StoreError, SettingsError) as error:
                logger.debug("watch failed", error=str(error))
                await trio.sleep(self._watch_retry_seconds())

    def _watch_retry_seconds(self) -> float:
        """Differently long for each member, so that not all call when the store returns."""
        return self._settings.timing.max_store_retry_seconds * self._random.uniform(0.5, 1.0)

    async def _watch_once(self) -> None:
        stored = await self._stored.wait(self.revision, self._settings.timing.watch_seconds)
        if stored is None or stored.revision <= self.revision:
            return
        offer = FleetOffer(stored.value, stored.revision)
        self.offered(offer)
        for mate in self.zone_mates:
            self._start(partial(self._offer, mate, offer))

    # Commands

    def _feed(self, event: Event) -> tuple[Command, ...]:
        before = self._view()
        self._state, commands = step(self._state, event, self._clock())
        if self._view() != before:
            self._announce()
        for command in commands:
            self._carry_out(command)
        return commands

    def _view(self) -> FleetView:
        state = self._state
        return FleetView(self.member_id, state.phase, state.record, state.revision)

    def _announce(self) -> None:
        self._listener(self._view())
        self._change_event.set()
        self._change_event = trio.Event()

    def _carry_out(self, command: Command) -> None:
        match command:
            case AskGuard():
                self._start(partial(self._ask, command))
            case ReadRecord():
                self._start(self._read)
            case WriteRecord():
                self._start(partial(self._write, command))
            case CollectOccupied():
                self._feed(OccupiedCollected(self._occupied(command.partitions)))
            case OfferRecord():
                self._offer_to(command)
            case AnswerAsker():
                pass

    def _start(self, task: Callable[[], Awaitable[None]]) -> None:
        # A peer may ask just before the start or after the end; what that brings up can wait.
        if self._nursery is not None:
            self._nursery.start_soon(task)

    def _offer_to(self, command: OfferRecord) -> None:
        offer = FleetOffer(encode_fleet(command.record), command.revision)
        for name in command.members:
            peer = self._peer(name)
            if peer is not None:
                self._start(partial(self._offer, peer, offer))

    def _peer(self, name: MemberId) -> Member | None:
        """A member, or a fenced one, which wants to know of its fence."""
        record = self._state.record
        fenced = record.fenced.get(name)
        return fenced.member if fenced is not None else record.members.get(name)

    async def _offer(self, peer: Member, offer: FleetOffer) -> None:
        try:
            await self._channel.offer_fleet(peer, offer)
        except PeerError as error:
            logger.debug("record not passed on", peer=peer.member_id, error=str(error))

    async def _ask(self, command: AskGuard) -> None:
        peer = self._state.record.members.get(command.peer)
        if peer is None:
            return
        asker = self.member_id
        question = GuardQuestion(
            asker, command.nonce, command.revision, self._configuration_version
        )
        try:
            reply = await self._channel.ask(peer, question)
        except PeerError as error:
            logger.debug("peer not reached", peer=peer.member_id, error=str(error))
            return
        if asker == self.member_id:
            self._feed(GuardAnswered(reply.nonce, reply.answer, reply.revision))

    async def _read(self) -> None:
        asker = self.member_id
        event = await self._stored.read()
        if asker == self.member_id:
            self._feed(event)

    async def _write(self, command: WriteRecord) -> None:
        asker = self.member_id
        event = await self._stored.write(command)
        if asker == self.member_id:
            self._feed(event)

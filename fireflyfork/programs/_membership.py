"""Runs the membership state machine against the store and the peers."""

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

OccupiedByPartition = Mapping[PartitionId, tuple[OccupiedSlots, ...]]

_STABLE_SECONDS = 120.0
"""A fence this long after joining is not counted as a repetition of the previous fence."""
_MAX_REJOIN_SECONDS = 63.0


def boot_time() -> float:
    """Return the time since boot in seconds, including the time that the machine was suspended.

    By the monotonic clock, which stops during suspension, a resumed member would still hold a right
    that another member has taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of a process's membership."""

    timing: MembershipTiming = field(default_factory=MembershipTiming)
    key: str = FLEET_KEY
    """The store key of the fleet record; each kind of process has its own record."""
    partitions_per_region: int = 32
    """The number of partitions per region in a new fleet record, which the first member creates."""
    tick_seconds: float = 0.2
    store_timeout_seconds: float = 1.0
    """The time after which a call to the store counts as unanswered."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """A member's view of the fleet at one time, passed to the listener after each change."""

    member_id: MemberId
    """This process's current member id; it changes when the process rejoins after a fence."""
    phase: MemberPhase
    record: FleetRecord
    revision: Revision


class Membership:
    """One process's membership of the fleet.

    ``occupied`` returns, without blocking, the slots that may still be busy in partitions that are
    handed over; it is called after dispatch for them has stopped. ``changed`` is called
    synchronously after each change, so that a new owner can count busy slots before its first
    dispatch.
    """

    def __init__(
        self,
        me: Member,
        store: Store,
        channel: GuardChannel,
        new_member_id: Callable[[], MemberId],
        occupied: Callable[[tuple[PartitionId, ...]], OccupiedByPartition],
        changed: Callable[[FleetView], None] = lambda view: None,
        settings: MembershipSettings | None = None,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        """``me`` has the first member id; ``new_member_id`` creates the id for each rejoin."""
        self._settings = settings or MembershipSettings()
        self._stored = StoredRecord(store, self._settings.key, self._settings.store_timeout_seconds)
        self._channel = channel
        self._new_member_id = new_member_id
        self._occupied = occupied
        self._listener = changed
        self._clock = clock
        self._configuration_version = ConfigurationVersion(0)
        self._state = self._new_state(me)
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()
        self._leaving = False
        self._rejoin_at: float | None = None
        self._joined_at = float("-inf")
        self._repeated_fences = 0
        self._random = random.Random(me.member_id)

    @property
    def member_id(self) -> MemberId:
        """This process's current member id."""
        return self._state.me.member_id

    @property
    def phase(self) -> MemberPhase:
        """The phase of this member, from joining to leaving or being fenced."""
        return self._state.phase

    @property
    def record(self) -> FleetRecord:
        """The latest fleet record received."""
        return self._state.record

    @property
    def revision(self) -> Revision:
        """The store's revision of the latest fleet record."""
        return self._state.revision

    @property
    def owned_partitions(self) -> tuple[PartitionId, ...]:
        """The partitions that the record assigns to this member."""
        return self._state.record.owned_by(self.member_id)

    @property
    def holds_right(self) -> bool:
        """Whether this member may dispatch for its partitions now."""
        return holds_right(self._state, self._clock())

    @property
    def is_watcher(self) -> bool:
        """Whether this member watches the store for its failure domain."""
        return self.phase is MemberPhase.ACTIVE and is_watcher(self._state)

    @property
    def zone_peers(self) -> tuple[Member, ...]:
        """The other members of the failure domain, to which a watcher forwards changes."""
        members = self._state.record.members
        return tuple(members[name] for name in zone_peers(self._state))

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """The configuration version that is reported to the guard and to wards."""
        return self._configuration_version

    @configuration_version.setter
    def configuration_version(self, version: ConfigurationVersion) -> None:
        self._configuration_version = version

    def may_dispatch(self, partition: PartitionId) -> bool:
        """Whether this member may dispatch for a partition now.

        Call it right before each dispatch, and again after any await.
        """
        return may_dispatch(self._state, partition, self._clock())

    def owner_of(self, partition: PartitionId) -> Member | None:
        """Return the member that owns a partition, or None if no member or a fenced member does."""
        record = self._state.record
        owner = record.owner_of(partition)
        return record.members.get(owner) if owner is not None else None

    async def changes(self) -> AsyncIterator[FleetView]:
        """Yield the current view, then newer views; intermediate views may be skipped."""
        seen: FleetView | None = None
        while True:
            view = self._view()
            if view != seen:
                seen = view
                yield view
            else:
                await self._changed.wait()

    def answer_question(self, question: GuardQuestion) -> GuardReply:
        """Answer a peer's guard question, and compare fleet records with the peer."""
        event = GuardAsked(question.asker, question.nonce, question.revision)
        answers = [
            command for command in self._handle_event(event) if isinstance(command, AnswerAsker)
        ]
        return GuardReply(
            question.nonce,
            answers[0].answer,
            answers[0].revision,
            self._configuration_version,
        )

    def handle_fleet_offer(self, offer: FleetOffer) -> None:
        """Apply a peer's fleet record if it is newer. Raises SettingsError if it can't be decoded."""
        if offer.revision > self._state.revision:
            self._handle_event(RecordReceived(decode_fleet(offer.record), offer.revision))

    def report_terminated(self, member_id: MemberId) -> None:
        """Report that a member's instance is terminated permanently.

        The report comes from an operator or from the instance list.
        """
        self._handle_event(MemberTerminated(member_id))

    async def run(self) -> None:
        """Take part in the fleet until cancelled. Call ``leave`` first for a planned stop."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._keep_ticking)
                nursery.start_soon(self._keep_watching)
        finally:
            self._nursery = None

    async def leave(self, seconds: float) -> bool:
        """Hand over all partitions and return whether that succeeded within ``seconds``.

        If it did not, this member may go on dispatching.
        """
        self._leaving = True
        self._handle_event(LeaveRequested())
        with trio.move_on_after(seconds):
            while self.phase not in (MemberPhase.LEFT, MemberPhase.FENCED):
                await self._changed.wait()
        return self.phase is MemberPhase.LEFT

    async def _keep_ticking(self) -> None:
        while True:
            self._handle_event(Tick())
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
        new_state = self._new_state(replace(before.me, member_id=self._new_member_id(), guard=None))
        self._state = replace(
            new_state,
            record=before.record,
            revision=before.revision,
            # A reply to a question of the old id must not match a question of the new id.
            next_nonce=before.next_nonce,
        )
        self._rejoin_at = None
        self._joined_at = now
        self._announce()

    def _rejoin_delay(self, now: float) -> float:
        """Return the seconds to wait before rejoining: 0 at first, then exponential backoff.

        The backoff grows with each fence within ``_STABLE_SECONDS`` of joining. A member that
        reaches the store but not its peers is fenced repeatedly. Each time its partitions change
        owners twice, and callers of these partitions are refused.
        """
        is_repeated = now - self._joined_at < _STABLE_SECONDS
        self._repeated_fences = self._repeated_fences + 1 if is_repeated else 0
        return min(_MAX_REJOIN_SECONDS, float(2**self._repeated_fences - 1))

    def _new_state(self, me: Member) -> MembershipState:
        settings = self._settings
        return begin_membership(me, settings.timing, settings.partitions_per_region)

    async def _keep_watching(self) -> None:
        """Watch the store while this member is the watcher of its failure domain."""
        while True:
            if not self.is_watcher:
                await self._changed.wait()
                continue
            try:
                await self._watch_once()
            except (StoreError, SettingsError) as error:
                logger.debug("fleet record watch failed", error=str(error))
                await trio.sleep(self._watch_retry_seconds())

    def _watch_retry_seconds(self) -> float:
        """Return the retry interval with jitter, so that members don't all call at the same time."""
        return self._settings.timing.max_store_retry_seconds * self._random.uniform(0.5, 1.0)

    async def _watch_once(self) -> None:
        stored = await self._stored.wait(self.revision, self._settings.timing.watch_seconds)
        if stored is None or stored.revision <= self.revision:
            return
        offer = FleetOffer(stored.value, stored.revision)
        self.handle_fleet_offer(offer)
        for peer in self.zone_peers:
            self._start(partial(self._offer, peer, offer))

    def _handle_event(self, event: Event) -> tuple[Command, ...]:
        before = self._view()
        self._state, commands = step(self._state, event, self._clock())
        if self._view() != before:
            self._announce()
        for command in commands:
            self._execute(command)
        return commands

    def _view(self) -> FleetView:
        state = self._state
        return FleetView(self.member_id, state.phase, state.record, state.revision)

    def _announce(self) -> None:
        self._listener(self._view())
        self._changed.set()
        self._changed = trio.Event()

    def _execute(self, command: Command) -> None:
        match command:
            case AskGuard():
                self._start(partial(self._ask, command))
            case ReadRecord():
                self._start(self._read)
            case WriteRecord():
                self._start(partial(self._write, command))
            case CollectOccupied():
                self._handle_event(OccupiedCollected(self._occupied(command.partitions)))
            case OfferRecord():
                self._start_offers(command)
            case AnswerAsker():
                pass

    def _start(self, task: Callable[[], Awaitable[None]]) -> None:
        # A peer's question may arrive before `run` has started or after it has ended. The commands
        # that result from it can be dropped.
        if self._nursery is not None:
            self._nursery.start_soon(task)

    def _start_offers(self, command: OfferRecord) -> None:
        offer = FleetOffer(encode_fleet(command.record), command.revision)
        for name in command.members:
            peer = self._peer(name)
            if peer is not None:
                self._start(partial(self._offer, peer, offer))

    def _peer(self, name: MemberId) -> Member | None:
        """Return a current or fenced member; a fenced member must be notified of its fence."""
        record = self._state.record
        fenced = record.fenced.get(name)
        return fenced.member if fenced is not None else record.members.get(name)

    async def _offer(self, peer: Member, offer: FleetOffer) -> None:
        try:
            await self._channel.offer_fleet(peer, offer)
        except PeerError as error:
            logger.debug("fleet record not sent to peer", peer=peer.member_id, error=str(error))

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
            logger.debug("no reply to guard question", peer=peer.member_id, error=str(error))
            return
        if asker == self.member_id:
            self._handle_event(GuardAnswered(reply.nonce, reply.answer, reply.revision))

    async def _read(self) -> None:
        asker = self.member_id
        event = await self._stored.read()
        if asker == self.member_id:
            self._handle_event(event)

    async def _write(self, command: WriteRecord) -> None:
        asker = self.member_id
        event = await self._stored.write(command)
        if asker == self.member_id:
            self._handle_event(event)

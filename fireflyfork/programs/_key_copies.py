"""Copies of started keys at the guard of their home, made before the request is dispatched.

When a home is lost, its guard gives its partitions to new owners and sends them what it holds. The
new homes then know every key that may have run. Without the copies each key of unknown age would
have to be taken for one that may have run, and for the retention time callers would be refused
whose requests never reached anybody.

A copy counts only if the guard was told under the very epoch in which it became the guard. A home
that left its guard and came back would otherwise be followed by a copy that lacks the keys that
were started in between, and a repeat of one of them would run a second time.
"""

from __future__ import annotations

import itertools
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from .._errors import PeerError, RequestError
from .._ids import Epoch, IdempotencyKey, MemberId, PartitionId
from .._verdict import Verdict
from ..adapters import Control, Peers, decode_content, encode_content
from ..decisions import Acquisition, FleetRecord, KeyTable, KeyTerms
from ._control_handler import ControlHandler, TypedHandler
from ._ownership import Guard, OwnershipView

KEY_SNAPSHOT = "key-snapshot"
KEY_STARTED = "key-started"
KEY_NOT_RUN = "key-not-run"
KEY_COPIED = "key-copied"

REPLY_SECONDS = 0.3
RETRY_SECONDS = 0.05
KEEP_SECONDS = 0.5
"""Between two looks for partitions whose copies are missing."""


@dataclass(frozen=True, slots=True)
class CopyTerm:
    """What a copy is of. Two copies with different terms have nothing to do with each other."""

    partition: PartitionId
    since: Epoch
    """When the home acquired the partition."""
    guarded_since: Epoch
    """When the home's guard was chosen."""


@dataclass(frozen=True, slots=True)
class KeySnapshot:
    """The whole table of a partition."""

    sequence: int
    term: CopyTerm
    table: KeyTable


@dataclass(frozen=True, slots=True)
class KeyStarted:
    """A request is about to be dispatched."""

    sequence: int
    term: CopyTerm
    key: IdempotencyKey
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyNotRun:
    """A request that was announced is proved not to have run."""

    sequence: int
    term: CopyTerm
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class KeyCopied:
    """The reply to a snapshot or a start."""

    sequence: int
    held: bool
    """False when the guard holds no copy of that term, so that a snapshot has to come first."""


@dataclass(frozen=True, slots=True)
class HomeTable:
    """The table of a home at this moment."""

    since: Epoch
    table: KeyTable


TableOf = Callable[[PartitionId], HomeTable | None]


class KeyCopySender(ControlHandler):
    """The home's side."""

    def __init__(self, ownership: OwnershipView, peers: Peers) -> None:
        """Call ``attach`` before use."""
        self._ownership = ownership
        self._peers = peers
        self._table_of: TableOf = lambda partition: None
        self._sequence = itertools.count(1)
        self._held: dict[PartitionId, tuple[MemberId, CopyTerm]] = {}
        self._locks: defaultdict[PartitionId, trio.Lock] = defaultdict(trio.Lock)
        self._waiting: dict[int, trio.Event] = {}
        self._replies: dict[int, KeyCopied] = {}

    def attach(self, table_of: TableOf) -> None:
        """``table_of`` tells the present table of a partition whose home is here."""
        self._table_of = table_of

    async def keep(self, partitions: Callable[[], tuple[PartitionId, ...]]) -> None:
        """Keep the guard supplied with a copy of each partition, also of those without keys.

        Of a partition that its guard holds no copy of, nothing is known when its home is lost.
        """
        while True:
            guard = self._ownership.guard()
            for partition in partitions():
                home = self._table_of(partition)
                if guard is not None and home is not None:
                    term = CopyTerm(partition, home.since, guard.since)
                    async with self._locks[partition]:
                        if self._held.get(partition) != (guard.member_id, term):
                            await self._send_snapshot(guard, term)
            await trio.sleep(KEEP_SECONDS)

    async def started(
        self, partition: PartitionId, key: IdempotencyKey, fingerprint: int, deadline: float
    ) -> None:
        """Return once the guard, if there is one, knows that the key has been started.

        Raises RequestError when it can't be told in time; the request must not be dispatched then.
        """
        with trio.move_on_at(deadline):
            while True:
                guard = self._ownership.guard()
                if guard is None:
                    return
                copied = await self._copy(guard, partition, key, fingerprint)
                if copied and self._ownership.guard() == guard:
                    return
                if not copied:
                    await trio.sleep(RETRY_SECONDS)
        raise RequestError(503, "the guard of the key's home is silent", Verdict.NOT_RUN, 1.0)

    async def not_run(self, partition: PartitionId, key: IdempotencyKey) -> None:
        """Tell the guard, if it can be reached, that the key may be used again."""
        held = self._held.get(partition)
        if held is None:
            return
        member, term = held
        try:
            stream = await self._peers.stream(member)
            message = KeyNotRun(next(self._sequence), term, key)
            stream.send(Control(KEY_NOT_RUN, encode_content(message)))
        except PeerError:
            return

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a guard's reply."""
        reply = decode_content(content, KeyCopied)
        if reply.sequence in self._waiting:
            self._replies[reply.sequence] = reply
            self._waiting[reply.sequence].set()
        return None

    async def _copy(
        self, guard: Guard, partition: PartitionId, key: IdempotencyKey, fingerprint: int
    ) -> bool:
        home = self._table_of(partition)
        if home is None:
            return True
        term = CopyTerm(partition, home.since, guard.since)
        async with self._locks[partition]:
            if self._held.get(partition) != (guard.member_id, term):
                return await self._send_snapshot(guard, term)
        sent = await self._ask(
            guard.member_id,
            KEY_STARTED,
            lambda sequence: KeyStarted(sequence, term, key, fingerprint),
        )
        if not sent:
            self._held.pop(partition, None)
        return sent

    async def _send_snapshot(self, guard: Guard, term: CopyTerm) -> bool:
        # The table is read when it is sent, so that it holds every key that was begun by then.
        def message(sequence: int) -> KeySnapshot:
            home = self._table_of(term.partition)
            table = home.table if home is not None else KeyTable(KeyTerms())
            return KeySnapshot(sequence, term, table.without_answers())

        sent = await self._ask(guard.member_id, KEY_SNAPSHOT, message)
        if sent:
            self._held[term.partition] = (guard.member_id, term)
        return sent

    async def _ask(
        self, member: MemberId, topic: str, message: Callable[[int], KeySnapshot | KeyStarted]
    ) -> bool:
        arrived = trio.Event()
        sequence = 0
        try:
            with trio.move_on_after(REPLY_SECONDS):
                stream = await self._peers.stream(member)
                sequence = next(self._sequence)
                self._waiting[sequence] = arrived
                stream.send(Control(topic, encode_content(message(sequence))))
                await arrived.wait()
        except PeerError:
            return False
        finally:
            self._waiting.pop(sequence, None)
        reply = self._replies.pop(sequence, None)
        return reply is not None and reply.held


@dataclass(frozen=True, slots=True)
class _Copy:
    term: CopyTerm
    table: KeyTable
    sequence: int
    """The highest that was seen. A message from a stream that was given up may come late."""


@dataclass(frozen=True, slots=True)
class LostTable:
    """What the guard of a lost home tells one of its partitions' new owners."""

    partition: PartitionId
    owner: MemberId
    since: Epoch
    table: KeyTable | None
    """None when nothing reliable is known."""


class KeyCopyHolder:
    """The guard's side."""

    def __init__(self, ownership: OwnershipView) -> None:
        """No copies yet."""
        self._ownership = ownership
        self._copies: dict[tuple[MemberId, PartitionId], _Copy] = {}
        self._record: FleetRecord | None = None

    @property
    def keys(self) -> int:
        """Keys held for others."""
        return sum(copy.table.keys for copy in self._copies.values())

    def snapshot(self, member: MemberId, message: KeySnapshot) -> KeyCopied:
        """Hold a whole table."""
        key = (member, message.term.partition)
        copy = self._copies.get(key)
        if copy is None or copy.sequence < message.sequence:
            copy = _Copy(message.term, message.table, message.sequence)
            self._copies[key] = copy
        return KeyCopied(message.sequence, held=copy.term == message.term)

    def started(self, member: MemberId, message: KeyStarted) -> KeyCopied:
        """Add one key."""
        copy = self._copies.get((member, message.term.partition))
        if copy is None or copy.term != message.term:
            return KeyCopied(message.sequence, held=False)
        table = copy.table.with_started_key(message.key, message.fingerprint, time.time())
        if table is None:
            return KeyCopied(message.sequence, held=False)
        latest = max(copy.sequence, message.sequence)
        self._copies[member, message.term.partition] = _Copy(copy.term, table, latest)
        return KeyCopied(message.sequence, held=True)

    def not_run(self, member: MemberId, message: KeyNotRun) -> None:
        """Remove one key, unless it may have been started again since."""
        copy = self._copies.get((member, message.term.partition))
        if copy is None or copy.term != message.term or message.sequence < copy.sequence:
            return
        table = copy.table.not_run(message.key)
        self._copies[member, message.term.partition] = _Copy(copy.term, table, message.sequence)

    def handlers(self) -> dict[str, ControlHandler]:
        """What to subscribe, by topic."""
        return {
            KEY_SNAPSHOT: TypedHandler(KeySnapshot, self.snapshot, KEY_COPIED),
            KEY_STARTED: TypedHandler(KeyStarted, self.started, KEY_COPIED),
            KEY_NOT_RUN: TypedHandler(KeyNotRun, self.not_run),
        }

    def follow(self, record: FleetRecord) -> tuple[LostTable, ...]:
        """Follow a change of the record; returns what new owners have to be told."""
        before, self._record = self._record, record
        if before is None or before.epoch + 1 != record.epoch:
            self._forget_all_but(record)
            return ()
        found = tuple(self._lost_tables(before, record))
        self._forget_all_but(record)
        return found

    def _lost_tables(self, before: FleetRecord, record: FleetRecord) -> Iterator[LostTable]:
        for partition, ownership in record.owners.items():
            if ownership.since != record.epoch or ownership.acquired is not Acquisition.TAKEN_OVER:
                continue
            earlier = before.owners.get(partition)
            if earlier is None or earlier.owner is None or ownership.owner is None:
                continue
            fenced = before.fenced.get(earlier.owner)
            lost = fenced.member if fenced is not None else before.members.get(earlier.owner)
            if lost is None or lost.guard != self._ownership.own:
                continue
            term = CopyTerm(partition, earlier.since, lost.guarded_since)
            copy = self._copies.get((lost.member_id, partition))
            table = copy.table.handed_over() if copy is not None and copy.term == term else None
            yield LostTable(partition, ownership.owner, ownership.since, table)

    def _forget_all_but(self, record: FleetRecord) -> None:
        self._copies = {
            (member, partition): copy
            for (member, partition), copy in self._copies.items()
            if member in record.fenced or record.guard_of(member) == self._ownership.own
        }

"""The home of idempotency keys: whether a request with a key runs, joins another or is answered.

Each key has one home at a time. The home remembers it for the retention time and hands its table
on when it stops as planned. When a home is lost, so is its table; from then on a key that the lost
home could have started gets the verdict that it may have run, and never a second run.

A key that is a UUIDv7 carries the time at which it was made, and one *floor* in time tells which
keys may have been forgotten: those made before it. It rises with the retention time, when the
table is full and when a home is lost, and it never falls, whatever the clock does. The home itself
refuses keys from the future, so nothing is assumed of callers' clocks. Of members' clocks it is
assumed that two differ by less than ``member_clock_error``.

Other keys carry no time. They are remembered for the retention time from their first use, refused
when the table is full of them, and for the retention time after a lost home each of them may have
run.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum

import xxhash

from .._ids import IdempotencyKey

SHARDS = 64
"""Parts of a generation; one is copied for each change."""


def minted_at(key: IdempotencyKey) -> float | None:
    """The Unix time in seconds that a UUIDv7 carries; None for any other key.

    A prefix that ends with a full stop may come before it: keys minted here name their region so.
    """
    try:
        parsed = uuid.UUID(key.rpartition(".")[2])
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000.0 if parsed.version == 7 else None


@dataclass(frozen=True, slots=True)
class KeyTerms:
    """The bounds of one table. Times are in seconds."""

    retention: float = 600.0
    generation: float = 60.0
    """Keys are forgotten together by the span of time in which they were made."""
    accepted_lead: float = 1.0
    """A key from further in the future is refused: its caller's clock is wrong."""
    member_clock_error: float = 1.0
    """The most by which the clocks of two members are assumed to differ."""
    most_keys: int = 20_000
    most_answer_bytes: int = 1 << 20
    """Answers kept in all; the oldest generation loses them first."""
    longest_answer_bytes: int = 1 << 16
    """A longer answer is not kept."""


class KeyState(Enum):
    """What is known of the request with one key."""

    STARTED = "started"
    ANSWERED = "answered"
    ANSWER_DROPPED = "answer-dropped"
    """It ran and was answered; the answer is no longer kept."""
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """One key at its home."""

    state: KeyState
    fingerprint: int
    """A hash of the request, to tell a repeat from another request under the same key."""
    answer: bytes = b""


class KeyDecisionKind(Enum):
    """What becomes of a request with a key."""

    RUN = "run"
    JOIN = "join"
    """Wait for the answer to the first."""
    REPLAY = "replay"
    """Give the kept answer."""
    MAY_HAVE_RUN = "may-have-run"
    ANSWER_DROPPED = "answer-dropped"
    MISMATCH = "mismatch"
    """Another request came under this key; this one was not run."""
    FROM_THE_FUTURE = "from-the-future"
    """The caller's clock is ahead; not run."""
    TABLE_FULL = "table-full"
    """Not run; the caller may come back."""


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """The decision, with the kept answer if there is one."""

    kind: KeyDecisionKind
    answer: bytes = b""


_DECISIONS = {
    KeyState.STARTED: KeyDecisionKind.JOIN,
    KeyState.ANSWERED: KeyDecisionKind.REPLAY,
    KeyState.ANSWER_DROPPED: KeyDecisionKind.ANSWER_DROPPED,
    KeyState.MAY_HAVE_RUN: KeyDecisionKind.MAY_HAVE_RUN,
}

_Shard = Mapping[IdempotencyKey, KeyRecord]


@dataclass(frozen=True, slots=True)
class Generation:
    """The keys of one span of time."""

    number: int
    """Its start in Unix time divided by the length of the span."""
    timed: bool
    """Whether its keys are UUIDv7, filed by their own time; others are filed by their first use."""
    shards: tuple[_Shard, ...] = ({},) * SHARDS
    keys: int = 0
    answer_bytes: int = 0

    def find(self, key: IdempotencyKey) -> KeyRecord | None:
        """The record of a key."""
        return self.shards[_shard_of(key)].get(key)

    def put(self, key: IdempotencyKey, record: KeyRecord | None) -> Generation:
        """Store or, with None, remove a record."""
        index = _shard_of(key)
        shard = dict(self.shards[index])
        old = shard.pop(key, None)
        if record is not None:
            shard[key] = record
        change = len(shard) - len(self.shards[index])
        size = len(record.answer if record else b"") - len(old.answer if old else b"")
        shards = (*self.shards[:index], shard, *self.shards[index + 1 :])
        return Generation(
            self.number, self.timed, shards, self.keys + change, self.answer_bytes + size
        )

    def handed_over(self) -> Generation:
        """Remember of the keys that were started here that they may have run."""
        shards = tuple(
            {key: _out_of_sight(record) for key, record in shard.items()} for shard in self.shards
        )
        return replace(self, shards=shards)

    def without_answers(self) -> Generation:
        """Remember that the keys were answered, and no longer what."""
        shards = tuple(
            {key: _without_answer(record) for key, record in shard.items()} for shard in self.shards
        )
        return replace(self, shards=shards, answer_bytes=0)


@dataclass(frozen=True, slots=True)
class KeyTable:
    """The keys of one home. ``now`` is Unix time in seconds throughout."""

    terms: KeyTerms
    floor: float = 0.0
    """A timed key made before this may have been forgotten."""
    untimed_floor: float = 0.0
    """Until then, a key without a time may have been started by a lost home."""
    generations: tuple[Generation, ...] = ()
    """The oldest first."""

    @classmethod
    def after_lost_home(cls, terms: KeyTerms, now: float) -> KeyTable:
        """Begin after a home that left no table; ``now`` is after its right to send has ended.

        It could have started any key up to its accepted lead in the future, by its own clock.
        """
        floor = now + terms.accepted_lead + terms.member_clock_error
        return cls(terms, floor, now + terms.retention + terms.member_clock_error)

    def begin(
        self, key: IdempotencyKey, fingerprint: int, now: float, minted_here: bool = False
    ) -> tuple[KeyTable, KeyDecision]:
        """A request came. ``minted_here`` says that an entry has just made its key.

        Such a key can't have been started before, so it runs at once even after a lost home. It
        may be said only when the request is first put to any home: if it were said again after
        the first home was lost without a word, the request could run twice.
        """
        table = self.expire(now)
        minted = minted_at(key)
        record = table.find(key, minted)
        if record is not None:
            return table, _decision_on(record, fingerprint)
        if minted is not None and minted > now + self.terms.accepted_lead:
            return table, KeyDecision(KeyDecisionKind.FROM_THE_FUTURE)
        if not minted_here and table._may_be_forgotten(minted, now):
            return table, KeyDecision(KeyDecisionKind.MAY_HAVE_RUN)
        table = table._with_room(now)
        if table.keys >= self.terms.most_keys:
            return table, KeyDecision(KeyDecisionKind.TABLE_FULL)
        started = KeyRecord(KeyState.STARTED, fingerprint)
        return table._put(key, minted, now, started), KeyDecision(KeyDecisionKind.RUN)

    def copied(self, key: IdempotencyKey, fingerprint: int, now: float) -> KeyTable | None:
        """The table of a copy once the original's request has started; None when it is full."""
        table = self.expire(now)
        minted = minted_at(key)
        if table.find(key, minted) is not None:
            return table
        table = table._with_room(now)
        if table.keys >= self.terms.most_keys:
            return None
        return table._put(key, minted, now, KeyRecord(KeyState.STARTED, fingerprint))

    def without_answers(self) -> KeyTable:
        """The table as its copy needs it."""
        return self._with_generations(gen.without_answers() for gen in self.generations)

    def with_keys_of(self, other: KeyTable, now: float) -> KeyTable:
        """The table with the keys that were begun here before it came."""
        table = self
        for generation in other.generations:
            for shard in generation.shards:
                for key, record in shard.items():
                    table = table._put(key, minted_at(key), now, record)
        return table

    def answered(self, key: IdempotencyKey, answer: bytes) -> KeyTable:
        """The whole answer came, perhaps after the request was given up."""
        if len(answer) > self.terms.longest_answer_bytes:
            return self._settle(key, KeyState.ANSWER_DROPPED, b"")
        return self._settle(key, KeyState.ANSWERED, answer)._within_answer_bytes()

    def lost(self, key: IdempotencyKey) -> KeyTable:
        """The attempt ended without an answer after some of the request left."""
        return self._settle(key, KeyState.MAY_HAVE_RUN, b"")

    def not_run(self, key: IdempotencyKey) -> KeyTable:
        """The request is proved not to have run, so the key may be used again."""
        record = self.find(key, minted_at(key))
        if record is None or record.state is not KeyState.STARTED:
            return self
        return self._replace(key, None)

    def handed_over(self) -> KeyTable:
        """The table as the next home gets it: what still runs here is out of its sight."""
        return self._with_generations(gen.handed_over() for gen in self.generations)

    def expire(self, now: float) -> KeyTable:
        """Forget generations that ended before the retention time, and raise the floor to match."""
        oldest = int((now - self.terms.retention) // self.terms.generation)
        if not self.generations or self.generations[0].number >= oldest:
            return self._raised(oldest) if self.floor < oldest * self.terms.generation else self
        kept = tuple(gen for gen in self.generations if gen.number >= oldest)
        return replace(self, generations=kept)._raised(oldest)

    @property
    def keys(self) -> int:
        """How many keys are remembered."""
        return sum(generation.keys for generation in self.generations)

    @property
    def answer_bytes(self) -> int:
        """The bytes of the answers that are kept."""
        return sum(generation.answer_bytes for generation in self.generations)

    def find(self, key: IdempotencyKey, minted: float | None) -> KeyRecord | None:
        """The record of a key that was made at ``minted``."""
        found = self._generation_of(key, minted)
        return found.find(key) if found else None

    def _generation_of(self, key: IdempotencyKey, minted: float | None) -> Generation | None:
        return next(self._holders(key, minted), None)

    def _holders(self, key: IdempotencyKey, minted: float | None) -> Iterator[Generation]:
        if minted is None:
            return (gen for gen in self.generations if not gen.timed and gen.find(key))
        number = int(minted // self.terms.generation)
        return (gen for gen in self.generations if gen.timed and gen.number == number)

    def _may_be_forgotten(self, minted: float | None, now: float) -> bool:
        if minted is None:
            return now < self.untimed_floor
        return minted <= self.floor

    def _put(
        self, key: IdempotencyKey, minted: float | None, now: float, record: KeyRecord
    ) -> KeyTable:
        timed = minted is not None
        number = int((now if minted is None else minted) // self.terms.generation)
        present = [g for g in self.generations if (g.number, g.timed) == (number, timed)]
        generation = present[0] if present else Generation(number, timed)
        others = (g for g in self.generations if g is not generation)
        merged = sorted((*others, generation.put(key, record)), key=lambda g: g.number)
        return replace(self, generations=tuple(merged))

    def _settle(self, key: IdempotencyKey, state: KeyState, answer: bytes) -> KeyTable:
        record = self.find(key, minted_at(key))
        if record is None or record.state not in (KeyState.STARTED, KeyState.MAY_HAVE_RUN):
            return self
        return self._replace(key, KeyRecord(state, record.fingerprint, answer))

    def _replace(self, key: IdempotencyKey, record: KeyRecord | None) -> KeyTable:
        holder = self._generation_of(key, minted_at(key))
        if holder is None:
            return self
        changed = holder.put(key, record)
        return self._with_generations(changed if g is holder else g for g in self.generations)

    def _with_room(self, now: float) -> KeyTable:
        """Forget the oldest timed generation while the table is full, but never the present one.

        Forgetting that would raise the floor above the keys that are being made now, and every
        new request would be told that it may have run.
        """
        table = self
        present = int(now // self.terms.generation)
        while table.keys >= self.terms.most_keys:
            oldest = next((g for g in table.generations if g.timed and g.number < present), None)
            if oldest is None:
                return table
            rest = table._with_generations(g for g in table.generations if g is not oldest)
            table = rest._raised(oldest.number + 1)
        return table

    def _within_answer_bytes(self) -> KeyTable:
        table = self
        while table.answer_bytes > self.terms.most_answer_bytes:
            oldest = next(g for g in table.generations if g.answer_bytes)
            emptied = oldest.without_answers()
            table = table._with_generations(
                emptied if g is oldest else g for g in table.generations
            )
        return table

    def _raised(self, generation: int) -> KeyTable:
        floor = max(self.floor, generation * self.terms.generation)
        return replace(self, floor=floor)

    def _with_generations(self, generations: Iterator[Generation]) -> KeyTable:
        return KeyTable(self.terms, self.floor, self.untimed_floor, tuple(generations))


def _shard_of(key: IdempotencyKey) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS


def _without_answer(record: KeyRecord) -> KeyRecord:
    if record.state is not KeyState.ANSWERED:
        return record
    return KeyRecord(KeyState.ANSWER_DROPPED, record.fingerprint)


def _out_of_sight(record: KeyRecord) -> KeyRecord:
    if record.state is not KeyState.STARTED:
        return record
    return KeyRecord(KeyState.MAY_HAVE_RUN, record.fingerprint)


def _decision_on(record: KeyRecord, fingerprint: int) -> KeyDecision:
    if record.fingerprint != fingerprint:
        return KeyDecision(KeyDecisionKind.MISMATCH)
    return KeyDecision(_DECISIONS[record.state], record.answer)

"""The table of idempotency keys, which decides what to do with a request that carries a key.

A request runs, joins an earlier one with the same key, or gets a kept answer or a verdict.

At any time each key has one home, the member that keeps its record. The home keeps the record for
the retention time and hands its table over on a planned stop. If a home fails, its table is lost.
From then on, a request whose key the failed home could have started is answered with the verdict
that it may have run, and is never run again.

A UUIDv7 key contains its creation time. The table keeps a *floor*: keys created before it may have
been forgotten. The floor rises as the retention time passes, when the table is full, and when a
home is lost. It never falls, even if the clock is set back. The home refuses keys from the future,
so no assumption is made about callers' clocks. The clocks of any two members are assumed to differ
by less than ``member_clock_error``.

Other keys contain no time. They are kept for the retention time from their first use, and new ones
are refused when the table is full. For the retention time after a home is lost, every such key
counts as one that may have run.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum

import xxhash

from .._ids import IdempotencyKey

SHARDS = 64
"""Number of shards of a generation; each change copies one shard."""


def minted_at(key: IdempotencyKey) -> float | None:
    """Return the creation time of a UUIDv7 key as Unix time in seconds; None for any other key.

    The UUID may follow a prefix that ends with a full stop: keys created by an entry begin with
    the name of their region.
    """
    try:
        parsed = uuid.UUID(key.rpartition(".")[2])
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000.0 if parsed.version == 7 else None


@dataclass(frozen=True, slots=True)
class KeyTerms:
    """Limits of a key table. Times are in seconds."""

    retention: float = 600.0
    generation: float = 60.0
    """Length of the time spans by which keys are grouped; a group is forgotten as a whole."""
    accepted_lead: float = 1.0
    """A key from further in the future is refused, since the caller's clock must be wrong."""
    member_clock_error: float = 1.0
    """Maximum assumed difference between the clocks of two members."""
    most_keys: int = 20_000
    most_answer_bytes: int = 1 << 20
    """Maximum total size of the kept answers; the oldest generation's are dropped first."""
    longest_answer_bytes: int = 1 << 16
    """Maximum size of an answer that is kept."""


class KeyState(Enum):
    """State of the request with a given key."""

    STARTED = "started"
    ANSWERED = "answered"
    ANSWER_DROPPED = "answer-dropped"
    """The request ran and was answered, but the answer is no longer kept."""
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The state of one key, as recorded by the key's home."""

    state: KeyState
    fingerprint: int
    """Hash of the request, to distinguish a repeat from another request with the same key."""
    answer: bytes = b""


class KeyDecisionKind(Enum):
    """How a request that carries a key is handled."""

    RUN = "run"
    JOIN = "join"
    """Wait for the answer to the first request with this key."""
    REPLAY = "replay"
    """Return the kept answer."""
    MAY_HAVE_RUN = "may-have-run"
    ANSWER_DROPPED = "answer-dropped"
    MISMATCH = "mismatch"
    """The key was used for a different request; this request was not run."""
    FROM_THE_FUTURE = "from-the-future"
    """The key's time is in the future; the request was not run."""
    TABLE_FULL = "table-full"
    """The request was not run; the caller may retry later."""


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """The decision on a request, with the kept answer if it is replayed."""

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
    """The keys of one time span, split into shards."""

    number: int
    """Start of the span in Unix time divided by the length of a span."""
    timed: bool
    """Whether the keys are UUIDv7, grouped by creation time; others are grouped by first use."""
    shards: tuple[_Shard, ...] = ({},) * SHARDS
    keys: int = 0
    answer_bytes: int = 0

    def find(self, key: IdempotencyKey) -> KeyRecord | None:
        """Return the record of a key, or None if there is none."""
        return self.shards[_shard_of(key)].get(key)

    def put(self, key: IdempotencyKey, record: KeyRecord | None) -> Generation:
        """Store the record of a key, or remove it if ``record`` is None."""
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
        """Mark all started keys as MAY_HAVE_RUN."""
        shards = tuple(
            {key: _as_may_have_run(record) for key, record in shard.items()}
            for shard in self.shards
        )
        return replace(self, shards=shards)

    def without_answers(self) -> Generation:
        """Drop all answers, but keep the fact that the keys were answered."""
        shards = tuple(
            {key: _without_answer(record) for key, record in shard.items()} for shard in self.shards
        )
        return replace(self, shards=shards, answer_bytes=0)


@dataclass(frozen=True, slots=True)
class KeyTable:
    """The keys of one home. ``now`` is always Unix time in seconds."""

    terms: KeyTerms
    floor: float = 0.0
    """A UUIDv7 key created at or before this time may have been forgotten."""
    untimed_floor: float = 0.0
    """Until this time, a key without a creation time may have been started by a lost home."""
    generations: tuple[Generation, ...] = ()
    """The generations in order of time, oldest first."""

    @classmethod
    def after_lost_home(cls, terms: KeyTerms, now: float) -> KeyTable:
        """Return the table that replaces the table of a failed home.

        ``now`` must be after the failed home's right to send has expired. That home could have
        started any key created up to ``accepted_lead`` in the future by its own clock.
        """
        floor = now + terms.accepted_lead + terms.member_clock_error
        return cls(terms, floor, now + terms.retention + terms.member_clock_error)

    def begin(
        self, key: IdempotencyKey, fingerprint: int, now: float, minted_here: bool = False
    ) -> tuple[KeyTable, KeyDecision]:
        """Decide on a request that has arrived.

        ``minted_here`` means that an entry has just created the key. Such a key can't have been
        started before, so its request runs even after a home was lost. The flag may be set only
        when the request is sent to a home for the first time. If it were set again after the first
        home failed without answering, the request could run twice.
        """
        table = self.expire(now)
        minted = minted_at(key)
        record = table.find(key, minted)
        if record is not None:
            return table, _decide_on_record(record, fingerprint)
        if minted is not None and minted > now + self.terms.accepted_lead:
            return table, KeyDecision(KeyDecisionKind.FROM_THE_FUTURE)
        if not minted_here and table._may_have_been_forgotten(minted, now):
            return table, KeyDecision(KeyDecisionKind.MAY_HAVE_RUN)
        table = table._with_space(now)
        if table.keys >= self.terms.most_keys:
            return table, KeyDecision(KeyDecisionKind.TABLE_FULL)
        started = KeyRecord(KeyState.STARTED, fingerprint)
        return table._put(key, minted, now, started), KeyDecision(KeyDecisionKind.RUN)

    def with_started_key(
        self, key: IdempotencyKey, fingerprint: int, now: float
    ) -> KeyTable | None:
        """Return a replica's table after the home has started a request; None if it is full."""
        table = self.expire(now)
        minted = minted_at(key)
        if table.find(key, minted) is not None:
            return table
        table = table._with_space(now)
        if table.keys >= self.terms.most_keys:
            return None
        return table._put(key, minted, now, KeyRecord(KeyState.STARTED, fingerprint))

    def without_answers(self) -> KeyTable:
        """Return the table without answers, as it is sent to a replica."""
        return self._with_generations(gen.without_answers() for gen in self.generations)

    def merged_with(self, earlier: KeyTable, now: float) -> KeyTable:
        """Return the table merged with ``earlier``.

        ``earlier`` holds the keys that the new home recorded before this table arrived from the
        previous home.
        """
        table = self
        for generation in earlier.generations:
            for shard in generation.shards:
                for key, record in shard.items():
                    table = table._put(key, minted_at(key), now, record)
        return table

    def answered(self, key: IdempotencyKey, answer: bytes) -> KeyTable:
        """Record a complete answer, possibly one that arrived after ``attempt_lost``."""
        if len(answer) > self.terms.longest_answer_bytes:
            return self._settle(key, KeyState.ANSWER_DROPPED, b"")
        return self._settle(key, KeyState.ANSWERED, answer)._limited_answer_bytes()

    def attempt_lost(self, key: IdempotencyKey) -> KeyTable:
        """Record that an attempt ended without an answer after part of the request was sent."""
        return self._settle(key, KeyState.MAY_HAVE_RUN, b"")

    def not_run(self, key: IdempotencyKey) -> KeyTable:
        """Remove a started key whose request is proved not to have run; it may be reused."""
        record = self.find(key, minted_at(key))
        if record is None or record.state is not KeyState.STARTED:
            return self
        return self._replace(key, None)

    def handed_over(self) -> KeyTable:
        """Return the table for the next home, which can't observe requests that still run here."""
        return self._with_generations(gen.handed_over() for gen in self.generations)

    def expire(self, now: float) -> KeyTable:
        """Forget generations older than the retention time, and raise the floor accordingly."""
        oldest = int((now - self.terms.retention) // self.terms.generation)
        if not self.generations or self.generations[0].number >= oldest:
            return (
                self._with_floor_raised(oldest)
                if self.floor < oldest * self.terms.generation
                else self
            )
        kept = tuple(gen for gen in self.generations if gen.number >= oldest)
        return replace(self, generations=kept)._with_floor_raised(oldest)

    @property
    def keys(self) -> int:
        """The number of keys in the table."""
        return sum(generation.keys for generation in self.generations)

    @property
    def answer_bytes(self) -> int:
        """The total size of the kept answers in bytes."""
        return sum(generation.answer_bytes for generation in self.generations)

    def find(self, key: IdempotencyKey, minted: float | None) -> KeyRecord | None:
        """Return the record of a key created at ``minted``, or None if there is none."""
        generation = self._generation_of(key, minted)
        return generation.find(key) if generation else None

    def _generation_of(self, key: IdempotencyKey, minted: float | None) -> Generation | None:
        return next(self._generations_with(key, minted), None)

    def _generations_with(self, key: IdempotencyKey, minted: float | None) -> Iterator[Generation]:
        if minted is None:
            return (gen for gen in self.generations if not gen.timed and gen.find(key))
        number = int(minted // self.terms.generation)
        return (gen for gen in self.generations if gen.timed and gen.number == number)

    def _may_have_been_forgotten(self, minted: float | None, now: float) -> bool:
        if minted is None:
            return now < self.untimed_floor
        return minted <= self.floor

    def _put(
        self, key: IdempotencyKey, minted: float | None, now: float, record: KeyRecord
    ) -> KeyTable:
        timed = minted is not None
        number = int((now if minted is None else minted) // self.terms.generation)
        matching = [g for g in self.generations if (g.number, g.timed) == (number, timed)]
        generation = matching[0] if matching else Generation(number, timed)
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

    def _with_space(self, now: float) -> KeyTable:
        """Forget the oldest timed generations while the table is full, but never the current one.

        Forgetting the current generation would raise the floor above the keys being created now,
        and every new request would get the verdict that it may have run.
        """
        table = self
        current = int(now // self.terms.generation)
        while table.keys >= self.terms.most_keys:
            oldest = next((g for g in table.generations if g.timed and g.number < current), None)
            if oldest is None:
                return table
            remaining = table._with_generations(g for g in table.generations if g is not oldest)
            table = remaining._with_floor_raised(oldest.number + 1)
        return table

    def _limited_answer_bytes(self) -> KeyTable:
        table = self
        while table.answer_bytes > self.terms.most_answer_bytes:
            oldest = next(g for g in table.generations if g.answer_bytes)
            emptied = oldest.without_answers()
            table = table._with_generations(
                emptied if g is oldest else g for g in table.generations
            )
        return table

    def _with_floor_raised(self, generation: int) -> KeyTable:
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


def _as_may_have_run(record: KeyRecord) -> KeyRecord:
    if record.state is not KeyState.STARTED:
        return record
    return KeyRecord(KeyState.MAY_HAVE_RUN, record.fingerprint)


def _decide_on_record(record: KeyRecord, fingerprint: int) -> KeyDecision:
    if record.fingerprint != fingerprint:
        return KeyDecision(KeyDecisionKind.MISMATCH)
    return KeyDecision(_DECISIONS[record.state], record.answer)

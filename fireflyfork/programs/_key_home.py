"""Serves the idempotency keys whose home is this entry.

The home of a key is the member that owns the key's partition. There each request runs at most
once, and repeats get the answer of the first request with their key.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import trio
import xxhash

from .._decoding import decode_msgpack
from .._errors import FireflyforkError, InvalidDataError, MisdirectedError, RequestError
from .._ids import Epoch, IdempotencyKey, PartitionId
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import Header, ResponseHead
from ..decisions import Acquisition, KeyDecision, KeyDecisionKind, KeyTable, KeyTerms, Ownership
from ._bodies import RequestBody
from ._key_copies import HomeTable, KeyCopySender
from ._ownership import OwnershipView
from ._recording_sink import RecordingSink
from ._sinks import AnswerSink

KEY_TABLE_LIMITS = KeyTerms(
    most_keys=4_000, most_answer_bytes=256 * 1024, longest_answer_bytes=16 * 1024
)
"""The limits of one partition's key table; an entry owns a few partitions."""

COPY_MARGIN_SECONDS = 0.05
"""The guard must acknowledge a key this long before the deadline, else the request is refused."""

KEPT_AFTER_MOVE_SECONDS = 10.0
"""How long a table is kept after its partition moved, so that it can be sent to the next home."""

Dispatch = Callable[[ServiceRequest, RequestBody, AnswerSink], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class _Refusal:
    """The error answer to a request that may not run again, or not under its key."""

    status: int
    reason: str
    verdict: Verdict


_REFUSALS = {
    KeyDecisionKind.MAY_HAVE_RUN: _Refusal(
        409, "a request with this key may have run", Verdict.MAY_HAVE_RUN
    ),
    KeyDecisionKind.ANSWER_DROPPED: _Refusal(
        409,
        "the request with this key was answered; the answer is no longer kept",
        Verdict.ANSWERED,
    ),
    KeyDecisionKind.MISMATCH: _Refusal(422, "another request came with this key", Verdict.NOT_RUN),
    KeyDecisionKind.FROM_THE_FUTURE: _Refusal(
        400, "the key's time is in the future", Verdict.NOT_RUN
    ),
}


@dataclass(slots=True)
class _RunningRequest:
    """The first request with a key, while it runs; repeats wait for its end."""

    partition: PartitionId
    fingerprint: int
    ended: trio.Event = field(default_factory=trio.Event)
    error: RequestError | None = None


@dataclass(slots=True)
class _HomePartition:
    """The state of one partition whose home is this entry."""

    since: Epoch
    """The epoch of acquisition. If the partition was lost and regained, the table lacks keys."""
    table: KeyTable
    ready: trio.Event = field(default_factory=trio.Event)
    """Set when the table of the previous home has arrived or is no longer awaited."""
    running: dict[IdempotencyKey, _RunningRequest] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HomeChange:
    """The key tables to send and to await after a change of ownership."""

    lost: tuple[PartitionId, ...]
    """Partitions whose tables must be sent to the next owners."""
    awaited: tuple[PartitionId, ...]
    """Partitions whose tables are sent by the previous owners or by their guards."""


class KeyHome:
    """Runs keyed requests and holds the key tables of the partitions that this entry owns."""

    def __init__(self, ownership: OwnershipView, dispatch: Dispatch, copies: KeyCopySender) -> None:
        """``dispatch`` runs a request on a target. Call ``attach`` before the first request."""
        self._ownership = ownership
        self._dispatch = dispatch
        self._copies = copies
        copies.attach(self._home_table)
        self._homes: dict[PartitionId, _HomePartition] = {}
        self._moved: dict[PartitionId, tuple[float, _HomePartition]] = {}
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Run requests in ``nursery``, so that they continue when their callers disconnect."""
        self._nursery = nursery

    @property
    def keys(self) -> int:
        """The number of keys in all tables."""
        return sum(home.table.keys for home in self._homes.values())

    def set_partitions(self, partitions: Iterable[PartitionId]) -> HomeChange:
        """Set the owned partitions and return the tables to send and to await.

        Requests to an awaited partition wait until ``adopt_table`` or ``proceed_without_table`` is
        called for it.
        """
        acquired = {partition: self._ownership.ownership_of(partition) for partition in partitions}
        owned = {
            partition: ownership
            for partition, ownership in acquired.items()
            if ownership is not None
        }
        lost = self._drop_lost(owned)
        added = sorted(owned.keys() - self._homes.keys())
        for partition in added:
            self._homes[partition] = _new_home(owned[partition])
        return HomeChange(
            lost,
            tuple(partition for partition in added if not self._homes[partition].ready.is_set()),
        )

    def table_to_send(self, partition: PartitionId) -> KeyTable | None:
        """Return the table of a partition that was recently lost, or None if it isn't kept."""
        moved = self._moved.get(partition)
        return moved[1].table.handed_over() if moved is not None else None

    async def wait_drained(self, partition: PartitionId) -> None:
        """Wait until no request of a partition that was recently lost is running."""
        moved = self._moved.get(partition)
        while moved is not None and moved[1].running:
            await next(iter(moved[1].running.values())).ended.wait()

    def adopt_table(self, partition: PartitionId, since: Epoch, table: KeyTable | None) -> bool:
        """Merge the previous home's table and serve the partition; None means there is no table.

        Has no effect if the table is no longer awaited. Returns False if this entry has not owned
        the partition since the epoch ``since``.
        """
        home = self._homes.get(partition)
        if home is None or home.since != since:
            return False
        if not home.ready.is_set():
            if table is not None:
                home.table = table.merged_with(home.table, time.time())
            home.ready.set()
        return True

    def proceed_without_table(self, partition: PartitionId) -> bool:
        """Serve the partition although no table arrived; earlier keys count as may have run.

        Returns whether the table was still awaited.
        """
        home = self._homes.get(partition)
        if home is None or home.ready.is_set():
            return False
        home.ready.set()
        return True

    async def wait_ready(self, partition: PartitionId) -> None:
        """Wait until the partition's table has arrived or is no longer awaited."""
        home = self._homes.get(partition)
        if home is not None:
            await home.ready.wait()

    async def run(
        self,
        partition: PartitionId,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        """Run the request, or answer it like the first request with its key.

        Raises RequestError, HttpError.
        """
        fingerprint = _fingerprint(request, body)
        if not request.key_is_new:
            await self._wait_for_table(partition, request)
        while True:
            home = self._usable_home(partition, request)
            assert request.key
            home.table, decision = home.table.begin(
                request.key, fingerprint, time.time(), request.key_is_new
            )
            if decision.kind is KeyDecisionKind.RUN:
                await self._run_first(home, partition, fingerprint, request, body, sink)
                return
            if decision.kind is not KeyDecisionKind.JOIN:
                await _answer_repeat(decision, sink)
                return
            await _wait_for_end(home.running[request.key], request)

    def _drop_lost(self, owned: Mapping[PartitionId, Ownership]) -> tuple[PartitionId, ...]:
        now = time.time()
        lost = tuple(
            partition
            for partition, home in self._homes.items()
            if partition not in owned or owned[partition].since != home.since
        )
        for partition in lost:
            self._moved[partition] = (now, self._homes.pop(partition))
        self._moved = {
            partition: kept
            for partition, kept in self._moved.items()
            if now - kept[0] < KEPT_AFTER_MOVE_SECONDS
        }
        return lost

    async def _wait_for_table(self, partition: PartitionId, request: ServiceRequest) -> None:
        home = self._homes.get(partition)
        if home is not None and not home.ready.is_set():
            with trio.move_on_at(request.deadline):
                await home.ready.wait()

    def _usable_home(self, partition: PartitionId, request: ServiceRequest) -> _HomePartition:
        # The right is checked without an await between this check and the use of the table. A home
        # that lost the right unnoticed could otherwise run a key that its successor has run.
        home = self._homes.get(partition)
        usable = home is not None and (request.key_is_new or home.ready.is_set())
        if home is None or not usable or not self._ownership.may_dispatch(partition):
            raise MisdirectedError("the key's home is elsewhere")
        return home

    def _home_table(self, partition: PartitionId) -> HomeTable | None:
        # While a table is awaited, a copy would lack the previous home's keys, and it would be
        # treated as complete if this home was lost too.
        home = self._homes.get(partition)
        if home is None or not home.ready.is_set():
            return None
        return HomeTable(home.since, home.table)

    async def _run_first(
        self,
        home: _HomePartition,
        partition: PartitionId,
        fingerprint: int,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        assert request.key and self._nursery is not None
        running = home.running[request.key] = _RunningRequest(partition, fingerprint)
        self._nursery.start_soon(self._carry_out, home, running, request, body, sink)
        await _wait_for_end(running, request)
        if running.error is not None:
            raise running.error

    async def _carry_out(
        self,
        home: _HomePartition,
        running: _RunningRequest,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        assert request.key
        recording = RecordingSink(sink, home.table.terms.longest_answer_bytes)
        try:
            await self._copies.announce_start(
                running.partition,
                request.key,
                running.fingerprint,
                request.deadline - COPY_MARGIN_SECONDS,
            )
            await self._dispatch(request, body, recording)
        except RequestError as error:
            running.error = error
        except FireflyforkError as error:
            running.error = RequestError(502, str(error), Verdict.MAY_HAVE_RUN, 1.0)
        finally:
            home.table = _with_outcome(home.table, request.key, running.error, recording)
            del home.running[request.key]
            running.ended.set()
        if running.error is not None and running.error.verdict is Verdict.NOT_RUN:
            await self._copies.announce_not_run(running.partition, request.key)


def _new_home(ownership: Ownership) -> _HomePartition:
    if ownership.acquired is Acquisition.FIRST:
        home = _HomePartition(ownership.since, KeyTable(KEY_TABLE_LIMITS))
    else:
        home = _HomePartition(
            ownership.since, KeyTable.after_lost_home(KEY_TABLE_LIMITS, time.time())
        )
    if ownership.acquired is Acquisition.FIRST:
        home.ready.set()
    return home


async def _wait_for_end(running: _RunningRequest, request: ServiceRequest) -> None:
    with trio.move_on_at(request.deadline):
        await running.ended.wait()
    if not running.ended.is_set():
        raise RequestError(504, "the deadline passed", Verdict.MAY_HAVE_RUN, 1.0)


async def _answer_repeat(decision: KeyDecision, sink: AnswerSink) -> None:
    if decision.kind is KeyDecisionKind.REPLAY:
        await _replay(decision.answer, sink)
        return
    if decision.kind is KeyDecisionKind.TABLE_FULL:
        raise RequestError(503, "too many keys are in use", Verdict.NOT_RUN, 1.0)
    refusal = _REFUSALS[decision.kind]
    raise RequestError(refusal.status, refusal.reason, refusal.verdict)


class _RecordedAnswer(msgspec.Struct, array_like=True):
    """An answer as RecordingSink encodes it."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


async def _replay(answer: bytes, sink: AnswerSink) -> None:
    try:
        recorded = decode_msgpack(answer, _RecordedAnswer)
    except InvalidDataError as error:
        reason = f"the recorded answer can't be read: {error}"
        raise RequestError(502, reason, Verdict.MAY_HAVE_RUN) from error
    await sink.start(ResponseHead(recorded.status, recorded.headers))
    if recorded.body:
        await sink.send(recorded.body)
    await sink.end()


def _with_outcome(
    table: KeyTable, key: IdempotencyKey, error: RequestError | None, recording: RecordingSink
) -> KeyTable:
    if error is None and recording.ended:
        answer = recording.answer
        too_long = b"\0" * (table.terms.longest_answer_bytes + 1)
        return table.answered(key, answer if answer is not None else too_long)
    if error is not None and error.verdict is Verdict.NOT_RUN:
        return table.not_run(key)
    return table.attempt_lost(key)


def _fingerprint(request: ServiceRequest, body: RequestBody) -> int:
    digest = xxhash.xxh3_64()
    for part in (request.service, request.method, request.path):
        digest.update(part.encode("utf-8") + b"\0")
    for chunk in body.buffered:
        digest.update(chunk)
    return digest.intdigest()

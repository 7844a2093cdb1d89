"""A client of the platform's store over HTTP."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeVar
from urllib.parse import quote

import msgspec
from loguru import logger

from .._decoding import LongCount, decode_json, guarded
from .._errors import (
    InvalidDataError,
    LeaseEndedError,
    StoredVersion,
    StoreHistoryLostError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionConflictError,
)
from .._ids import LeaseId, Revision
from .._links import Address
from ..adapters import (
    ConnectError,
    CoordinationStore,
    HttpError,
    Put,
    StoreChange,
    StoreChanges,
    StoredItem,
    StoreListing,
)
from ._http_calls import CallAnswer, JsonCalls
from ._names import (
    KEY_PATH,
    LEASE_END_PATH,
    LEASE_KEEP_PATH,
    LEASE_PATH,
    RANGE_PATH,
    TRANSACTION_PATH,
    WATCH_PATH,
)

CALL_TIMEOUT_SECONDS = 0.9
"""The maximum time until the first byte of an answer. An answer takes 4 ms, and about 50 ms from another region. A
store that is sixty times slower than usual still answers in time, and a dead connection costs no more than this."""

READ_TIMEOUT_SECONDS = 3.0
"""The maximum time between two parts of an answer. When a large value changes, the answers to all instances of a
region are sent at once over one link, and the first parts of all answers may arrive before the second part of any.
Instances that gave up at this point would all have the whole value sent again over the saturated link. A connection
that dies in the middle of an answer is rare, and costs no more than this."""

MAX_PAGE_ATTEMPTS = 3
"""The number of attempts for each page of a listing before the whole listing fails. A slow link takes seconds for a
few pages, and a listing that starts over would take as long as the one that failed."""

FULL_ANSWER_CHANGES = 450
FULL_ANSWER_BYTES = 900_000
"""The size from which an answer to a watch may lack changes. The store returns about 500 items or 1 MB at a time."""

MAX_CONSECUTIVE_FAILURES = 3
"""The number of consecutive failures after which the store is considered unresponsive. A single lost answer isn't
significant. After three in a row, callers are better served by another instance immediately than by this one after
another timeout. The watches continue to call the store, and one answer resets the count."""

_Body = TypeVar("_Body")


class _Item(msgspec.Struct):
    key: str
    revision: LongCount
    value: str = ""
    created: LongCount = 0
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    as_of: LongCount


class _Watch(msgspec.Struct):
    events: list[_Item]
    as_of: LongCount


class _Conflict(msgspec.Struct):
    items: list[_Item]


class _Committed(msgspec.Struct):
    revision: LongCount


class _Granted(msgspec.Struct):
    lease: LongCount


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _PutRow(msgspec.Struct):
    key: str
    value: str
    lease: int


class _Transaction(msgspec.Struct):
    expected_revision: list[_Expected]
    puts: list[_PutRow]
    remove: list[str]


class _LeaseRequest(msgspec.Struct):
    ttl_ms: int


class PlatformStore(CoordinationStore):
    """Calls the store over HTTP."""

    def __init__(self, address: Address) -> None:
        """Configure a client, which connects to ``address`` on the first call."""
        self._calls = JsonCalls(address, CALL_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS)
        self._failures = 0
        self._call_counts: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()

    @property
    def calls(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return MappingProxyType(self._call_counts)

    @property
    def bytes_received(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return MappingProxyType(self._received)

    @property
    def bytes_sent(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return MappingProxyType(self._sent)

    @property
    def is_responsive(self) -> bool:
        """Whether the store has answered at least one of the last calls."""
        return self._failures < MAX_CONSECUTIVE_FAILURES

    async def read(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        target = f"{KEY_PATH}?key={quote(key, safe='')}"
        return _found(await self._call(_purpose("read", key), "GET", target))

    async def read_stale(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        target = f"{KEY_PATH}?key={quote(key, safe='')}&allow_stale=1"
        # A store that can still answer with old values may be unable to answer anything else.
        purpose = _purpose("stale read", key)
        return _found(await self._call(purpose, "GET", target, shows_responsive=False))

    async def list(self, prefix: str) -> StoreListing:
        """See CoordinationStore."""
        items: list[StoredItem] = []
        earliest: int | None = None
        after = ""
        while True:
            target = f"{RANGE_PATH}?path_prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            page = _decoded(await self._page(prefix, target), _Range)
            earliest = page.as_of if earliest is None else min(earliest, page.as_of)
            items.extend(map(_stored, page.items))
            if not page.has_more or not page.items:
                return StoreListing(tuple(items), Revision(earliest))
            after = page.items[-1].key

    async def _page(self, prefix: str, target: str) -> CallAnswer:
        purpose = _purpose("list", prefix)
        for _ in range(MAX_PAGE_ATTEMPTS - 1):
            try:
                return await self._call(purpose, "GET", target)
            except StoreUnavailableError as error:
                logger.debug("retrying page of a listing", error=str(error))
        return await self._call(purpose, "GET", target)

    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """See CoordinationStore."""
        target = (
            f"{WATCH_PATH}?path_prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(wait_seconds * 1000)}"
        )
        purpose = _purpose("watch", prefix)
        answer = await self._call(purpose, "GET", target, extra_seconds=wait_seconds)
        if answer.status == 410:
            raise StoreHistoryLostError(
                f"the store no longer has the changes of {prefix} after {after}"
            )
        watch = _decoded(answer, _Watch)
        is_full = len(watch.events) >= FULL_ANSWER_CHANGES or len(answer.body) >= FULL_ANSWER_BYTES
        return StoreChanges(tuple(map(_change, watch.events)), Revision(watch.as_of), is_full)

    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """See CoordinationStore."""
        changed = [put.key for put in puts] or removals
        purpose = _purpose("commit", changed[0] if changed else "")
        transaction = _Transaction(
            [_Expected(key, revision) for key, revision in expected.items()],
            [
                _PutRow(put.key, b64encode(put.value).decode("ascii"), put.lease or 0)
                for put in puts
            ],
            list(removals),
        )
        body = msgspec.json.encode(transaction)
        answer = await self._call(purpose, "POST", TRANSACTION_PATH, body)
        if answer.status == 412:
            conflicts = _decoded(answer, _Conflict, 412).items
            raise TransactionConflictError(
                {
                    item.key: StoredVersion(Revision(item.revision), _value(item))
                    for item in conflicts
                    if item.revision and not item.deleted
                }
            )
        if answer.status == 404:
            raise LeaseEndedError("the lease of a transaction has ended")
        return Revision(_decoded(answer, _Committed).revision)

    async def grant_lease(self, seconds: float) -> LeaseId:
        """See CoordinationStore."""
        body = msgspec.json.encode(_LeaseRequest(int(seconds * 1000)))
        answer = await self._call(_purpose("grant", "lease/"), "POST", LEASE_PATH, body)
        return LeaseId(_decoded(answer, _Granted).lease)

    async def keep_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        purpose = _purpose("keep", "lease/")
        answer = await self._call(purpose, "POST", f"{LEASE_KEEP_PATH}{lease}")
        if answer.status == 404:
            raise LeaseEndedError(f"lease {lease} has ended")
        _require(answer, 200)

    async def end_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        purpose = _purpose("end", "lease/")
        answer = await self._call(purpose, "DELETE", f"{LEASE_END_PATH}{lease}")
        if answer.status != 404:
            _require(answer, 200)

    async def _call(
        self,
        purpose: str,
        method: str,
        target: str,
        body: bytes = b"",
        extra_seconds: float = 0.0,
        shows_responsive: bool = True,
    ) -> CallAnswer:
        self._call_counts[purpose] += 1
        self._sent[purpose] += len(body)
        try:
            answer = await self._calls.call(method, target, body, extra_seconds=extra_seconds)
        except ConnectError as error:
            self._failures += 1
            raise StoreRefusedError(str(error)) from error
        except HttpError as error:
            # A healthy store occasionally closes the connections of several waiting calls at once, so
            # their failures don't count.
            self._failures += not extra_seconds
            raise StoreUnavailableError(str(error)) from error
        self._received[purpose] += len(answer.body)
        if answer.status in (429, 503):
            self._failures += 1
            raise StoreRefusedError(f"the store answered {answer.status}")
        if shows_responsive:
            self._failures = 0
        return answer


def _purpose(verb: str, key: str) -> str:
    """Return the verb and the kind of a key or prefix, under which a call is counted.

    The last segment and numeric segments are omitted: they identify one key among many of the same kind.
    """
    segments = (segment for segment in key.split("/")[:-1] if not segment.isdigit())
    return f"{verb} {'/'.join(segments)}"


def _require(answer: CallAnswer, status: int) -> None:
    if answer.status != status:
        raise StoreUnavailableError(f"the store answered {answer.status}: {answer.body[:200]!r}")


def _decoded(answer: CallAnswer, shape: type[_Body], status: int = 200) -> _Body:
    _require(answer, status)
    try:
        return decode_json(answer.body, shape)
    except InvalidDataError as error:
        raise StoreUnavailableError(f"the store's answer can't be read: {error}") from error


def _found(answer: CallAnswer) -> StoredItem | None:
    return None if answer.status == 404 else _stored(_decoded(answer, _Item))


def _value(item: _Item) -> bytes:
    try:
        return guarded(lambda: b64decode(item.value, validate=True))
    except InvalidDataError as error:
        raise StoreUnavailableError(f"the value of {item.key} is not base64") from error


def _stored(item: _Item) -> StoredItem:
    return StoredItem(item.key, _value(item), Revision(item.revision), Revision(item.created))


def _change(item: _Item) -> StoreChange:
    stored = None if item.deleted else _stored(item)
    return StoreChange(item.key, Revision(item.revision), stored)

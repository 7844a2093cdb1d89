"""A client of the platform's store for instances in the other region."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from fireflyfork._errors import StoreError, StoreRefusedError, StoreUnavailableError
from fireflyfork._ids import LeaseId, Revision
from fireflyfork.adapters import (
    ConnectError,
    CoordinationStore,
    HttpError,
    Put,
    StoreChanges,
    StoredItem,
    StoreListing,
)
from fireflyfork.platform import CONFIGURATION_KEY
from fireflyfork.platform._store_client import (
    CALL_TIMEOUT_SECONDS,
    MAX_CONSECUTIVE_FAILURES,
    MAX_PAGE_ATTEMPTS,
    READ_TIMEOUT_SECONDS,
)

from ._link_calls import LinkCalls, LinkRequest
from ._region_link import Purpose, Region, RegionLink

CALL_BYTES = 250
"""Size of a request or an answer without its items."""
ITEM_BYTES = 150
"""Size of an item without its value."""

_Found = TypeVar("_Found")


@dataclass(frozen=True, slots=True)
class _StoreAnswer(Generic[_Found]):
    """An answer of the store: a value or an error."""

    result: _Found | None = None
    error: StoreError | None = None


def item_bytes(value: bytes) -> int:
    """Return the size of an item with this value on the wire, where values are base64."""
    return -(-len(value) // 3) * 4 + ITEM_BYTES


class LinkedStoreClient(CoordinationStore):
    """The calls of one instance to the store across the link.

    Timeouts and retries are the same as in the client of the platform's store.
    """

    def __init__(self, inner: CoordinationStore, link: RegionLink, caller_region: Region) -> None:
        """Prepare calls from ``caller_region``; ``inner`` is a client without a link."""
        self._inner = inner
        self._link = link
        self._caller_region = caller_region
        self.reset()

    def reset(self) -> None:
        """Reset to the state of a new process, without connections or counted failures."""
        self._calls = LinkCalls(
            self._link, self._caller_region, CALL_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS
        )
        self._failures = 0

    @property
    def is_responsive(self) -> bool:
        """See CoordinationStore."""
        return self._failures < MAX_CONSECUTIVE_FAILURES

    async def read(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        return await self._ask(
            lambda: self._inner.read(key), lambda item: [item] if item is not None else []
        )

    async def list(self, prefix: str) -> StoreListing:
        """See CoordinationStore. The whole listing is simulated as a single page."""
        for _ in range(MAX_PAGE_ATTEMPTS - 1):
            try:
                return await self._list(prefix)
            except StoreUnavailableError:
                continue
        return await self._list(prefix)

    async def _list(self, prefix: str) -> StoreListing:
        return await self._ask(lambda: self._inner.list(prefix), lambda listing: listing.items)

    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """See CoordinationStore."""
        return await self._ask(
            lambda: self._inner.changes(prefix, after, wait_seconds),
            lambda answer: [change.item for change in answer.changes if change.item is not None],
            extra_seconds=wait_seconds,
        )

    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """See CoordinationStore."""
        return await self._ask(
            lambda: self._inner.commit(expected, puts, removals),
            sent=sum(item_bytes(put.value) for put in puts),
        )

    async def grant_lease(self, seconds: float) -> LeaseId:
        """See CoordinationStore."""
        return await self._ask(lambda: self._inner.grant_lease(seconds))

    async def keep_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        await self._ask(lambda: self._inner.keep_lease(lease))

    async def end_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        await self._ask(lambda: self._inner.end_lease(lease))

    async def _ask(
        self,
        serve: Callable[[], Awaitable[_Found]],
        items: Callable[[_Found], Iterable[StoredItem]] = lambda _: (),
        sent: int = 0,
        extra_seconds: float = 0.0,
    ) -> _Found:
        async def served() -> _StoreAnswer[_Found] | None:
            try:
                return _StoreAnswer(await serve())
            except StoreRefusedError as error:
                return _StoreAnswer(error=error)
            except StoreUnavailableError:
                return None
            except StoreError as error:
                return _StoreAnswer(error=error)

        def held(answer: _StoreAnswer[_Found]) -> list[StoredItem]:
            return list(items(answer.result)) if answer.error is None else []  # type: ignore[arg-type]

        question = LinkRequest(
            CALL_BYTES + sent,
            Purpose.OTHER,
            served,
            lambda answer: CALL_BYTES + sum(item_bytes(item.value) for item in held(answer)),
            lambda answer: _purpose(held(answer)),
        )
        try:
            answer = await self._calls.call(question, extra_seconds)
        except ConnectError as error:
            self._failures += 1
            raise StoreRefusedError(str(error)) from error
        except HttpError as error:
            self._failures += not extra_seconds
            raise StoreUnavailableError(str(error)) from error
        if isinstance(answer.error, StoreRefusedError):
            self._failures += 1
            raise answer.error
        self._failures = 0
        if answer.error is not None:
            raise answer.error
        return answer.result  # type: ignore[return-value]


def _purpose(items: Iterable[StoredItem]) -> Purpose:
    large = any(item.key == CONFIGURATION_KEY for item in items)
    return Purpose.CONFIGURATION if large else Purpose.OTHER

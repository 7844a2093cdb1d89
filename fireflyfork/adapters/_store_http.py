"""A client of the platform's store over HTTP, with ``/v1/keys/KEY`` and entity tags for compare-and-swap."""

from __future__ import annotations

from urllib.parse import quote

from .._decoding import decode_json
from .._errors import InvalidDataError, StoreConflictError, StoreUnavailableError
from .._ids import Revision
from .._links import Address
from ._http import HttpError, ResponseHead
from ._http_client import HttpClient
from ._store import Store, StoredValue


class HttpStore(Store):
    """A client of the store at one address."""

    def __init__(self, address: Address, timeout: float = 1.0) -> None:
        """``timeout`` is in seconds for each call; for ``wait``, it is added to the requested time."""
        self._client = HttpClient(address, timeout)
        self._calls = 0

    @property
    def calls(self) -> int:
        """The number of calls made so far. The platform charges for each."""
        return self._calls

    async def read(self, key: str) -> StoredValue | None:
        """See Store."""
        head, body = await self._call("GET", _path(key))
        return _stored(head, body) if head.status == 200 else None

    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        """See Store."""
        head, _ = await self._call("PUT", _path(key), (_condition(expected),), value)
        if head.status == 412:
            raise StoreConflictError(f"{key} is not at revision {expected}")
        return _revision(head)

    async def delete(self, key: str, expected: Revision) -> None:
        """See Store."""
        head, _ = await self._call("DELETE", _path(key), (_condition(expected),))
        if head.status == 412:
            raise StoreConflictError(f"{key} is not at revision {expected}")

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """See Store."""
        _, body = await self._call("GET", f"/v1/keys?prefix={quote(prefix, safe='')}")
        try:
            return decode_json(body, tuple[str, ...])
        except InvalidDataError as error:
            raise StoreUnavailableError(
                f"the store's list of keys can't be read: {error}"
            ) from error

    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        """See Store."""
        target = f"{_path(key)}?after={after}&wait={seconds}"
        head, body = await self._call("GET", target, extra_seconds=seconds)
        return _stored(head, body) if head.status == 200 else None

    async def _call(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        extra_seconds: float = 0.0,
    ) -> tuple[ResponseHead, bytes]:
        self._calls += 1
        try:
            head, answer = await self._client.call(method, target, headers, body, extra_seconds)
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        if head.status >= 500 or head.status == 429:
            raise StoreUnavailableError(f"the store answered {head.status}")
        return head, answer


def _path(key: str) -> str:
    return f"/v1/keys/{quote(key, safe='')}"


def _condition(expected: Revision) -> tuple[bytes, bytes]:
    if expected == 0:
        return (b"if-none-match", b"*")
    return (b"if-match", f'"{expected}"'.encode("ascii"))


def _revision(head: ResponseHead) -> Revision:
    tag = head.header(b"etag") or ""
    try:
        return Revision(int(tag.strip('"')))
    except ValueError as error:
        raise StoreUnavailableError(f"the store sent entity tag {tag!r}") from error


def _stored(head: ResponseHead, body: bytes) -> StoredValue:
    return StoredValue(body, _revision(head))

"""The HTTP interface of the simulated store."""

from __future__ import annotations

from base64 import b64decode, b64encode
from urllib.parse import parse_qs, urlsplit

import msgspec

from fireflyfork._errors import (
    LeaseEndedError,
    StoreHistoryLostError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionConflictError,
)
from fireflyfork._ids import LeaseId, NodeName, Revision
from fireflyfork.adapters import Exchange, HttpHandler, Put, StoreChange, StoredItem, collect

from ._store import StandInStore

LONGEST_BODY_BYTES = 4 << 20
PAGE_ITEMS = 100


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _PutRow(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    expected_revision: list[_Expected] = []
    puts: list[_PutRow] = []
    remove: list[str] = []


class _LeaseRequest(msgspec.Struct):
    ttl_ms: int


class StoreHttpHandler(HttpHandler):
    """Serves all calls to the store over HTTP."""

    def __init__(self, store: StandInStore, node: NodeName) -> None:
        """Treat all calls as calls of ``node``, so failures affect all callers alike."""
        self._store = store
        self._client = store.client(node)

    async def handle(self, exchange: Exchange) -> None:
        """See HttpHandler."""
        try:
            await self._answer(exchange)
        except StoreHistoryLostError:
            await exchange.answer_json(410, {})
        except LeaseEndedError:
            await exchange.answer_json(404, {})
        except TransactionConflictError as error:
            items = [
                {"key": key, "value": _base64(version.value), "revision": version.revision}
                for key, version in error.current_versions.items()
            ]
            await exchange.answer_json(412, {"items": items})
        except StoreRefusedError:
            await exchange.answer_json(503, {})
        except StoreUnavailableError:
            exchange.abort()

    async def _answer(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.head.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = await collect(exchange.body(), LONGEST_BODY_BYTES)
        match parts.path.split("/")[1:]:
            case ["kv-key"]:
                item = await self._client.read(query["key"])
                found = _item_row(item) if item is not None else {}
                await exchange.answer_json(200 if item is not None else 404, found)
            case ["kv-range"]:
                await exchange.answer_json(200, await self._page(query))
            case ["kv-watch"]:
                await exchange.answer_json(200, await self._changes(query))
            case ["kv-txn"]:
                revision = await self._commit(msgspec.json.decode(body, type=_Transaction))
                await exchange.answer_json(200, {"revision": revision})
            case ["kv-lease"]:
                ttl_ms = msgspec.json.decode(body, type=_LeaseRequest).ttl_ms
                lease = await self._client.grant_lease(ttl_ms / 1000)
                await exchange.answer_json(200, {"lease": lease, "ttl_ms": ttl_ms})
            case ["kv-keep", lease]:
                await self._client.keep_lease(LeaseId(int(lease)))
                await exchange.answer_json(200, {})
            case ["kv-lease-end", lease]:
                await self._client.end_lease(LeaseId(int(lease)))
                await exchange.answer_json(200, {})
            case _:
                await exchange.answer_json(404, {"error": "no such call"})

    async def _page(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], query.get("after", "")
        # The simulated client lists all pages at once, but callers over HTTP request single pages.
        # This read only applies the failures and the latency of a call.
        await self._client.read(prefix)
        left = [item for item in self._store.items_under(prefix) if item.key > after]
        page = left[:PAGE_ITEMS]
        return {
            "items": [_item_row(item) for item in page],
            "has_more": len(left) > len(page),
            "as_of": self._store.revision,
        }

    async def _changes(self, query: dict[str, str]) -> dict[str, object]:
        after, seconds = Revision(int(query["after"])), int(query["wait_ms"]) / 1000
        changes = await self._client.changes(query["path_prefix"], after, seconds)
        return {
            "events": [_change_row(change) for change in changes.changes],
            "as_of": changes.as_of,
        }

    async def _commit(self, transaction: _Transaction) -> Revision:
        return await self._client.commit(
            {row.key: Revision(row.revision) for row in transaction.expected_revision},
            tuple(
                Put(row.key, b64decode(row.value), LeaseId(row.lease) if row.lease else None)
                for row in transaction.puts
            ),
            tuple(transaction.remove),
        )


def _base64(value: bytes) -> str:
    return b64encode(value).decode("ascii")


def _item_row(item: StoredItem) -> dict[str, object]:
    value, lease = _base64(item.value), 0
    return {
        "key": item.key,
        "value": value,
        "revision": item.revision,
        "created": item.created,
        "lease": lease,
    }


def _change_row(change: StoreChange) -> dict[str, object]:
    if change.item is not None:
        return _item_row(change.item)
    return {"key": change.key, "revision": change.revision, "deleted": True}

"""A stand-in of the platform's store, as PROTOCOL.md describes it: linearizable and never lossy."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from .wire import Answer, Request, Server

LATENCY_SECONDS = 0.004
PAGE_ITEMS = 500


@dataclass
class Item:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        """Return the item as it stands in answers."""
        return {
            "key": self.key,
            "value": b64encode(self.value).decode("ascii"),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """The store of one deployment."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._items: dict[str, Item] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.before_answer: Callable[[Request], Awaitable[None]] | None = None
        """Called with each transaction after it was carried out, before its answer is sent."""
        self.server = Server(self._handle)

    def put(self, key: str, value: Any) -> None:
        """Write a key as the operator or an executor; bytes are stored as they are."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        current = self._items.get(key)
        if current is None or current.value != data:
            self._apply([(key, data, 0)], [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._apply([], [key])

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self._items.get(key)
        return item.value if item is not None else None

    async def run(self) -> None:
        """End leases when they are over."""
        while True:
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            for lease in [name for name, (_, end) in self._leases.items() if end <= now]:
                del self._leases[lease]
                keys = [item.key for item in self._items.values() if item.lease == lease]
                self._apply([], keys)

    def _apply(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        puts_or_removes = bool(puts) or any(key in self._items for key in removals)
        if not puts_or_removes:
            return self._revision
        self._revision += 1
        for key, value, lease in puts:
            current = self._items.get(key)
            created = current.created if current is not None else self._revision
            item = Item(key, value, self._revision, created, lease)
            self._items[key] = item
            self._events.append(item.row())
        for key in removals:
            if self._items.pop(key, None) is not None:
                self._events.append({"key": key, "revision": self._revision, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(LATENCY_SECONDS)
        match request.path.split("/")[1:]:
            case ["kv-key"]:
                item = self._items.get(request.query["key"])
                return Answer(404) if item is None else Answer(200, self._row(item))
            case ["kv-range"]:
                return self._range(request.query)
            case ["kv-watch"]:
                return await self._watch(request.query)
            case ["kv-txn"]:
                answer = self._transaction(request.json())
                if self.before_answer is not None:
                    await self.before_answer(request)
                return answer
            case ["kv-lease"]:
                return self._grant(request.json()["ttl_ms"])
            case ["kv-keep", lease]:
                return self._keep(int(lease))
            case ["kv-lease-end", lease]:
                if int(lease) not in self._leases:
                    return Answer(404)
                seconds, _ = self._leases[int(lease)]
                self._leases[int(lease)] = (seconds, 0.0)
                return Answer(200)
        return Answer(404)

    def _row(self, item: Item) -> dict[str, Any]:
        return {**item.row(), "as_of": self._revision}

    def _range(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        rows = [self._items[key].row() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return Answer(200, {"items": rows, "has_more": more, "as_of": self._revision})

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return Answer(200, {"events": events, "as_of": self._revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _transaction(self, body: dict[str, Any]) -> Answer:
        expected = {row["key"]: row["revision"] for row in body.get("expected_revision", [])}
        found = {key: self._items[key] for key in expected if key in self._items}
        if any((found[key].revision if key in found else 0) != n for key, n in expected.items()):
            return Answer(412, {"items": [item.row() for item in found.values()]})
        puts = body.get("puts", [])
        if any(row.get("lease", 0) and row["lease"] not in self._leases for row in puts):
            return Answer(404)
        rows = [(row["key"], b64decode(row["value"]), row.get("lease", 0)) for row in puts]
        return Answer(200, {"revision": self._apply(rows, body.get("remove", []))})

    def _grant(self, ttl_ms: int) -> Answer:
        self._next_lease += 1
        end = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[self._next_lease] = (ttl_ms / 1000, end)
        return Answer(200, {"lease": self._next_lease, "ttl_ms": ttl_ms})

    def _keep(self, lease: int) -> Answer:
        if lease not in self._leases:
            return Answer(404)
        seconds, _ = self._leases[lease]
        self._leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return Answer(200, {"ttl_ms": int(seconds * 1000)})

"""The platform's store: items with revisions, conditional transactions, leases and watches."""

from __future__ import annotations

import asyncio
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import Any

from .wire import Answer, Request

MAX_ITEMS = 500
MIN_TTL_MS = 1000
LATENCY_SECONDS = 0.004


@dataclass
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": b64encode(self.value).decode("ascii"),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass
class _Lease:
    ttl_ms: int
    until: float
    keys: set[str] = field(default_factory=set)


class Store:
    """The store and its HTTP interface."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._next_lease = 1000
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """End the leases that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number, lease in tuple(self._leases.items()):
                if lease.until <= now:
                    self._end_lease(number)

    def put(self, key: str, value: bytes) -> None:
        """Write a key, as the operator and the executors do."""
        self._apply([(key, value, 0)], [])

    def remove(self, key: str) -> None:
        """Remove a key, as it happens to the entry of an executor that is silent."""
        if key in self._items:
            self._apply([], [key])

    def get(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return item.value if item is not None else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        await asyncio.sleep(LATENCY_SECONDS)
        name = request.path.split("/")[1]
        match request.method, name:
            case "GET", "kv-key":
                item = self._items.get(request.query["key"])
                return (404, {}) if item is None else (200, item.row() | {"as_of": self._revision})
            case "GET", "kv-range":
                return 200, self._range(request.query)
            case "GET", "kv-watch":
                return 200, await self._watch(request.query)
            case "POST", "kv-txn":
                return self._transaction(request.json())
            case "POST", "kv-lease":
                return 200, self._grant(int(request.json()["ttl_ms"]))
            case "POST", "kv-keep":
                return self._keep(int(request.path.split("/")[2]))
            case "DELETE", "kv-lease-end":
                self._end_lease(int(request.path.split("/")[2]))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        left = [key for key in self.keys(query["path_prefix"]) if key > after]
        rows = [self._items[key].row() for key in left[:MAX_ITEMS]]
        return {"items": rows, "has_more": len(left) > MAX_ITEMS, "as_of": self._revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        while not (events := self._after(prefix, after)) and (left := until - time.monotonic()) > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                break
        if len(events) > MAX_ITEMS:
            # A transaction is never split between two answers.
            last = events[MAX_ITEMS]["revision"]
            events = [event for event in events[:MAX_ITEMS] if event["revision"] < last]
            return {"events": events, "as_of": events[-1]["revision"]}
        return {"events": events, "as_of": self._revision}

    def _after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _transaction(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expected_revision", [])
        present = {row["key"]: self._items.get(row["key"]) for row in expected}
        if any(
            (item.revision if (item := present[row["key"]]) is not None else 0) != row["revision"]
            for row in expected
        ):
            return 412, {"items": [item.row() for item in present.values() if item is not None]}
        puts = [
            (row["key"], b64decode(row["value"]), int(row.get("lease", 0))) for row in body["puts"]
        ]
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, {}
        return 200, {"revision": self._apply(puts, body.get("remove", []))}

    def _apply(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        self._revision += 1
        for key, value, lease in puts:
            before = self._items.get(key)
            self._detach(key)
            created = before.created if before is not None else self._revision
            item = self._items[key] = _Item(key, value, self._revision, created, lease)
            if lease:
                self._leases[lease].keys.add(key)
            self._events.append(item.row())
        for key in removals:
            if key in self._items:
                self._detach(key)
                del self._items[key]
                self._events.append({"key": key, "revision": self._revision, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    def _detach(self, key: str) -> None:
        item = self._items.get(key)
        if item is not None and item.lease in self._leases:
            self._leases[item.lease].keys.discard(key)

    def _grant(self, ttl_ms: int) -> dict[str, Any]:
        ttl_ms = max(MIN_TTL_MS, ttl_ms)
        self._next_lease += 1
        self._leases[self._next_lease] = _Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return {"lease": self._next_lease, "ttl_ms": ttl_ms}

    def _keep(self, number: int) -> Answer:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {}
        lease.until = time.monotonic() + lease.ttl_ms / 1000
        return 200, {"ttl_ms": lease.ttl_ms}

    def _end_lease(self, number: int) -> None:
        lease = self._leases.pop(number, None)
        if lease is not None and lease.keys:
            self._apply([], sorted(lease.keys))

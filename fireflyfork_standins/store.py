"""A stand-in for the platform's store, in memory: ``python -m fireflyfork_standins.store IP:PORT``.

``/v1/keys/KEY`` accepts GET, PUT and DELETE with entity tags. ``GET /v1/keys?prefix=PREFIX`` lists
keys, ``GET /v1/keys/KEY?after=REVISION&wait=SECONDS`` waits for a change, and ``GET /statistics``
returns the number of calls of each kind.
"""

from __future__ import annotations

import sys
from collections import Counter
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from fireflyfork import Address, Revision
from fireflyfork.adapters import Exchange, StoredValue, collect

from ._program import serve_until_stopped
from ._switches import SwitchedHandler

LONGEST_VALUE_BYTES = 1 << 20


class StoreHandler(SwitchedHandler):
    """Stores values in memory and serves them over HTTP."""

    def __init__(self) -> None:
        """Create an empty store at revision 0."""
        super().__init__()
        self._values: dict[str, StoredValue] = {}
        self._revision = 0
        self._change = trio.Event()
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Number of calls by kind, as the platform would bill them."""
        return self._counts

    async def serve(self, exchange: Exchange) -> None:
        """Answer a call to the store or a request for its statistics."""
        parts = urlsplit(exchange.head.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/statistics":
            await exchange.answer_json(200, dict(self._counts))
        elif parts.path == "/v1/keys":
            self._counts["list"] += 1
            prefix = query.get("prefix", "")
            names = sorted(key for key in self._values if key.startswith(prefix))
            await exchange.answer_json(200, names)
        elif parts.path.startswith("/v1/keys/"):
            await self._serve_key(exchange, unquote(parts.path[len("/v1/keys/") :]), query)
        else:
            await exchange.answer_json(404, {"error": "no such path"})

    async def _serve_key(self, exchange: Exchange, key: str, query: dict[str, str]) -> None:
        method = exchange.head.method
        if method == "GET" and "after" in query:
            await self._wait(exchange, key, int(query["after"]), float(query.get("wait", "30")))
        elif method == "GET":
            self._counts["read"] += 1
            await self._answer_value(exchange, self._values.get(key), 404)
        elif method in ("PUT", "DELETE"):
            await self._change_key(exchange, key)
        else:
            await exchange.answer_json(405, {"error": "use GET, PUT or DELETE"})

    async def _wait(self, exchange: Exchange, key: str, after: int, seconds: float) -> None:
        self._counts["watch"] += 1
        with trio.move_on_after(seconds):
            while (stored := self._values.get(key)) is None or stored.revision <= after:
                await self._change.wait()
        stored = self._values.get(key)
        newer = stored if stored is not None and stored.revision > after else None
        await self._answer_value(exchange, newer, 304)

    async def _change_key(self, exchange: Exchange, key: str) -> None:
        self._counts["write"] += 1
        value = await collect(exchange.body(), 2 * LONGEST_VALUE_BYTES)
        if len(value) > LONGEST_VALUE_BYTES:
            await exchange.answer_json(413, {"error": "value over 1 MB"})
            return
        if not self._condition_holds(exchange, key):
            await exchange.answer_json(412, {"error": "another revision"})
            return
        self._apply(exchange.head.method, key, value)
        if self.loses_this_answer():
            exchange.abort()
            return
        await exchange.answer(200, b"", (_entity_tag(self._revision),))

    def _condition_holds(self, exchange: Exchange, key: str) -> bool:
        stored = self._values.get(key)
        if exchange.head.header(b"if-none-match") == "*":
            return stored is None
        expected = exchange.head.header(b"if-match")
        return stored is not None and expected == f'"{stored.revision}"'

    def _apply(self, method: str, key: str, value: bytes) -> None:
        self._revision += 1
        if method == "DELETE":
            del self._values[key]
        else:
            self._values[key] = StoredValue(value, Revision(self._revision))
        self._change.set()
        self._change = trio.Event()

    @staticmethod
    async def _answer_value(exchange: Exchange, stored: StoredValue | None, absent: int) -> None:
        if stored is None:
            await exchange.answer(absent, b"")
            return
        await exchange.answer(200, stored.value, (_entity_tag(stored.revision),))


def _entity_tag(revision: int) -> tuple[bytes, bytes]:
    return (b"etag", f'"{revision}"'.encode("ascii"))


def main() -> None:
    """Run the stand-in at the address given on the command line."""
    trio.run(serve_until_stopped, StoreHandler(), Address.parse(sys.argv[1]))


if __name__ == "__main__":
    main()

"""A stand-in for the platform's instance list: ``python -m fireflyfork_standins.instances IP:PORT``.

``GET /v1/instances?after=CURSOR&wait=SECONDS`` reads changes. ``PUT /v1/instances/ID`` with the body
``live``, ``leaving`` or ``gone`` makes a change, which readers see after a lag.
"""

from __future__ import annotations

import sys
from urllib.parse import parse_qs, unquote, urlsplit

import trio

from fireflyfork import Address, TargetId
from fireflyfork.adapters import (
    Exchange,
    InstanceChange,
    InstanceChanges,
    InstanceState,
    collect,
)

from ._program import serve_until_stopped
from ._switches import SwitchedHandler

_PATH = "/v1/instances"


class InstancesHandler(SwitchedHandler):
    """Serves the instance list over HTTP."""

    def __init__(self, lag_seconds: float = 1.0) -> None:
        """Create an empty list whose changes become visible ``lag_seconds`` after they are made."""
        super().__init__()
        self._lag = lag_seconds
        self._changes: list[tuple[float, InstanceChange]] = []

    def change(self, target_id: TargetId, state: InstanceState) -> None:
        """Set the state of an instance."""
        self._changes.append((trio.current_time() + self._lag, InstanceChange(target_id, state)))

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request that reads or makes changes."""
        parts = urlsplit(exchange.head.target)
        if exchange.head.method == "PUT" and parts.path.startswith(f"{_PATH}/"):
            await self._put(exchange, TargetId(unquote(parts.path[len(_PATH) + 1 :])))
        elif parts.path == _PATH:
            query = parse_qs(parts.query)
            after, wait = int(query["after"][0]), float(query.get("wait", ["0"])[0])
            await exchange.answer_json(200, await self._wait(after, wait))
        else:
            await exchange.answer_json(404, {"error": "no such path"})

    async def _put(self, exchange: Exchange, target_id: TargetId) -> None:
        text = (await collect(exchange.body(), 64)).decode("ascii", "replace").strip()
        try:
            self.change(target_id, InstanceState(text))
        except ValueError:
            await exchange.answer_json(400, {"error": "live, leaving or gone"})
            return
        await exchange.answer_json(200, {"visible_after_seconds": self._lag})

    async def _wait(self, after: int, seconds: float) -> InstanceChanges:
        deadline = trio.current_time() + seconds
        while not (visible := self._visible(after)) and trio.current_time() < deadline:
            await trio.sleep(min(0.1, max(0.0, deadline - trio.current_time())))
        return InstanceChanges(after + len(visible), visible)

    def _visible(self, after: int) -> tuple[InstanceChange, ...]:
        now = trio.current_time()
        return tuple(change for at, change in self._changes[after:] if at <= now)


def main() -> None:
    """Run the stand-in at the address given on the command line."""
    trio.run(serve_until_stopped, InstancesHandler(), Address.parse(sys.argv[1]))


if __name__ == "__main__":
    main()

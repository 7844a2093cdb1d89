"""Failure switches of the stand-ins, which tests and operators set over HTTP."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
import trio

from fireflyfork.adapters import Exchange, HttpHandler, collect

_LONGEST_SWITCHES = 4096


@dataclass(frozen=True, slots=True)
class Switches:
    """Failures that a stand-in currently simulates."""

    down: bool = False
    """Answer every request with status 503 and change nothing."""
    slow_seconds: float = 0.0
    """Delay before each request is served, in seconds."""
    lose_answers: int = 0
    """Number of further changes that take effect but whose connection is reset without an answer."""
    silent: bool = False
    """Keep connections open but never answer."""
    paused: bool = False
    """Process no request until the switch is off again, like a stopped process."""


class SwitchedHandler(HttpHandler):
    """A base class for handlers with failure switches at ``PUT /switches``."""

    def __init__(self) -> None:
        """Create a handler with all switches off."""
        self.switches = Switches()
        self._changed = trio.Event()

    def switch(self, switches: Switches) -> None:
        """Replace all switches."""
        self.switches = switches
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Set the switches, or pass the request to ``serve`` with the failures that are set."""
        if exchange.head.target == "/switches":
            await self._set(exchange)
            return
        while self.switches.paused:
            await self._changed.wait()
        if self.switches.silent:
            await trio.sleep_forever()
        if self.switches.down:
            await exchange.answer_json(503, {"error": "switched down"})
            return
        await trio.sleep(self.switches.slow_seconds)
        await self.serve(exchange)

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request for a path other than ``/switches``."""
        raise NotImplementedError

    def loses_this_answer(self) -> bool:
        """Return whether to drop the answer to a change that took effect.

        Decrements ``lose_answers`` if so.
        """
        if not self.switches.lose_answers:
            return False
        self.switches = replace(self.switches, lose_answers=self.switches.lose_answers - 1)
        return True

    async def _set(self, exchange: Exchange) -> None:
        body = await collect(exchange.body(), _LONGEST_SWITCHES)
        try:
            self.switch(msgspec.json.decode(body, type=Switches))
        except msgspec.DecodeError as error:
            await exchange.answer_json(400, {"error": str(error)})
            return
        await exchange.answer_json(200, self.switches)

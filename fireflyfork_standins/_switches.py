"""Failure switches that a test or an operator's curl sets on a stand-in over HTTP."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
import trio

from fireflyfork.adapters import Exchange, HttpHandler, collect

_LONGEST_SWITCHES = 4096


@dataclass(frozen=True, slots=True)
class Switches:
    """What a stand-in does wrong at present."""

    down: bool = False
    """Answer 503 before anything takes effect."""
    slow_seconds: float = 0.0
    """Wait this long before each answer."""
    lose_answers: int = 0
    """Let so many changes take effect and reset the connection instead of answering."""
    silent: bool = False
    """Keep connections open and never answer."""
    paused: bool = False
    """Take no request until switched back, as a stopped process would."""


class SwitchedHandler(HttpHandler):
    """A handler with failure switches at ``PUT /switches``."""

    def __init__(self) -> None:
        """All switches off."""
        self.switches = Switches()
        self._changed = trio.Event()

    def switch(self, switches: Switches) -> None:
        """Set all switches."""
        self.switches = switches
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Set switches, or misbehave as they say around ``serve``."""
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
        """Answer one ordinary request."""
        raise NotImplementedError

    def loses_this_answer(self) -> bool:
        """Whether the answer to a change that took effect is to be lost; counts it if so."""
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

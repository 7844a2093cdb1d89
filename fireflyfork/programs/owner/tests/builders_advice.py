"""Builders for tests of calls to the advisor."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ....adapters import Advice, Advisor

Answer = Callable[[str, tuple[str, ...]], Awaitable[Advice]]


class ScriptedAdvisor(Advisor):
    """An advisor whose answers are computed by the test."""

    def __init__(self, answer: Answer) -> None:
        """``answer`` returns the advice about a step and some executors, or raises AdvisorError."""
        self._answer = answer
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        """Step and executors of each call."""

    async def advise(self, step: str, executors: tuple[str, ...], fresh: bool = False) -> Advice:
        """See Advisor."""
        self.calls.append((step, executors))
        return await self._answer(step, executors)

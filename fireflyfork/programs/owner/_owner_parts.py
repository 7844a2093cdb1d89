"""The parts of an owner, each of which can be run again after an error."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

Run = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Part:
    """A part that runs beside the others."""

    name: str
    """The name by which its errors are reported."""
    run: Run


def first_then(first: Run, later: Run) -> Run:
    """Return a function that runs ``first`` when it is called, and ``later`` whenever called again."""
    unused = [first]

    async def run() -> None:
        await (unused.pop() if unused else later)()

    return run

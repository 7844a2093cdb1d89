"""The one link between two regions, which everything that crosses it shares."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

DELAY_SECONDS = 0.02
"""One way."""
SEGMENT_BYTES = 16_384
WINDOW_BYTES = 262_144
"""What one connection may have under way. Many answers share the link by turns of so much, so that each
pauses once it has begun."""


class Region(Enum):
    """The two regions."""

    NEAR = "near"
    """Where the store is."""
    FAR = "far"

    @property
    def other(self) -> Region:
        """The one on the other side of the link."""
        return Region.FAR if self is Region.NEAR else Region.NEAR


class Purpose(Enum):
    """What bytes on the link are for."""

    CONFIGURATION = "configuration"
    POLLS = "polls"
    ORDERS = "orders"
    OTHER = "other"


class RegionLink:
    """A link of limited bandwidth each way. What is sent first arrives first; nothing is lost."""

    def __init__(self, mbps: float) -> None:
        """Idle."""
        self._bytes_per_second = mbps * 1e6 / 8
        self._free_at = dict.fromkeys(Region, 0.0)
        self._crossed: Counter[Purpose] = Counter()
        self._nursery: trio.Nursery | None = None

    @property
    def crossed(self) -> dict[Purpose, int]:
        """Bytes sent so far in both directions."""
        return dict(self._crossed)

    async def run(self) -> None:
        """Let what is under way outlive its sender, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def go_on(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task of whoever is at the other end."""
        if self._nursery is not None:
            self._nursery.start_soon(task)

    def send(self, towards: Region, size: int, purpose: Purpose) -> float:
        """Put so many bytes on the link. Their time of arrival."""
        begins = max(trio.current_time(), self._free_at[towards])
        self._free_at[towards] = begins + size / self._bytes_per_second
        self._crossed[purpose] += size
        return self._free_at[towards] + DELAY_SECONDS

    async def carry(self, towards: Region, size: int, purpose: Purpose) -> None:
        """Send, and wait for the arrival."""
        await trio.sleep_until(self.send(towards, size, purpose))

    async def stream(
        self, towards: Region, size: int, purpose: Purpose, received: Callable[[], None]
    ) -> None:
        """Send something large, a window at a time; ``received`` is called with each part of it."""
        under_way: deque[float] = deque()
        left = size
        while left or under_way:
            while left and len(under_way) * SEGMENT_BYTES < WINDOW_BYTES:
                part = min(left, SEGMENT_BYTES)
                left -= part
                under_way.append(self.send(towards, part, purpose))
            await trio.sleep_until(under_way.popleft())
            received()

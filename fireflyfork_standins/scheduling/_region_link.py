"""The link between two regions, whose bandwidth all traffic between them shares."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

DELAY_SECONDS = 0.02
"""Propagation delay in one direction."""
SEGMENT_BYTES = 16_384
WINDOW_BYTES = 262_144
"""Maximum number of unacknowledged bytes of a connection. Concurrent answers take turns on the link,
one window each, so each of them pauses after its first window."""


class Region(Enum):
    """The two regions."""

    NEAR = "near"
    """The region of the store."""
    FAR = "far"

    @property
    def other(self) -> Region:
        """The region at the other end of the link."""
        return Region.FAR if self is Region.NEAR else Region.NEAR


class Purpose(Enum):
    """Kind of traffic on the link."""

    CONFIGURATION = "configuration"
    POLLS = "polls"
    ORDERS = "orders"
    OTHER = "other"


class RegionLink:
    """A link with limited bandwidth in each direction, which delivers in order and without loss."""

    def __init__(self, mbps: float) -> None:
        """Create an idle link with a bandwidth of ``mbps`` Mbit/s in each direction."""
        self._bytes_per_second = mbps * 1e6 / 8
        self._free_at = dict.fromkeys(Region, 0.0)
        self._crossed: Counter[Purpose] = Counter()
        self._nursery: trio.Nursery | None = None

    @property
    def crossed(self) -> dict[Purpose, int]:
        """Number of bytes sent so far by kind of traffic, both directions together."""
        return dict(self._crossed)

    async def run(self) -> None:
        """Run the tasks of ``run_in_background`` until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def run_in_background(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the remote end, which continues if the caller ends."""
        if self._nursery is not None:
            self._nursery.start_soon(task)

    def send(self, towards: Region, size: int, purpose: Purpose) -> float:
        """Queue ``size`` bytes on the link and return the time at which the last one arrives."""
        begins = max(trio.current_time(), self._free_at[towards])
        self._free_at[towards] = begins + size / self._bytes_per_second
        self._crossed[purpose] += size
        return self._free_at[towards] + DELAY_SECONDS

    async def carry(self, towards: Region, size: int, purpose: Purpose) -> None:
        """Send ``size`` bytes and wait for their arrival."""
        await trio.sleep_until(self.send(towards, size, purpose))

    async def stream(
        self, towards: Region, size: int, purpose: Purpose, received: Callable[[], None]
    ) -> None:
        """Send ``size`` bytes with at most one window in flight, and wait for their arrival.

        ``received`` is called for each segment that arrives.
        """
        in_flight: deque[float] = deque()
        remaining = size
        while remaining or in_flight:
            while remaining and len(in_flight) * SEGMENT_BYTES < WINDOW_BYTES:
                part = min(remaining, SEGMENT_BYTES)
                remaining -= part
                in_flight.append(self.send(towards, part, purpose))
            await trio.sleep_until(in_flight.popleft())
            received()

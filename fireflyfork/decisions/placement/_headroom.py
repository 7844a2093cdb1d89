"""Room kept free for the urgent work to come, as much as lately arrived at once."""

from __future__ import annotations

from collections.abc import Callable

from ..._machines import Resources
from ._fleet import Fleet
from ._worker_entries import WorkerEntry

_WINDOW_SECONDS = 5.0
_HALF_LIFE_SECONDS = 1800.0
_LARGEST_SHARE_OF_WORKERS = 0.1
_LEAST_PEAK = 0.5
_LEAST_KEPT = 2
_GUESSED_PART_OF_WORKER = 8
"""An urgent task is taken to need an eighth of a worker until one of them is larger."""


class UrgentHeadroom:
    """Holds the size of an urgent task on as many workers as urgent tasks came in a few seconds.

    Without it urgent work on a full fleet waits for evictions, and each of them costs batch work.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start without any urgent demand."""
        self._fleet = fleet
        self._kept: dict[WorkerEntry, Resources] = {}
        self._size = Resources()
        self._peak = 0.0
        self._peak_at = 0.0
        self._window_began = float("-inf")
        self._window_count = 0

    def note_arrival(self, need: Resources, now: float) -> None:
        """Count one urgent task that starts."""
        if now - self._window_began > _WINDOW_SECONDS:
            self._window_began = now
            self._window_count = 0
        self._window_count += 1
        self._peak = max(self._faded_peak(now), float(self._window_count))
        self._peak_at = now
        self._size = _larger(self._size, need)

    def take(self, need: Resources, accepts: Callable[[WorkerEntry], bool]) -> WorkerEntry | None:
        """A worker whose kept room holds ``need``; it is no longer kept."""
        for entry, amount in self._kept.items():
            if not accepts(entry):
                continue
            self._fleet.release(entry, amount)
            if entry.has_room(need):
                del self._kept[entry]
                return entry
            self._fleet.hold(entry, amount)
        return None

    def replenish(self, may_come: bool, now: float) -> None:
        """Keep room on more workers, or on fewer, as the demand asks.

        ``may_come`` says whether any team may submit urgent work; some room is then kept before
        the first of it comes, which would otherwise wait for a checkpoint and a stop.
        """
        self._drop_unlisted()
        peak = self._faded_peak(now)
        most = int(_LARGEST_SHARE_OF_WORKERS * len(self._fleet.entries))
        wanted = round(peak) + 1 if peak >= _LEAST_PEAK else 0
        if may_come:
            wanted = max(wanted, _LEAST_KEPT)
            self._size = _larger(self._size, self._first_guess())
        wanted = min(wanted, most)
        while len(self._kept) > wanted:
            entry, amount = self._kept.popitem()
            self._fleet.release(entry, amount)
        if len(self._kept) < wanted:
            self._keep_more(wanted - len(self._kept))

    def _first_guess(self) -> Resources:
        capacities = self._fleet.capacities
        largest = max(capacities, key=lambda item: item.millicores, default=Resources())
        parts = _GUESSED_PART_OF_WORKER
        return Resources(largest.millicores // parts, largest.memory // parts)

    def _keep_more(self, count: int) -> None:
        found = []
        for entry in self._fleet.with_room(self._size):
            if entry not in self._kept:
                found.append(entry)
            if len(found) >= count:
                break
        for entry in found:
            self._fleet.hold(entry, self._size)
            self._kept[entry] = self._size

    def _drop_unlisted(self) -> None:
        entries = self._fleet.entries
        gone = [entry for entry in self._kept if entries.get(entry.worker.worker_id) is not entry]
        for entry in gone:
            self._fleet.release(entry, self._kept.pop(entry))

    def _faded_peak(self, now: float) -> float:
        return self._peak * float(0.5 ** ((now - self._peak_at) / _HALF_LIFE_SECONDS))


def _larger(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory, other.memory),
        max(one.accelerators, other.accelerators),
    )

"""Keeps resources free for future urgent tasks, as many as recently arrived together."""

from __future__ import annotations

from collections.abc import Callable

from ..._machines import Resources
from ._fleet import Fleet
from ._worker_entries import WorkerEntry

_WINDOW_SECONDS = 5.0
"""Urgent tasks that start within this time count as simultaneous."""
_HALF_LIFE_SECONDS = 1800.0
"""The half-life of the peak number of simultaneous urgent tasks."""
_LARGEST_SHARE_OF_WORKERS = 0.1
_LEAST_PEAK = 0.5
"""Below this peak, no headroom is kept for past demand."""
_LEAST_KEPT = 2
"""The minimum number of workers with headroom if any team may submit urgent work."""
_GUESSED_PART_OF_WORKER = 8
"""An urgent task is assumed to need an eighth of a worker until a larger one has arrived."""


class UrgentHeadroom:
    """Holds room for one urgent task on each of several workers.

    The number of workers follows the peak number of urgent tasks within a few seconds. Without this
    headroom, urgent work on a full fleet waits for evictions, and each eviction costs batch work.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start without urgent demand and without held resources."""
        self._fleet = fleet
        self._kept: dict[WorkerEntry, Resources] = {}
        self._size = Resources()
        self._peak = 0.0
        self._peak_at = 0.0
        self._window_began = float("-inf")
        self._window_count = 0

    def note_arrival(self, need: Resources, now: float) -> None:
        """Count an urgent task that starts, and update the peak and the largest size."""
        if now - self._window_began > _WINDOW_SECONDS:
            self._window_began = now
            self._window_count = 0
        self._window_count += 1
        self._peak = max(self._faded_peak(now), float(self._window_count))
        self._peak_at = now
        self._size = _larger(self._size, need)

    def take(self, need: Resources, accepts: Callable[[WorkerEntry], bool]) -> WorkerEntry | None:
        """Release the headroom of a worker that then has room for ``need``.

        Return the worker, or None if there is none.
        """
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
        """Adjust the number of workers with headroom to the demand.

        ``urgent_work_allowed`` states whether any team may submit urgent work. If so, a minimum of
        headroom is kept before the first urgent task arrives, which would otherwise wait for a
        batch task to be checkpointed and stopped.
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

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
_MAX_SHARE_OF_WORKERS = 0.1
_MIN_PEAK = 0.5
"""Below this peak, no headroom is kept for past demand."""
_MIN_WORKERS = 2
"""The minimum number of workers with headroom if any team may submit urgent work."""
_INITIAL_SIZE_DIVISOR = 8
"""An urgent task is assumed to need an eighth of a worker until a larger one has arrived."""


class UrgentHeadroom:
    """Holds room for one urgent task on each of several workers.

    The number of workers follows the peak number of urgent tasks within a few seconds. Without this
    headroom, urgent work on a full fleet waits for evictions, and each eviction costs batch work.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start without urgent demand and without held resources."""
        self._fleet = fleet
        self._held: dict[WorkerEntry, Resources] = {}
        self._size_per_worker = Resources()
        """The resources to hold on each worker: the largest need of an urgent task so far."""
        self._peak = 0.0
        self._peak_at = 0.0
        self._window_start = float("-inf")
        self._window_arrivals = 0
        """Number of urgent tasks that started in the current window."""

    def record_arrival(self, need: Resources, now: float) -> None:
        """Count an urgent task that starts, and update the peak and the size to hold."""
        if now - self._window_start > _WINDOW_SECONDS:
            self._window_start = now
            self._window_arrivals = 0
        self._window_arrivals += 1
        self._peak = max(self._decayed_peak(now), float(self._window_arrivals))
        self._peak_at = now
        self._size_per_worker = _maximum(self._size_per_worker, need)

    def take(self, need: Resources, accepts: Callable[[WorkerEntry], bool]) -> WorkerEntry | None:
        """Release the headroom of a worker that then has room for ``need``.

        Return the worker, or None if there is none.
        """
        for entry, amount in self._held.items():
            if not accepts(entry):
                continue
            self._fleet.release(entry, amount)
            if entry.has_room(need):
                del self._held[entry]
                return entry
            self._fleet.hold(entry, amount)
        return None

    def replenish(self, urgent_work_allowed: bool, now: float) -> None:
        """Adjust the number of workers with headroom to the demand.

        ``urgent_work_allowed`` states whether any team may submit urgent work. If so, a minimum of
        headroom is kept before the first urgent task arrives, which would otherwise wait for a
        batch task to be checkpointed and stopped.
        """
        self._drop_unlisted()
        peak = self._decayed_peak(now)
        max_workers = int(_MAX_SHARE_OF_WORKERS * len(self._fleet.entries))
        worker_count = round(peak) + 1 if peak >= _MIN_PEAK else 0
        if urgent_work_allowed:
            worker_count = max(worker_count, _MIN_WORKERS)
            self._size_per_worker = _maximum(self._size_per_worker, self._initial_size())
        worker_count = min(worker_count, max_workers)
        while len(self._held) > worker_count:
            entry, amount = self._held.popitem()
            self._fleet.release(entry, amount)
        if len(self._held) < worker_count:
            self._hold_more(worker_count - len(self._held))

    def _initial_size(self) -> Resources:
        capacities = self._fleet.capacities
        largest = max(capacities, key=lambda item: item.millicores, default=Resources())
        divisor = _INITIAL_SIZE_DIVISOR
        return Resources(largest.millicores // divisor, largest.memory // divisor)

    def _hold_more(self, count: int) -> None:
        added = []
        for entry in self._fleet.with_room(self._size_per_worker):
            if entry not in self._held:
                added.append(entry)
            if len(added) >= count:
                break
        for entry in added:
            self._fleet.hold(entry, self._size_per_worker)
            self._held[entry] = self._size_per_worker

    def _drop_unlisted(self) -> None:
        entries = self._fleet.entries
        unlisted = [
            entry for entry in self._held if entries.get(entry.worker.worker_id) is not entry
        ]
        for entry in unlisted:
            self._fleet.release(entry, self._held.pop(entry))

    def _decayed_peak(self, now: float) -> float:
        return self._peak * float(0.5 ** ((now - self._peak_at) / _HALF_LIFE_SECONDS))


def _maximum(first: Resources, second: Resources) -> Resources:
    return Resources(
        max(first.millicores, second.millicores),
        max(first.memory, second.memory),
        max(first.accelerators, second.accelerators),
    )

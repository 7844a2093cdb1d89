"""The policy's state of each worker and of each attempt that may be running."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..._ids import ServiceName, TaskId
from ..._machines import Resources, Worker
from .._tasks import Task
from ._classes import TaskClass
from ._interference import BandEstimate
from ._pressure import Pressure

_NO_RESOURCES = Resources()


@dataclass(frozen=True, slots=True)
class ServiceForecast:
    """The predicted latency of one service on one worker under the current tasks."""

    replicas: int
    ratio: float
    """The predicted ratio of p99 latency to objective."""
    estimate: BandEstimate


class WorkerEntry:
    """The policy's state of one worker.

    Free resources are plain integers, since they change with each start.
    """

    __slots__ = (
        "departed",
        "forecasts",
        "free_accelerators",
        "free_memory",
        "free_millicores",
        "held",
        "number",
        "pending_by_class",
        "pressure",
        "replicas",
        "reserved",
        "service_millicores",
        "throttled",
        "used_by_class",
        "used_millicores",
        "worker",
    )

    def __init__(self, worker: Worker) -> None:
        """Start without any reservation or usage."""
        self.number = -1
        """The worker's number in the index while the worker is listed."""
        self.worker = worker
        self.reserved: Resources | None = None
        """The task table's value from which ``free_*`` was last computed; None forces an update."""
        self.held = _NO_RESOURCES
        """Resources held for urgent work, as headroom or after evictions."""
        self.free_millicores = 0
        self.free_memory = 0
        self.free_accelerators = 0
        self.used_millicores = 0
        self.used_by_class: dict[TaskClass, int] = {}
        self.pending_by_class: dict[TaskClass, int] = {}
        """Millicores reserved by attempts that no usage report has covered yet."""
        self.replicas: dict[ServiceName, int] = {}
        self.service_millicores = 0
        """Millicores reserved by the replicas."""
        self.departed: deque[tuple[float, TaskClass, int]] = deque()
        """The end times, classes and millicores of ended attempts, which the last reports may still
        include."""
        self.forecasts: dict[int, list[ServiceForecast]] = {}
        """Cached forecasts by load band. Reports clear them, and starts update them."""
        self.pressure = Pressure()
        self.throttled: set[TaskId] = set()

    def has_room(self, need: Resources) -> bool:
        """Return whether ``need`` fits into the resources that are neither reserved nor held."""
        return (
            need.memory <= self.free_memory
            and need.millicores <= self.free_millicores
            and need.accelerators <= self.free_accelerators
        )

    def subtract_free(self, need: Resources) -> None:
        """Subtract the reservation of a start, or held resources, from the free resources."""
        self.free_millicores -= need.millicores
        self.free_memory -= need.memory
        self.free_accelerators -= need.accelerators

    def refresh(self, reserved: Resources) -> None:
        """Recompute the free resources from the reservations in the task table."""
        self.reserved = reserved
        capacity = self.worker.capacity
        self.free_millicores = capacity.millicores - reserved.millicores - self.held.millicores
        self.free_memory = capacity.memory - reserved.memory - self.held.memory
        self.free_accelerators = (
            capacity.accelerators - reserved.accelerators - self.held.accelerators
        )

    def add_replica(self, service: ServiceName, millicores: int) -> None:
        """Add a replica with its reservation."""
        self.forecasts.clear()
        self.replicas[service] = self.replicas.get(service, 0) + 1
        self.service_millicores += millicores

    def drop_replica(self, service: ServiceName, millicores: int) -> None:
        """Remove a replica with its reservation."""
        self.forecasts.clear()
        self.service_millicores -= millicores
        remaining = self.replicas[service] - 1
        if remaining:
            self.replicas[service] = remaining
        else:
            del self.replicas[service]

    def expected_load(self) -> float:
        """Return the expected processor load of the current tasks, as a share of the worker."""
        expected = self.used_millicores + sum(self.pending_by_class.values())
        return expected / max(self.worker.capacity.millicores, 1)

    def reported_load(self) -> float:
        """Return the processor load of the last reports, as a share of the worker."""
        return self.used_millicores / max(self.worker.capacity.millicores, 1)

    def reported_shares(self, without: TaskClass) -> dict[TaskClass, float]:
        """Return the reported share of the worker for each class except ``without``."""
        capacity = max(self.worker.capacity.millicores, 1)
        return {
            name: millicores / capacity
            for name, millicores in self.used_by_class.items()
            if name != without
        }

    def expected_shares(self) -> dict[TaskClass, float]:
        """Return the expected share of the worker for each class.

        Attempts that no report has covered yet count with their reservations.
        """
        capacity = max(self.worker.capacity.millicores, 1)
        shares = {name: used / capacity for name, used in self.used_by_class.items()}
        for name, reserved in self.pending_by_class.items():
            shares[name] = shares.get(name, 0.0) + reserved / capacity
        return shares

    def drop_departed_usage(self, measured_at: float) -> None:
        """Drop the usage of attempts that ended before a measurement was taken.

        Reports lag, so the first report after an eviction still describes the time before it. If
        the usage of the evicted task were dropped at once, its effect would be attributed to the
        service itself.
        """
        departed = self.departed
        while departed and departed[0][0] <= measured_at:
            _, task_class, millicores = departed.popleft()
            self.add_used(task_class, -millicores)

    def add_used(self, task_class: TaskClass, millicores: int) -> None:
        """Add ``millicores``, which may be negative, to the reported usage of a class."""
        self.forecasts.clear()
        self.used_millicores += millicores
        _add(self.used_by_class, task_class, millicores)

    def add_pending(self, task_class: TaskClass, millicores: int) -> None:
        """Add ``millicores``, which may be negative, to the reservations without usage reports."""
        _add(self.pending_by_class, task_class, millicores)


class AttemptEntry:
    """The policy's state of one attempt that may be running."""

    __slots__ = ("entry", "memory_peak", "progress", "progress_at", "reported", "task", "used")

    def __init__(self, task: Task, entry: WorkerEntry, now: float) -> None:
        """Start without usage reports."""
        self.task = task
        self.entry = entry
        self.reported = False
        """Whether a usage report has covered the attempt."""
        self.used = 0
        """The last reported processor usage in millicores."""
        self.memory_peak = 0
        """The highest reported memory usage in bytes."""
        self.progress = task.progress
        self.progress_at = now
        """The time of the last report with a higher progress, or of the start."""


def _add(amounts: dict[TaskClass, int], task_class: TaskClass, millicores: int) -> None:
    total = amounts.get(task_class, 0) + millicores
    if total > 0:
        amounts[task_class] = total
    else:
        amounts.pop(task_class, None)

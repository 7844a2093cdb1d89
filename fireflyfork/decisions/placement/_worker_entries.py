"""What the policy keeps of one worker, and of one attempt that may run."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..._ids import ServiceName, TaskId
from ..._machines import Resources, Worker
from .._tasks import Task
from ._classes import TaskClass
from ._interference import BandEstimate
from ._pressure import Pressure

_NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class ServiceForecast:
    """What to expect of one service on one worker as things are."""

    replicas: int
    ratio: float
    """The predicted p99 over the objective."""
    estimate: BandEstimate


class WorkerEntry:
    """What the policy keeps of one worker. Plain numbers, since they change with each start."""

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
        """Start with an empty worker."""
        self.number = -1
        """Its place in the index while it is listed."""
        self.worker = worker
        self.reserved: Resources | None = None
        """The table's value that ``free_*`` was last computed from; None forces a new look."""
        self.held = _NOTHING
        """Room kept for urgent tasks for which others were evicted."""
        self.free_millicores = 0
        self.free_memory = 0
        self.free_accelerators = 0
        self.used_millicores = 0
        self.used_by_class: dict[TaskClass, int] = {}
        self.pending_by_class: dict[TaskClass, int] = {}
        """Reservations of attempts that no report has covered yet."""
        self.replicas: dict[ServiceName, int] = {}
        self.service_millicores = 0
        """Reservations of the replicas."""
        self.departed: deque[tuple[float, TaskClass, int]] = deque()
        """Usage of attempts that ended after the moment that reports have reached so far."""
        self.forecasts: dict[int, list[ServiceForecast]] = {}
        """By band of load; emptied by reports, and brought up to date when a task starts."""
        self.pressure = Pressure()
        self.throttled: set[TaskId] = set()

    def has_room(self, need: Resources) -> bool:
        """Whether the worker holds ``need`` besides everything reserved and held."""
        return (
            need.memory <= self.free_memory
            and need.millicores <= self.free_millicores
            and need.accelerators <= self.free_accelerators
        )

    def take(self, need: Resources) -> None:
        """Subtract a start of this round."""
        self.free_millicores -= need.millicores
        self.free_memory -= need.memory
        self.free_accelerators -= need.accelerators

    def refresh(self, reserved: Resources) -> None:
        """Compute the free room from what the table has reserved."""
        self.reserved = reserved
        capacity = self.worker.capacity
        self.free_millicores = capacity.millicores - reserved.millicores - self.held.millicores
        self.free_memory = capacity.memory - reserved.memory - self.held.memory
        self.free_accelerators = (
            capacity.accelerators - reserved.accelerators - self.held.accelerators
        )

    def add_replica(self, service: ServiceName, millicores: int) -> None:
        """Count a replica."""
        self.forecasts.clear()
        self.replicas[service] = self.replicas.get(service, 0) + 1
        self.service_millicores += millicores

    def drop_replica(self, service: ServiceName, millicores: int) -> None:
        """Count a replica no more."""
        self.forecasts.clear()
        self.service_millicores -= millicores
        left = self.replicas[service] - 1
        if left:
            self.replicas[service] = left
        else:
            del self.replicas[service]

    def expected_load(self) -> float:
        """The processor load to expect as things are, as a share of the worker."""
        expected = self.used_millicores + sum(self.pending_by_class.values())
        return expected / max(self.worker.capacity.millicores, 1)

    def reported_load(self) -> float:
        """The processor load that the last reports give, as a share of the worker."""
        return self.used_millicores / max(self.worker.capacity.millicores, 1)

    def reported_shares(self, without: TaskClass) -> dict[TaskClass, float]:
        """The share of the worker that each class used, but for the class asked about."""
        capacity = max(self.worker.capacity.millicores, 1)
        return {
            name: millicores / capacity
            for name, millicores in self.used_by_class.items()
            if name != without
        }

    def expected_shares(self) -> dict[TaskClass, float]:
        """The same for all classes, with what started since counted by its reservation."""
        capacity = max(self.worker.capacity.millicores, 1)
        shares = {name: used / capacity for name, used in self.used_by_class.items()}
        for name, reserved in self.pending_by_class.items():
            shares[name] = shares.get(name, 0.0) + reserved / capacity
        return shares

    def settle_departed(self, measured_at: float) -> None:
        """Drop the usage of attempts that had ended before a measurement began.

        Reports lag, so the first after an eviction still describes the time before it. With the
        evicted work gone from the books, the service itself would seem to be the cause.
        """
        departed = self.departed
        while departed and departed[0][0] <= measured_at:
            _, task_class, millicores = departed.popleft()
            self.add_used(task_class, -millicores)

    def add_used(self, task_class: TaskClass, millicores: int) -> None:
        """Change the reported usage of a class."""
        self.forecasts.clear()
        self.used_millicores += millicores
        _add(self.used_by_class, task_class, millicores)

    def add_pending(self, task_class: TaskClass, millicores: int) -> None:
        """Change the reservations that no report has covered yet."""
        _add(self.pending_by_class, task_class, millicores)


class AttemptEntry:
    """What the policy keeps of one attempt that may run."""

    __slots__ = ("entry", "memory_peak", "progress", "progress_at", "reported", "task", "used")

    def __init__(self, task: Task, entry: WorkerEntry, now: float) -> None:
        """Start with an attempt that no report has covered."""
        self.task = task
        self.entry = entry
        self.reported = False
        self.used = 0
        self.memory_peak = 0
        self.progress = task.progress
        self.progress_at = now


def _add(amounts: dict[TaskClass, int], task_class: TaskClass, millicores: int) -> None:
    total = amounts.get(task_class, 0) + millicores
    if total > 0:
        amounts[task_class] = total
    else:
        amounts.pop(task_class, None)

"""The state of executors as the owner of a service tracks it."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from ..._ids import AttemptNumber, ExecutorId, FailureDomainName, ServiceName, TaskName
from ..._links import Address
from ._interference import Sample
from ._run_demand import RunDemand
from ._runs import Run

MIN_CLOCK_RATE = 0.98
"""Slowest rate of an executor's steady clock relative to real time: the platform documents that it
may run 2% slow."""
LEASE_MARGIN_MS = 150
"""Milliseconds to wait after the end of a lease, for the time that an executor takes to kill its
runs. Its stops take up to 200 ms; a part of that is already covered by the estimate of its clock,
which is always behind by half a round trip or more."""

MAX_UNREGISTERED_SECONDS = 5.0
"""How long the registration of an executor that answers may be missing before that is reported.
Executors write it when they start, and leave within seconds after they have removed it."""
MAX_PAST_INCARNATIONS = 8
"""Incarnations of an executor that are remembered after their end. Reports and registrations are
late by seconds, and an executor takes about a second to restart."""


@dataclass(frozen=True, slots=True)
class ExecutorRoom:
    """Resource capacity of an executor."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class ExecutorRegistration:
    """The registration that an executor has written to the store."""

    executor: ExecutorId
    service: ServiceName
    address: Address
    failure_domain: FailureDomainName
    draining: bool
    room: ExecutorRoom
    labels: frozenset[str]
    """Labels that steps can require: the kind of the executor and its rack."""
    rack: str
    """The rack of the executor; executors in the same rack are near each other."""
    incarnation: int
    """Start time of the executor's process, in Unix milliseconds."""
    version: str = ""
    """The version of the executor's software; empty if it is unknown."""


@dataclass(slots=True, eq=False)
class ExecutorState:
    """State of one executor and the runs on it."""

    registration: ExecutorRegistration
    """The latest registration that was read. After a restart it may still be that of an earlier
    incarnation, whose room, labels and state say nothing of the present one."""
    known_since: float
    """When this incarnation became known, in seconds on the owner's clock."""
    incarnation: int = field(init=False)
    """The present incarnation, to which calls are addressed."""
    past_incarnations: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS)
    )
    """Incarnations that were found to be over, so that late reports of them are ignored."""
    unconfirmed_registration: ExecutorRegistration | None = None
    """The last registration of another incarnation that started, by its clock, before the present
    one. It is an old one, unless the clock was set back: then a report will confirm it."""
    unregistered_since: float | None = None
    """Since when the store has no registration of the present incarnation, as far as is known, in
    seconds on the owner's clock; None while it has one."""
    missing_registration_noted: bool = False
    """Whether a note has told that this registration is missing."""
    registered: bool = True
    """False after the registration was removed: the executor has left or cannot reach the store."""
    stored_address: Address | None = None
    """The executor's address in the last list of executors that is known to be stored, at which a
    successor would poll it; None if no stored list has contained the executor."""
    runs: dict[tuple[TaskName, AttemptNumber], Run] = field(default_factory=dict)
    run_demands: dict[tuple[TaskName, AttemptNumber], RunDemand] = field(default_factory=dict)
    """What each of the runs counts for in the sums below."""
    used_cpu_millis: int = 0
    long_running_cpu_millis: int = 0
    """The part of ``used_cpu_millis`` that belongs to long-running tasks."""
    urgent_cpu_millis: int = 0
    """The part of ``used_cpu_millis`` that belongs to short tasks of priority 0."""
    serving_cpu_millis: int = 0
    """The part of ``used_cpu_millis`` that belongs to serving tasks."""
    best_effort_cpu_millis: int = 0
    """CPU time that the tasks without a reservation on this executor would use if it were free."""
    used_memory_mb: int = 0
    used_accelerators: int = 0
    incoming_cpu_millis: int = 0
    """CPU time reserved for tasks that are being moved to this executor."""
    incoming_memory_mb: int = 0
    """Memory reserved for tasks that are being moved to this executor."""
    polled_at: float | None = None
    """When the last answered poll was sent; None before the first answer."""
    failed_polls: int = 0
    """Polls without an answer since the last answer."""
    answers_late: bool = False
    """Whether the last answer was late, so that orders would not be answered in time either."""
    last_answer_at: float = float("-inf")
    """When the last answer arrived, even if it was late. An executor whose answers keep arriving is
    not silent, and its lease is renewed."""
    clock_ms: int = 0
    clock_at: float = field(init=False)
    """When ``clock_ms`` was received. The executor's clock had reached at least that value then."""
    lease_until_ms: int = 0
    """End of the lease, on the executor's clock: the latest time until which an order of this or an
    earlier owner may let runs on the executor continue. Unknown before the first answer."""
    processed_end: int = 0
    """Number of the last end that has been processed."""
    forgettable_end: int = 0
    """Highest number up to which all ends are stored, so that the executor may forget them."""
    released_end: int = 0
    """Highest number up to which the executor was allowed to forget ends."""
    unstored_ends: deque[tuple[int, int]] = field(default_factory=deque)
    """Pairs of the number of an end and the number of the change that must be stored before the
    executor may forget that end."""
    avoided_until: float = 0.0
    """The executor gets no new runs before this time, because runs on it failed repeatedly."""
    leaving_since: float | None = None
    """When the executor was first seen to be draining; None while it is not."""
    cordoned: bool = False
    """Whether the machine is next to go down for upkeep, so that the executor gets no new work."""
    upkeep_due: bool = False
    """Whether the executor's machine still has to go down in a wave of upkeep."""
    evacuated: bool = False
    """Whether operators have asked to evacuate the executor's failure domain."""
    consecutive_failures: int = 0
    """Number of failures in a row; a task that ends successfully resets it."""
    last_failure_at: float = 0.0
    """When the last failure occurred."""
    sampled_at: float = 0.0
    """When tail latencies were last sampled."""
    undisturbed_headroom: dict[str, float] = field(default_factory=dict)
    """By serving image: the lowest headroom that tasks of the image on this executor would have
    without any disturbance, according to the last sample."""
    recent_min_headroom: dict[str, float] = field(default_factory=dict)
    """By serving image: the lowest undisturbed headroom of the recent past. It is used for
    placement, since work that is placed now still runs when the load has changed."""
    headroom_deficit: dict[str, float] | None = None
    """By serving image: the headroom to keep minus the headroom that the tasks of the image have on
    this executor; None if it must be recomputed."""
    release_count: int = 0
    """Number of runs that have given back their resources."""
    change_count: int = 0
    """Number of changes of the runs on this executor or of their headroom."""
    serving_counts: dict[str, int] = field(default_factory=dict)
    """By image: the number of serving tasks on this executor."""
    samples: dict[TaskName, Sample] = field(default_factory=dict)
    """The last sample of each serving task on this executor."""
    disturbing_cpu_millis: dict[str, int] = field(default_factory=dict)
    """By image: CPU time that the non-serving tasks on this executor would use at full pace."""

    def __post_init__(self) -> None:
        """Initialize the incarnation, and the clock estimate: the clock is at 0 or later."""
        self.incarnation = self.registration.incarnation
        if not self.registered:
            self.unregistered_since = self.known_since
        self.clock_at = self.known_since

    @property
    def executor(self) -> ExecutorId:
        """The executor's id."""
        return self.registration.executor

    @property
    def answers(self) -> bool:
        """Whether the executor answered the last poll."""
        return self.polled_at is not None and self.failed_polls == 0

    @property
    def is_stored(self) -> bool:
        """Whether a successor would wait for the executor.

        A successor that doesn't know the executor, or has another address for it, would start its
        tasks again while its registration is missing, and they would run in two places.
        """
        return self.stored_address == self.registration.address

    @property
    def is_described(self) -> bool:
        """Whether the registration is that of the present incarnation."""
        return self.registration.incarnation == self.incarnation

    @property
    def may_get_runs(self) -> bool:
        """Whether new runs may be sent to the executor once it is stored and answers."""
        return self.registered and not self.registration.draining and not self.evacuated

    def is_usable(self, now: float) -> bool:
        """Whether new runs may be sent to the executor."""
        return (
            self.registered
            and self.is_described
            and self.is_stored
            and self.answers
            and not self.answers_late
            and not self.registration.draining
            and not self.cordoned
            and not self.evacuated
            and self.avoided_until <= now
        )

    @property
    def free_cpu_millis(self) -> int:
        """CPU time that is neither used nor reserved for incoming tasks."""
        used = self.used_cpu_millis + self.incoming_cpu_millis
        return self.registration.room.cpu_millis - used

    @property
    def free_memory_mb(self) -> int:
        """Memory that is neither used nor reserved for incoming tasks."""
        return self.registration.room.memory_mb - self.used_memory_mb - self.incoming_memory_mb

    def fits(self, cpu_millis: int, memory_mb: int, accelerators: int) -> bool:
        """Whether the given resources are free."""
        room = self.registration.room
        return (
            cpu_millis + self.used_cpu_millis + self.incoming_cpu_millis <= room.cpu_millis
            and memory_mb + self.used_memory_mb + self.incoming_memory_mb <= room.memory_mb
            and accelerators + self.used_accelerators <= room.accelerators
        )

    @property
    def cost_state(self) -> Hashable:
        """A value that changes whenever the cost of running a task on the executor may change."""
        return (
            self.change_count,
            self.consecutive_failures,
            self.upkeep_due,
            self.incoming_cpu_millis,
            self.incoming_memory_mb,
            self.registration,
        )

    def mark_changed(self) -> None:
        """Record that the runs on the executor, or their headroom, have changed."""
        self.change_count += 1
        self.headroom_deficit = None

    def add(self, run: Run) -> None:
        """Allocate the resources of a run, in place of one with the same task and attempt."""
        self.mark_changed()
        self.runs[run.key] = run
        self.recount(run)

    def withdraw(self, run: Run) -> None:
        """Free the resources of a run that was added in the same decision and is not ordered."""
        releases = self.release_count
        self.remove(run)
        self.release_count = releases

    def remove(self, run: Run) -> None:
        """Free the resources of a run that has certainly ended or never began."""
        if self.runs.pop(run.key, None) is None:
            return
        self.release_count += 1
        self.mark_changed()
        self._count(self.run_demands.pop(run.key), -1)

    def recount(self, run: Run) -> None:
        """Count a run on the executor by its present demand."""
        earlier = self.run_demands.get(run.key)
        demand = self.run_demands[run.key] = RunDemand.of(run)
        self._count(demand, 1)
        if earlier is not None:
            self._count(earlier, -1)

    def _count(self, demand: RunDemand, sign: int) -> None:
        """Add a demand to all sums with a sign of 1, and subtract it with a sign of -1."""
        self.used_cpu_millis += sign * demand.reserved_cpu_millis
        self.urgent_cpu_millis += sign * demand.urgent_cpu_millis
        self.long_running_cpu_millis += sign * demand.long_running_cpu_millis
        self.used_memory_mb += sign * demand.memory_mb
        self.used_accelerators += sign * demand.accelerators
        self.best_effort_cpu_millis += sign * demand.best_effort_cpu_millis
        self.serving_cpu_millis += sign * demand.serving_cpu_millis
        if demand.disturbing_cpu_millis:
            self._count_disturbing(demand.disturbing_image, sign * demand.disturbing_cpu_millis)
        if demand.serving_image is None:
            return
        if sign > 0:
            count = self.serving_counts.get(demand.serving_image, 0)
            self.serving_counts[demand.serving_image] = count + 1
        else:
            self._remove_serving_task(demand.serving_image)

    def _count_disturbing(self, image: str, cpu_millis: int) -> None:
        total = self.disturbing_cpu_millis.get(image, 0) + cpu_millis
        if total:
            self.disturbing_cpu_millis[image] = total
        else:
            # Tasks without CPU time aren't counted, so no run is left that is.
            del self.disturbing_cpu_millis[image]

    def _remove_serving_task(self, image: str) -> None:
        self.serving_counts[image] -= 1
        if not self.serving_counts[image]:
            # Idle executors are not polled, so the last values seen would keep work away
            # permanently.
            del self.serving_counts[image]
            self.undisturbed_headroom.pop(image, None)
            self.recent_min_headroom.pop(image, None)

    def describe(self, registration: ExecutorRegistration) -> None:
        """Use a registration of the present incarnation, which the store has now."""
        self.registration = registration
        self.registered = True
        self.unregistered_since = None
        self.missing_registration_noted = False

    def note_unregistered(self, now: float) -> None:
        """Record that the store has no registration of the present incarnation."""
        if self.unregistered_since is None:
            self.unregistered_since = now

    def unregistered_seconds(self, now: float) -> float:
        """Return for how long the registration of the present incarnation has been missing."""
        return now - self.unregistered_since if self.unregistered_since is not None else 0.0

    def lacks_registration(self, now: float) -> bool:
        """Whether the executor answers but can't be used, as its registration is long missing."""
        return self.answers and self.unregistered_seconds(now) > MAX_UNREGISTERED_SECONDS

    def min_clock_ms(self, now: float) -> int:
        """Return a lower bound of the executor's steady clock, in milliseconds."""
        return self.clock_ms + int((now - self.clock_at) * 1000 * MIN_CLOCK_RATE)

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Update the clock estimate from an answer; answers may arrive out of order."""
        if clock_ms >= self.min_clock_ms(now):
            self.clock_ms = clock_ms
            self.clock_at = now

    def grant_lease(self, until_ms: int) -> None:
        """Extend the lease to ``until_ms`` on the executor's clock; leases never shorten."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def lease_has_lapsed(self, now: float) -> bool:
        """Whether every run that was started under any lease has been killed by now."""
        return self.min_clock_ms(now) > self.lease_until_ms + LEASE_MARGIN_MS

    def disturbing_shares(self) -> dict[str, float]:
        """Return, by image, the share of the room that non-serving tasks would use at full pace."""
        room = max(1, self.registration.room.cpu_millis)
        return {image: cpu / room for image, cpu in self.disturbing_cpu_millis.items()}

    def working_runs(self) -> Iterator[Run]:
        """Yield the runs that are not being stopped."""
        return (run for run in self.runs.values() if run.is_active)

    def reset_for_incarnation(self, incarnation: int, now: float) -> None:
        """Reset the state for a new process of the executor.

        The new process has no runs and numbers its ends from 1. It may differ from the earlier one
        in everything that a registration tells, so it gets no runs before its own is read. What
        belongs to its machine stays: the cordon and the evacuation of the failure domain.
        """
        self.past_incarnations.append(self.incarnation)
        if incarnation in self.past_incarnations:
            # Another program may have written the registration of an incarnation that never was.
            self.past_incarnations.remove(incarnation)
        self.incarnation = incarnation
        self.unregistered_since = now
        self.missing_registration_noted = False
        self.unconfirmed_registration = None
        self.known_since = now
        self.polled_at = None
        self.failed_polls = 0
        self.answers_late = False
        self.leaving_since = None
        self.consecutive_failures = 0
        self.avoided_until = 0.0
        self.clock_ms = 0
        self.clock_at = now
        self.lease_until_ms = 0
        self.processed_end = 0
        self.forgettable_end = 0
        self.released_end = 0
        self.unstored_ends.clear()
        self.undisturbed_headroom = {}
        self.recent_min_headroom = {}
        self.mark_changed()
        self.samples = {}

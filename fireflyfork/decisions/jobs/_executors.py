"""Executors as the owner of a service knows them."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from ..._ids import AttemptNumber, ExecutorId, FailureDomainName, ServiceName, TaskName
from ..._links import Address
from ._interference import Sample
from ._runs import Run

SLOWEST_CLOCK = 0.98
"""An executor's steady clock may run 2% slow, as the platform warns."""
LAPSE_MARGIN_MS = 150
"""On top, for what an executor takes to kill what it runs; its stops take up to 200 ms, of which
the estimate of its clock, always behind by half a round trip or more, already covers a part."""


@dataclass(frozen=True, slots=True)
class ExecutorRoom:
    """What an executor can hold."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class ExecutorRegistration:
    """What an executor says of itself in the store."""

    executor: ExecutorId
    service: ServiceName
    address: Address
    failure_domain: FailureDomainName
    draining: bool
    room: ExecutorRoom
    labels: frozenset[str]
    """Its kind and its rack."""
    rack: str
    """Executors of one rack are near each other."""
    incarnation: int
    """When this life of it began, in Unix milliseconds."""


@dataclass(slots=True, eq=False)
class ExecutorState:
    """One executor, with what runs there."""

    registration: ExecutorRegistration
    known_since: float
    """Seconds on the owner's clock."""
    registered: bool = True
    """False once its registration has gone: it has left, or can't reach the store."""
    stored_address: Address | None = None
    """Where a successor would look for it: the address in the list that is known to be stored."""
    runs: dict[tuple[TaskName, AttemptNumber], Run] = field(default_factory=dict)
    used_cpu_millis: int = 0
    lasting_cpu_millis: int = 0
    """Of what is used, the part of tasks that last."""
    serving_cpu_millis: int = 0
    """Of what is used, the part of tasks that serve users."""
    best_effort_cpu_millis: int = 0
    """What the tasks without a reservation here would use if they could."""
    used_memory_mb: int = 0
    used_accelerators: int = 0
    promised_cpu_millis: int = 0
    """Kept for tasks that are being moved here."""
    promised_memory_mb: int = 0
    polled_at: float | None = None
    """When the last poll that was answered had been sent; None before the first."""
    failed_polls: int = 0
    """Polls without an answer since the last answer."""
    answers_late: bool = False
    """Whether its last answer was late: orders to it would get none in time."""
    heard_at: float = float("-inf")
    """When its last answer came, late or not. While answers go on coming it is not silent, and its lease
    is renewed."""
    clock_ms: int = 0
    clock_at: float = field(init=False)
    """When ``clock_ms`` had been received: the executor's clock was at least there."""
    lease_until_ms: int = 0
    """On the executor's clock: the latest that any order, of ours or of an earlier owner's, may have let
    it run to; not known before its first answer."""
    seen_end: int = 0
    """The last end that has been taken in."""
    forgettable_end: int = 0
    """The last end that is stored, with all before it."""
    told_end: int = 0
    """The executor has been told that it may forget ends up to here."""
    unstored_ends: deque[tuple[int, int]] = field(default_factory=deque)
    """Number of an end, and the change that has to be stored before it may be forgotten."""
    avoided_until: float = 0.0
    leaving_since: float | None = None
    """Since when it has been known to leave."""
    emptied: bool = False
    """Whether its machine goes down for upkeep next, so that it gets no new work."""
    upkeep_due: bool = False
    """Whether its machine has yet to go down in a wave of upkeep."""
    strikes: int = 0
    """Failures in a row; a task that ends well takes them back."""
    struck_at: float = 0.0
    """When the last of them came."""
    sampled_at: float = 0.0
    """When tails were last taken in."""
    undisturbed: dict[str, float] = field(default_factory=dict)
    """By serving image: the least headroom that its tasks here would have if nothing disturbed
    them, as far as the last sample tells."""
    lasting_headroom: dict[str, float] = field(default_factory=dict)
    """By serving image: the least undisturbed headroom of some time past. Work that is placed now is
    still there when the load has swung."""
    missing_headroom: dict[str, float] | None = None
    """By serving image: what its tasks here lack of the headroom that is kept; None: to be worked out anew."""
    changes: int = 0
    """How often what runs here, or its headroom, has changed."""
    serving: dict[str, int] = field(default_factory=dict)
    """By image: how many tasks here serve users."""
    samples: dict[TaskName, Sample] = field(default_factory=dict)
    """The last sample of each serving task here."""
    disturbing_cpu_millis: dict[str, int] = field(default_factory=dict)
    """By image: what the tasks here that serve nobody would use at their full pace."""

    def __post_init__(self) -> None:
        """Its clock is at 0 or later."""
        self.clock_at = self.known_since

    @property
    def executor(self) -> ExecutorId:
        """Its id."""
        return self.registration.executor

    @property
    def answers(self) -> bool:
        """Whether it answered the last poll."""
        return self.polled_at is not None and self.failed_polls == 0

    @property
    def is_stored(self) -> bool:
        """Whether a successor would wait for it.

        One that knows nothing of it, or looks for it elsewhere, would start its tasks again while its
        registration is away, and they would run in two places.
        """
        return self.stored_address == self.registration.address

    def usable(self, now: float) -> bool:
        """Whether new runs may be sent there."""
        return (
            self.registered
            and self.is_stored
            and self.answers
            and not self.answers_late
            and not self.registration.draining
            and not self.emptied
            and self.avoided_until <= now
        )

    @property
    def free_cpu_millis(self) -> int:
        """What is neither used nor promised."""
        used = self.used_cpu_millis + self.promised_cpu_millis
        return self.registration.room.cpu_millis - used

    @property
    def free_memory_mb(self) -> int:
        """What is neither used nor promised."""
        return self.registration.room.memory_mb - self.used_memory_mb - self.promised_memory_mb

    def fits(self, cpu_millis: int, memory_mb: int, accelerators: int) -> bool:
        """Whether so much is free."""
        room = self.registration.room
        return (
            cpu_millis <= self.free_cpu_millis
            and memory_mb <= self.free_memory_mb
            and self.used_accelerators + accelerators <= room.accelerators
        )

    @property
    def priced_state(self) -> Hashable:
        """Changes with all that decides what a task costs here."""
        return (
            self.changes,
            self.strikes,
            self.upkeep_due,
            self.promised_cpu_millis,
            self.promised_memory_mb,
            self.registration,
        )

    def note_changed(self) -> None:
        """What runs here, or its headroom, has changed."""
        self.changes += 1
        self.missing_headroom = None

    def add(self, run: Run) -> None:
        """Take room for a run."""
        step = run.task.spec
        self.note_changed()
        self.runs[run.key] = run
        self.used_cpu_millis += step.reserved_cpu_millis
        self.lasting_cpu_millis += step.reserved_cpu_millis if step.long_running else 0
        self.used_memory_mb += step.memory_mb
        self.used_accelerators += step.accelerators
        self.best_effort_cpu_millis += step.cpu_millis if step.uses_leftover_cpu else 0
        if step.tail_target_ms:
            self.serving_cpu_millis += step.reserved_cpu_millis
            self.serving[step.image] = self.serving.get(step.image, 0) + 1
        else:
            demand = self.disturbing_cpu_millis.get(step.image, 0)
            self.disturbing_cpu_millis[step.image] = demand + step.cpu_millis

    def remove(self, run: Run) -> None:
        """Give a run's room back, once it is certain that it has ended or never was."""
        if self.runs.pop(run.key, None) is None:
            return
        step = run.task.spec
        self.note_changed()
        self.used_cpu_millis -= step.reserved_cpu_millis
        self.lasting_cpu_millis -= step.reserved_cpu_millis if step.long_running else 0
        self.used_memory_mb -= step.memory_mb
        self.used_accelerators -= step.accelerators
        self.best_effort_cpu_millis -= step.cpu_millis if step.uses_leftover_cpu else 0
        if step.tail_target_ms:
            self.serving_cpu_millis -= step.reserved_cpu_millis
            self._serves_less(step.image)
        else:
            self.disturbing_cpu_millis[step.image] -= step.cpu_millis
            if not self.disturbing_cpu_millis[step.image]:
                del self.disturbing_cpu_millis[step.image]

    def _serves_less(self, image: str) -> None:
        self.serving[image] -= 1
        if not self.serving[image]:
            # Nobody polls an idle executor, so what was seen last would keep work away for good.
            del self.serving[image]
            self.undisturbed.pop(image, None)
            self.lasting_headroom.pop(image, None)

    def clock(self, now: float) -> int:
        """At least so far is its steady clock, in milliseconds."""
        return self.clock_ms + int((now - self.clock_at) * 1000 * SLOWEST_CLOCK)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Take in a clock that an answer carried; answers may overtake each other."""
        if clock_ms >= self.clock(now):
            self.clock_ms = clock_ms
            self.clock_at = now

    def grant_lease(self, until_ms: int) -> None:
        """It may go on until then, on its clock; leases never shorten."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def lease_has_lapsed(self, now: float) -> bool:
        """Whether everything that ran there under any lease has been killed by now."""
        return self.clock(now) > self.lease_until_ms + LAPSE_MARGIN_MS

    def disturbing_shares(self) -> dict[str, float]:
        """By image: the share of the room that tasks here would use at their full pace."""
        room = max(1, self.registration.room.cpu_millis)
        return {image: cpu / room for image, cpu in self.disturbing_cpu_millis.items()}

    def working_runs(self) -> Iterator[Run]:
        """Runs that are there and not being stopped."""
        return (run for run in self.runs.values() if run.works)

    def begin_incarnation(self, registration: ExecutorRegistration, now: float) -> None:
        """The process started anew: it runs nothing and counts from the beginning."""
        self.registration = registration
        self.known_since = now
        self.polled_at = None
        self.failed_polls = 0
        self.answers_late = False
        self.leaving_since = None
        self.emptied = False
        self.upkeep_due = False
        self.clock_ms = 0
        self.clock_at = now
        self.lease_until_ms = 0
        self.seen_end = 0
        self.forgettable_end = 0
        self.told_end = 0
        self.unstored_ends.clear()
        self.undisturbed = {}
        self.lasting_headroom = {}
        self.note_changed()
        self.samples = {}

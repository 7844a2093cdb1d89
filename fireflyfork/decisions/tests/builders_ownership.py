"""Deterministic simulation of a fleet of membership state machines under faults.

All faults are derived from the seed: pauses, crashes, restarts, planned stops, one-way link cuts,
partitioned regions, store outages, lost and late answers, and clocks that drift by up to the
allowed maximum.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from ..._ids import MemberId, PartitionId, Revision
from ..._zones import Zone
from .._fleet import FleetRecord
from .._membership import step
from .._membership_events import (
    AnswerAsker,
    AskGuard,
    CollectOccupied,
    Command,
    Event,
    GuardAnswered,
    GuardAsked,
    LeaveRequested,
    OccupiedCollected,
    OfferRecord,
    ReadFailed,
    ReadRecord,
    RecordRead,
    RecordReceived,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRecord,
)
from .._membership_state import (
    MemberPhase,
    MembershipState,
    begin_membership,
    is_watcher,
    partitions_in_handover,
    zone_peers,
)
from .._rights import MembershipTiming, RightRules
from .builders_fleet import member

TICK_SECONDS = 0.25
STORE_TIMEOUT_SECONDS = 1.0
PARTITIONS = 4

SIX_PLACES = ("viti/suva", "viti/nadi", "viti/suva", "viti/nadi", "vanua/labasa", "vanua/labasa")


def large_fleet_places(entries: int) -> tuple[str, ...]:
    """Return the zones of entries spread evenly over 7 regions with 16 failure domains."""
    domains = [f"r{number % 7}/d{number}" for number in range(16)]
    by_region = sorted(domains, key=lambda place: int(place.partition("/d")[2]))
    return tuple(by_region[number % 16] for number in range(entries))


@dataclass(frozen=True, slots=True)
class Faults:
    """Fault rates, as the mean number in ten seconds, and maximum durations in seconds."""

    pauses: float = 3.0
    longest_pause: float = 7.0
    crashes: float = 0.5
    stops: float = 0.4
    link_cuts: float = 1.5
    group_cuts: float = 0.4
    """Partitions that isolate a region or a few processes from all others and the store."""
    store_link_cuts: float = 0.8
    store_outages: float = 0.5
    longest_cut: float = 8.0
    longest_group_cut: float = 20.0
    lost: float = 0.02
    """Share of the messages between members that are lost."""
    slow: float = 0.05
    """Share of the messages and store calls that are delayed by up to 3 s."""
    unanswered: float = 0.1
    """Share of the store calls that take effect but whose answer is lost."""
    late_writes: float = 0.05
    """Share of the writes that take effect 1 to 12 s late, after their sender's timeout."""


NO_FAULTS = Faults(*([0.0] * 14))


@dataclass(eq=False, slots=True)
class Process:
    """A simulated process with its state machine and clock."""

    state: MembershipState
    rate: float
    offset: float
    alive: bool = True
    paused_until: float = 0.0
    inbox: list[Event] = field(default_factory=list)
    call: int = 0
    """Number of the current store call, which distinguishes its answer from a late one."""
    owned: frozenset[PartitionId] = frozenset()
    owned_from: FleetRecord | None = None
    usable: frozenset[PartitionId] = frozenset()
    """Partitions for which the process might dispatch until ``expires``."""
    expires: float = 0.0

    def clock(self, now: float) -> float:
        """Return the process's own time at simulation time ``now``."""
        return self.offset + now * self.rate


@dataclass(frozen=True, slots=True)
class DoubleOwnership:
    """A violation: two processes might dispatch for one partition at the same time."""

    at: float
    partition: PartitionId
    members: tuple[MemberId, MemberId]


class FleetSimulation:
    """One simulation run, determined by its seed."""

    def __init__(
        self,
        seed: int,
        places: tuple[str, ...] = SIX_PLACES,
        rules: RightRules | None = None,
        timing: MembershipTiming | None = None,
        faults: Faults | None = None,
        extreme_clocks: bool = True,
    ) -> None:
        """Start a process in each zone in ``places``; the store holds no record yet."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = faults or Faults()
        self.rules = rules or RightRules()
        self.timing = timing or MembershipTiming()
        self.violations: list[DoubleOwnership] = []
        self.counts: Counter[str] = Counter()
        self.processes: list[Process] = []
        self.record: FleetRecord | None = None
        self.revision = Revision(0)
        self.store_down_until = 0.0
        self.cuts: dict[tuple[str, str], float] = {}
        """End of each one-way cut, by ports of sender and receiver; the store's is ``s``."""
        self.watching: dict[MemberId, Process] = {}
        self.successors = True
        """Whether a new process replaces each process that stopped as planned."""
        self.watches_silent = False
        """Whether no watch delivers records any more."""
        self._extreme_clocks = extreme_clocks
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)
        self._ports = count(1)
        for place in places:
            self.start(place, next(self._ports))

    def start(self, place: str, port: int) -> Process:
        """Start a process in a zone with a port."""
        newcomer = member(f"m{next(self._numbers):03}", place, port)
        rate = 1.0
        if self._extreme_clocks:
            drift = self.timing.drift
            rate += self.random.choice((-drift, drift, self.random.uniform(-drift, drift)))
        state = begin_membership(newcomer, self.timing, PARTITIONS, self.rules)
        process = Process(state, rate, self.random.uniform(0, 1000))
        self.processes.append(process)
        self.after(self.random.uniform(0, 0.5), lambda: self._tick(process))
        return process

    def kill(self, process: Process) -> None:
        """Crash a process."""
        process.alive = False
        process.usable = frozenset()
        self.processes.remove(process)
        self.counts["crash"] += 1

    def restart(self, old: Process, same_address: bool, delay: float) -> None:
        """Start a successor of ``old`` in the same failure domain after ``delay`` seconds."""
        me = old.state.me
        place = f"{me.zone.region}/{me.zone.failure_domain}"
        port = me.address.port if same_address else next(self._ports)
        self.after(delay, lambda: self._start_restarted(place, port))

    def _start_restarted(self, place: str, port: int) -> None:
        self.start(place, port)

    def stop(self, process: Process) -> None:
        """Request a planned stop of a process; a successor starts at its address."""
        self.deliver(process, LeaveRequested())

    def pause(self, process: Process, seconds: float) -> None:
        """Freeze a process; events sent to it during the pause arrive when it resumes."""
        process.paused_until = max(process.paused_until, self.now + seconds)
        self.counts["pause"] += 1
        self.after(process.paused_until - self.now, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        if process.paused_until > self.now or not process.alive:
            return
        pending, process.inbox = process.inbox, []
        for event in pending:
            self.feed(process, event)

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if process.paused_until <= self.now:
            self.feed(process, Tick())
            self._handle_phase_change(process)
        self.after(TICK_SECONDS / process.rate, lambda: self._tick(process))

    def _handle_phase_change(self, process: Process) -> None:
        state = process.state
        if state.phase is MemberPhase.FENCED:
            self.counts["fenced"] += 1
            me = replace(state.me, member_id=MemberId(f"m{next(self._numbers):03}"), guard=None)
            rejoined = begin_membership(me, self.timing, PARTITIONS, self.rules)
            process.state = replace(rejoined, record=state.record, revision=state.revision)
            process.call += 1
        elif state.phase is MemberPhase.LEFT:
            self.counts["left"] += 1
            process.alive = False
            self.processes.remove(process)
            if self.successors:
                self.restart(process, same_address=True, delay=self.random.uniform(0.5, 3))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after ``delay`` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Advance the simulation by ``seconds``."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def deliver(self, process: Process, event: Event) -> None:
        """Deliver an event to a process, or queue it while the process is paused."""
        if not process.alive:
            return
        if process.paused_until > self.now:
            process.inbox.append(event)
            return
        self.feed(process, event)

    def feed(self, process: Process, event: Event) -> None:
        """Step a process with an event, and check that no other process shares its partitions."""
        now = process.clock(self.now)
        process.state, commands = step(process.state, event, now)
        self._check(process)
        for command in commands:
            self._execute(process, command)
        if process.alive and is_watcher(process.state):
            self.watching[process.state.me.member_id] = process

    def _execute(self, process: Process, command: Command) -> None:
        match command:
            case AskGuard():
                self.counts["ask"] += 1
                me = process.state.me.member_id
                self._send(process, command.peer, GuardAsked(me, command.nonce, command.revision))
            case AnswerAsker():
                reply = GuardAnswered(command.nonce, command.answer, command.revision)
                self._send(process, command.asker, reply)
            case OfferRecord():
                for name in command.members:
                    self.counts["offer"] += 1
                    self._send(process, name, RecordReceived(command.record, command.revision))
            case CollectOccupied():
                self.feed(process, OccupiedCollected({}))
            case ReadRecord():
                self._read(process)
            case WriteRecord():
                self._write(process, command)

    def _port(self, process: Process) -> str:
        return str(process.state.me.address.port)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return self.cuts.get((sender, receiver), 0.0) > self.now

    def _delay(self) -> float:
        if self.random.random() < self.faults.slow:
            return self.random.uniform(0.1, 3.0)
        return self.random.uniform(0.001, 0.03)

    def _send(self, sender: Process, receiver: MemberId, event: Event) -> None:
        process = self._find(receiver)
        if process is None or self._is_cut(self._port(sender), self._port(process)):
            return
        if self.random.random() < self.faults.lost:
            return
        self.after(self._delay(), lambda: self.deliver(process, event))

    def _find(self, name: MemberId) -> Process | None:
        return next(
            (process for process in self.processes if process.state.me.member_id == name), None
        )

    def _read(self, process: Process) -> None:
        self.counts["read"] += 1
        process.call += 1
        call = process.call
        self.after(self._delay(), lambda: self._arrive_read(process, call))
        self._time_out(process, call, ReadFailed())

    def _arrive_read(self, process: Process, call: int) -> None:
        if not self._store_reached_by(process):
            return
        event = RecordRead(self.record, self.revision)
        self._answer(process, call, event)

    def _write(self, process: Process, command: WriteRecord) -> None:
        self.counts["write"] += 1
        process.call += 1
        call = process.call
        late = self.random.random() < self.faults.late_writes
        delay = self.random.uniform(1, 12) if late else self._delay()
        self.after(delay, lambda: self._arrive_write(process, call, command))
        self._time_out(process, call, WriteEnded(WriteOutcome.UNKNOWN))

    def _arrive_write(self, process: Process, call: int, command: WriteRecord) -> None:
        if not self._store_reached_by(process):
            return
        if command.expected != self.revision:
            self._answer(process, call, WriteEnded(WriteOutcome.LOST))
            return
        self.record = command.record
        self.revision = Revision(self.revision + 1)
        self.counts[command.kind.value] += 1
        self._answer(process, call, WriteEnded(WriteOutcome.WON, self.revision))
        self._notify_watchers()

    def _store_reached_by(self, process: Process) -> bool:
        return self.store_down_until <= self.now and not self._is_cut(self._port(process), "s")

    def _answer(self, process: Process, call: int, event: Event) -> None:
        lost = self.random.random() < self.faults.unanswered
        if lost or self._is_cut("s", self._port(process)):
            return
        self.after(self._delay(), lambda: self._end_call(process, call, event))

    def _time_out(self, process: Process, call: int, event: Event) -> None:
        seconds = STORE_TIMEOUT_SECONDS / process.rate
        self.after(seconds, lambda: self._end_call(process, call, event))

    def _end_call(self, process: Process, call: int, event: Event) -> None:
        if process.call != call:
            return
        process.call += 1
        self.deliver(process, event)

    def _notify_watchers(self) -> None:
        if self.record is None or self.watches_silent:
            return
        event = RecordReceived(self.record, self.revision)
        for name, process in list(self.watching.items()):
            if not process.alive or not is_watcher(process.state):
                del self.watching[name]
            elif not self._is_cut("s", self._port(process)):
                self.after(self._delay(), lambda watcher=process: self._relay(watcher, event))  # type: ignore[misc]

    def _relay(self, process: Process, event: RecordReceived) -> None:
        self.deliver(process, event)
        for name in zone_peers(process.state):
            self._send(process, name, event)

    def _check(self, process: Process) -> None:
        before, expired = process.usable, process.expires < self.now
        self._update_right(process)
        if process.usable <= before and not expired:
            return
        for peer in self.processes:
            if peer is process or peer.expires <= self.now:
                continue
            shared = process.usable & peer.usable
            if shared and process.expires > self.now:
                members = (process.state.me.member_id, peer.state.me.member_id)
                self.violations.append(DoubleOwnership(self.now, min(shared), members))

    def _update_right(self, process: Process) -> None:
        state = process.state
        if process.owned_from is not state.record:
            process.owned_from = state.record
            process.owned = frozenset(state.record.owned_by(state.me.member_id))
        process.usable = frozenset()
        if state.phase in (MemberPhase.ACTIVE, MemberPhase.LEAVING):
            process.usable = process.owned - partitions_in_handover(state)
        lasts = state.right_proved_at + state.timing.right_seconds
        process.expires = (lasts - process.offset) / process.rate

    def run_with_faults(self, seconds: float) -> None:
        """Advance the simulation by ``seconds`` with faults at random times."""
        faults = self.faults
        kinds: tuple[tuple[float, Callable[[], None]], ...] = (
            (faults.pauses, self._pause_one),
            (faults.crashes, self._crash_one),
            (faults.stops, self._stop_one),
            (faults.link_cuts, self._cut_link),
            (faults.group_cuts, self._cut_group),
            (faults.store_link_cuts, self._cut_store_link),
            (faults.store_outages, self._stop_store),
        )
        for per_ten_seconds, action in kinds:
            moment = 0.0
            while per_ten_seconds:
                moment += self.random.expovariate(per_ten_seconds / 10)
                if moment > seconds:
                    break
                self.after(moment, action)
        self.run(seconds)

    def heal(self) -> None:
        """End all current faults and inject no further ones."""
        self.cuts.clear()
        self.store_down_until = 0.0
        self.faults = NO_FAULTS
        for process in self.processes:
            process.paused_until = min(process.paused_until, self.now)
            self._resume(process)

    def _pick(self) -> Process | None:
        return self.random.choice(self.processes) if self.processes else None

    def _cut_seconds(self) -> float:
        return self.random.uniform(0.5, self.faults.longest_cut)

    def _pause_one(self) -> None:
        if (process := self._pick()) is not None:
            self.pause(process, self.random.uniform(0.3, self.faults.longest_pause))

    def _crash_one(self) -> None:
        if (process := self._pick()) is not None:
            self.kill(process)
            self.restart(process, self.random.random() < 0.5, self.random.uniform(0.5, 8))

    def _stop_one(self) -> None:
        if (process := self._pick()) is not None:
            self.stop(process)

    def _cut_link(self) -> None:
        sender, receiver = self._pick(), self._pick()
        if sender is None or receiver is None or sender is receiver:
            return
        seconds = self._cut_seconds()
        self.cut_one_way(sender, receiver, seconds)
        if self.random.random() < 0.5:
            self.cut_one_way(receiver, sender, seconds)

    def cut_from_rest(self, inside: list[Process], seconds: float) -> None:
        """Cut the processes in ``inside`` from all others and the store."""
        end = self.now + seconds
        near_ports = {self._port(process) for process in inside}
        far_ports = {self._port(process) for process in self.processes} - near_ports
        for near in near_ports:
            for far in (*far_ports, "s"):
                self.cuts[near, far] = self.cuts[far, near] = end

    def cut_one_way(self, sender: Process, receiver: Process, seconds: float) -> None:
        """Drop all messages from ``sender`` to ``receiver``."""
        self.cuts[self._port(sender), self._port(receiver)] = self.now + seconds

    def _cut_group(self) -> None:
        self.cut_from_rest(self._group(), self.random.uniform(2, self.faults.longest_group_cut))

    def _group(self) -> list[Process]:
        if (first := self._pick()) is None:
            return []
        if self.random.random() < 0.4:
            return [
                process
                for process in self.processes
                if _zone(process).region == _zone(first).region
            ]
        size = min(len(self.processes), self.random.randint(1, 3))
        return self.random.sample(self.processes, size)

    def _cut_store_link(self) -> None:
        if (process := self._pick()) is None:
            return
        port = self._port(process)
        ways = ((port, "s"), ("s", port))
        for way in self.random.choice((ways, ways[:1], ways[1:])):
            self.cuts[way] = self.now + self._cut_seconds()

    def _stop_store(self) -> None:
        self.store_down_until = self.now + self._cut_seconds()

    def unserved(self) -> set[PartitionId]:
        """Return the partitions in the record that no process may dispatch for now."""
        if self.record is None:
            return set()
        served: set[PartitionId] = set()
        for process in self.processes:
            if process.expires > self.now:
                served |= process.usable
        return set(self.record.owners) - served

    def dead_cycle(self) -> bool:
        """Return whether dead members guard only each other, so that no process may fence them."""
        if self.record is None:
            return False
        living = {process.state.me.member_id for process in self.processes}
        return any(not self._is_guarded(name, living) for name in self.record.members)

    def _is_guarded(self, name: MemberId, living: set[MemberId]) -> bool:
        """Return whether the chain of guards from a member reaches a live process."""
        assert self.record is not None
        seen: set[MemberId] = set()
        current: MemberId | None = name
        while current is not None and current not in seen:
            if current in living:
                return True
            seen.add(current)
            fenced = self.record.fenced.get(current)
            current = fenced.taker if fenced is not None else self.record.guard_of(current)
        return False


def _zone(process: Process) -> Zone:
    return process.state.me.zone

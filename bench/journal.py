"""Measures the cost of the batch journal: ``python -m bench.journal``.

Prints bytes, store calls and processor time per start for partitions of several sizes in steady
state. Each commit holds the submissions, starts and ends of one commit interval at a given rate.
The measurement uses no network and no clock; it counts only the processor time of this process,
without placement and reports.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

from fireflyfork import (
    AttemptNumber,
    ChangeId,
    JobId,
    MemberId,
    PartitionId,
    Resources,
    Revision,
    TeamName,
    WorkerId,
)
from fireflyfork.decisions import (
    RING_SLOTS,
    AttemptOutcome,
    CancelRequested,
    DurableChange,
    EndRecorded,
    JobAccepted,
    JobForgotten,
    JobNumber,
    JournalPosition,
    Segment,
    StartIntended,
    TaskShape,
    TaskTable,
    decode_segment,
    decode_snapshot,
    encode_segment,
    encode_snapshot,
    table_of,
)

COMMIT_SECONDS = 0.25
TASKS_PER_JOB = 50
COMMITS = 400
OWNER = MemberId("planner-suva-1-0a1b2c3d")
CHANGE = ChangeId("0123456789abcdef0123456789abcdef")
SHAPE = TaskShape(TeamName("letters"), "letter", Resources(1000, 1 << 30), 25.0)


@dataclass(frozen=True, slots=True)
class Load:
    """The size of a partition and its rate of starts."""

    name: str
    running: int
    workers: int
    starts_per_second: int


LOADS = (
    Load("24 workers, today", 300, 24, 10),
    Load("229 workers, 1 of 7 partitions of the plan", 4_286, 229, 229),
    Load("400 workers", 10_250, 400, 400),
    Load("1,600 workers, the whole plan in one", 41_000, 1_600, 1_600),
)


class Partition:
    """A partition whose tasks start and end at a steady rate, in random order on random workers."""

    def __init__(self, load: Load) -> None:
        """Create the partition and fill it with the running tasks of ``load``."""
        self._load = load
        self._random = Random(load.workers)
        self._time = 1.7e9
        self._number = 0
        self._index = 0
        self._running: list[tuple[JobNumber, int]] = []
        self._unfinished_counts: dict[JobNumber, int] = {}
        self.table = TaskTable.empty()
        while len(self._running) < load.running:
            self.table = self.table.apply(self._starts(min(1000, load.running)))

    def next_commit(self, starts: int) -> tuple[DurableChange, ...]:
        """Return the changes of a commit with ``starts`` ends and as many starts."""
        return (*self._ends(starts), *self._starts(starts))

    def _now(self) -> float:
        self._time += self._random.expovariate(self._load.starts_per_second)
        return self._time

    def _starts(self, count: int) -> tuple[DurableChange, ...]:
        changes: list[DurableChange] = []
        for _ in range(count):
            if self._index % TASKS_PER_JOB == 0:
                self._number += 1
                self._index = 0
                number = JobNumber(self._number)
                job_id = JobId(f"letters-{number:08d}")
                changes.append(JobAccepted(number, job_id, SHAPE, TASKS_PER_JOB, 1.7e9))
                self._unfinished_counts[number] = TASKS_PER_JOB
            number = JobNumber(self._number)
            worker = WorkerId(f"suva-rack-{self._random.randrange(self._load.workers)}")
            attempt = AttemptNumber(1)
            size = (self._random.randrange(500, 1000), self._random.randrange(1 << 30), 0)
            start = StartIntended(number, self._index, attempt, worker, self._now(), size)
            changes.append(start)
            self._running.append((number, self._index))
            self._index += 1
        return tuple(changes)

    def _ends(self, count: int) -> Iterator[DurableChange]:
        for _ in range(count):
            place = self._random.randrange(len(self._running))
            self._running[place], self._running[-1] = self._running[-1], self._running[place]
            number, index = self._running.pop()
            outcome = AttemptOutcome.FINISHED
            yield EndRecorded(number, index, AttemptNumber(1), outcome, self._now(), 1.0)
            self._unfinished_counts[number] -= 1
            if not self._unfinished_counts[number]:
                yield JobForgotten(number)


def measure(load: Load) -> None:
    """Measure a load and print its figures."""
    partition = Partition(load)
    starts = max(1, round(load.starts_per_second * COMMIT_SECONDS))
    position = JournalPosition(PartitionId("batch/0"), 0, {}, 0, Revision(0), 0, 0)
    segment_bytes = snapshot_bytes = snapshots = 0
    apply_seconds = encode_seconds = snapshot_seconds = 0.0
    longest = 0
    recent: list[bytes] = []
    snapshot = b""
    for _ in range(COMMITS):
        changes = partition.next_commit(starts)
        due = position.snapshot_due or not snapshot
        apply_seconds += _processor_seconds(partial(_advance, partition, changes))
        begun = time.process_time()
        sequence = position.sequence + 1
        value = encode_segment(Segment(sequence, CHANGE, OWNER, changes))
        encode_seconds += time.process_time() - begun
        position = position.after_segment(Revision(sequence), len(value))
        segment_bytes += len(value)
        longest = max(longest, len(value))
        recent.append(value)
        if due:
            begun = time.process_time()
            snapshot = encode_snapshot(partition.table, sequence, CHANGE, OWNER)
            snapshot_seconds += time.process_time() - begun
            position = position.after_snapshot(sequence, Revision(sequence), len(snapshot))
            snapshots += 1
            snapshot_bytes += len(snapshot)
            recent.clear()
    total = COMMITS * starts
    seconds = COMMITS * COMMIT_SECONDS
    recovery = _processor_seconds(lambda: _recover(snapshot, recent))
    print(f"{load.name}: {load.running} running, {load.starts_per_second} starts/s")
    print(
        f"  bytes per start {(segment_bytes + snapshot_bytes) / total:.0f} "
        f"(segments {segment_bytes / total:.0f}, snapshots {snapshot_bytes / total:.0f}); "
        f"{(segment_bytes + snapshot_bytes) / seconds / 1000:.1f} kB/s"
    )
    print(
        f"  store writes/s {(COMMITS + snapshots) / seconds:.2f}, per start "
        f"{(COMMITS + snapshots) / total:.4f}; longest segment {longest / 1000:.0f} kB, "
        f"snapshot {len(snapshot) / 1000:.0f} kB"
    )
    print(
        f"  processor per start {1e6 * (apply_seconds + encode_seconds) / total:.1f} us, "
        f"snapshots {1e6 * snapshot_seconds / total:.1f} us; "
        f"{(apply_seconds + encode_seconds + snapshot_seconds) / seconds:.2%} of a core"
    )
    print(
        f"  recovery: 1 + {len(recent)} reads (at most {RING_SLOTS + 1}), "
        f"{1000 * recovery:.0f} ms of processor time"
    )


def memory_per_task(running: int) -> float:
    """Return the bytes of memory that a partition holds per running task."""
    tracemalloc.start()
    partition = Partition(Load("memory", running, 400, 1))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(partition.table.tasks)


def cancel_wave(tasks: int) -> float:
    """Return the processor time in microseconds per task to cancel ``tasks`` waiting tasks."""
    number = JobNumber(1)
    table = TaskTable.empty().apply(
        [JobAccepted(number, JobId("wave"), SHAPE, tasks, 1.7e9)],
    )
    wave = [CancelRequested(number, index, 1.7e9) for index in range(tasks)]
    return 1e6 * _processor_seconds(lambda: table.apply(wave)) / tasks


def _advance(partition: Partition, changes: tuple[DurableChange, ...]) -> None:
    partition.table = partition.table.apply(changes)


def _recover(snapshot: bytes, segments: list[bytes]) -> None:
    table = table_of(decode_snapshot(snapshot))
    for value in segments:
        table = table.apply(decode_segment(value).changes)


def _processor_seconds(action: Callable[[], object]) -> float:
    begun = time.process_time()
    action()
    return time.process_time() - begun


def main() -> None:
    """Print the figures of all loads, of cancellations and of memory."""
    for load in LOADS:
        measure(load)
    for tasks in (1_000, 10_000, 40_000):
        print(f"wave of {tasks} cancellations: {cancel_wave(tasks):.1f} us each")
    print(f"memory: {memory_per_task(10_000):.0f} bytes per running task")


if __name__ == "__main__":
    main()

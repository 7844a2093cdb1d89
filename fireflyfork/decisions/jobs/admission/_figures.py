"""The figures that an owner publishes: accepted work, the rate at which it is done, and free room."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from ...._decoding import decode_msgpack
from ...._errors import InvalidDataError
from .._specs import JobSpec, StepSpec
from .._stored_forms import StoredFormatError

MAX_ROOM_ROWS = 8
"""Maximum number of rows of free room; more are merged, which never hides free room."""


class WorkRow(NamedTuple):
    """The unfinished jobs of one queue, priority and size that can still be of use."""

    queue: str
    priority: int
    size: int
    """Binary logarithm of the work of one job, see ``size_of``."""
    work: float
    """Work that isn't done yet, in thousandths of a core times milliseconds."""
    running: float
    """The part of ``work`` that belongs to tasks which run at present."""
    arriving: float
    """Work that was recently accepted per millisecond, in the unit of ``work``."""

    def is_before(self, priority: int, size: int) -> bool:
        """Whether these jobs are placed before one of the given priority and size."""
        return (self.priority, self.size) <= (priority, size)


class RoomRow(NamedTuple):
    """Free resources on one executor, or at least as much as that."""

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def fits(self, step: StepSpec) -> bool:
        """Whether a task of the step has enough room."""
        return (
            step.reserved_cpu_millis <= self.cpu_millis
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )


@dataclass(frozen=True, slots=True)
class WorkFigures:
    """The work ahead of new jobs of one service, as its owner knew it at one moment."""

    term: int
    """The owner's term of ownership; with ``number`` it is the version of the figures."""
    number: int
    as_of_ms: int
    """When the figures were computed, in Unix milliseconds on the owner's clock."""
    rate: float
    """Work that is done per millisecond, in the unit of ``WorkRow.work``."""
    rows: tuple[WorkRow, ...] = ()
    """The unfinished work; empty unless tasks wait for room."""
    room: tuple[RoomRow, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """The version: higher figures replace lower ones."""
        return self.term, self.number

    @property
    def is_pressed(self) -> bool:
        """Whether tasks wait for room."""
        return bool(self.rows)

    def work_before(self, priority: int, size: int, age_ms: float) -> float:
        """Return the work that is done before a new job of that priority and size.

        Jobs that are placed later count only with their running tasks, which keep their room.
        ``age_ms`` is the age of the figures: work that arrived since then is estimated from the
        recent past, since each instance only knows the jobs that it has accepted itself.
        """
        return sum(
            row.work + row.arriving * age_ms if row.is_before(priority, size) else row.running
            for row in self.rows
        )

    def arriving_before(self, priority: int, size: int) -> float:
        """Return the work per millisecond that arrives and is placed before such a job."""
        return sum(row.arriving for row in self.rows if row.is_before(priority, size))

    @property
    def waiting_work(self) -> float:
        """The work of jobs that can be of use, without that of running tasks."""
        return sum(row.work - row.running for row in self.rows)

    def has_room(self, spec: JobSpec) -> bool:
        """Whether an executor has room for a task with which the job can begin."""
        first_steps = [step for step in spec.steps if not step.after]
        return any(room.fits(step) for room in self.room for step in first_steps)


def size_of(work: float) -> int:
    """Return the size class of a job with that work: its binary logarithm, rounded up."""
    return int(work).bit_length()


def work_of(spec: JobSpec) -> float:
    """Return the estimated work of a job, in thousandths of a core times milliseconds.

    Only work on reserved cores counts: what tasks do with the time that others leave idle takes no
    room from anything.
    """
    return sum(
        float(step.count * step.estimate_ms * step.reserved_cpu_millis) for step in spec.steps
    )


def is_measured(spec: JobSpec) -> bool:
    """Whether figures tell when a job would end.

    They don't for jobs that run until they are cancelled, start at set times, or use cores that
    others leave idle.
    """
    return not (
        spec.is_long_running
        or spec.repetitions
        or any(step.uses_leftover_cpu for step in spec.steps)
    )


def largest_rooms(rooms: Iterable[RoomRow]) -> tuple[RoomRow, ...]:
    """Return the rooms that no other one exceeds in everything, at most ``MAX_ROOM_ROWS``.

    If there are more, the rest is replaced by one row with the largest value of each resource. A
    job may then be accepted for which there is no room, but none is refused while there is.
    """
    rows = list(_not_dominated(rooms))
    if len(rows) <= MAX_ROOM_ROWS:
        return tuple(rows)
    kept, rest = rows[: MAX_ROOM_ROWS - 1], rows[MAX_ROOM_ROWS - 1 :]
    return *kept, RoomRow(*(max(values) for values in zip(*rest, strict=True)))


def _not_dominated(rooms: Iterable[RoomRow]) -> Iterator[RoomRow]:
    kept: list[RoomRow] = []
    for room in sorted(set(rooms), reverse=True):
        # Rooms before this one in the order have at least as many processors.
        if not any(
            other.memory_mb >= room.memory_mb and other.accelerators >= room.accelerators
            for other in kept
        ):
            kept.append(room)
            yield room


def encode_figures(figures: WorkFigures) -> bytes:
    """Return the stored form as bytes."""
    return msgspec.msgpack.encode(figures)


def decode_figures(data: bytes) -> WorkFigures:
    """Decode the stored form. Raises StoredFormatError."""
    try:
        return decode_msgpack(data, WorkFigures)
    except InvalidDataError as error:
        raise StoredFormatError(f"figures of the work ahead can't be decoded: {error}") from error

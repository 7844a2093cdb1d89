"""What a new owner reads from the store before it decides anything."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio
from loguru import logger

from .._errors import StoreError
from ..adapters import CoordinationStore, StoreListing
from ..decisions.jobs import ExecutorRegistration, LearnedFit
from ..platform import REGISTRATION_PREFIX
from ._scheduling_keys import PROGRESS_PREFIX, WORK_PREFIX
from ._service_journal import ServiceJournal

RETRY_SECONDS = 0.1

_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class LeftBehind:
    """What earlier owners, callers and executors have stored."""

    last_known: tuple[ExecutorRegistration, ...]
    """The executors that an earlier owner knew."""
    learned: tuple[LearnedFit, ...]
    work: StoreListing
    """Owners, jobs and cancellations."""
    progress: StoreListing
    registrations: StoreListing


async def read_left_behind(store: CoordinationStore, journal: ServiceJournal) -> LeftBehind:
    """Read all of it at once, each part again until it has come.

    One after the other, these calls made recovery seven round trips long: a third of a second in another
    region, and three seconds with a store that answers a hundred times slower than usual. A part that has
    come is not read again because another one failed. No earlier owner can change any of it meanwhile:
    its writes need its own key, which is gone.
    """
    opened = _Reading("journal", journal.open)
    last_known = _Reading("executors", journal.last_known_executors)
    learned = _Reading("learned", journal.last_learned)
    work = _Reading(WORK_PREFIX, lambda: store.list(WORK_PREFIX))
    progress = _Reading(PROGRESS_PREFIX, lambda: store.list(PROGRESS_PREFIX))
    registrations = _Reading(REGISTRATION_PREFIX, lambda: store.list(REGISTRATION_PREFIX))
    async with trio.open_nursery() as nursery:
        for reading in (opened, last_known, learned, work, progress, registrations):
            nursery.start_soon(reading.run)
    return LeftBehind(
        last_known.answer, learned.answer, work.answer, progress.answer, registrations.answer
    )


async def until_answered(what: str, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
    """Repeat a question to the store until it answers."""
    while True:
        try:
            return await call()
        except StoreError as error:
            logger.info("recovery waits for the store", reading=what, error=str(error))
            await trio.sleep(RETRY_SECONDS)


class _Reading(Generic[_Answer]):
    """One part, and its answer once there is one."""

    def __init__(self, what: str, call: Callable[[], Awaitable[_Answer]]) -> None:
        self._what = what
        self._call = call
        self._answers: list[_Answer] = []

    @property
    def answer(self) -> _Answer:
        return self._answers[-1]

    async def run(self) -> None:
        self._answers.append(await until_answered(self._what, self._call))

"""Reads the state that a new owner needs from the store before it can decide anything."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio
from loguru import logger

from ..._errors import StoreError
from ..._ids import QueueName
from ...adapters import CoordinationStore, StoreListing
from ...decisions.jobs import (
    ExecutorRegistration,
    LearnedFit,
    QueueTerms,
    StoredEstimates,
    StoredShare,
)
from ...platform import REGISTRATION_PREFIX
from .._scheduling_keys import PROGRESS_PREFIX, WORK_PREFIX
from ._service_journal import ServiceJournal

RETRY_SECONDS = 0.1

_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class RecoveryState:
    """State that earlier owners, callers and executors have stored."""

    last_known: tuple[ExecutorRegistration, ...] | None
    """The executors that an earlier owner stored; None if they can't be read."""
    terms: dict[QueueName, QueueTerms]
    """The terms of queues that an earlier owner stored."""
    learned: tuple[LearnedFit, ...]
    shares: tuple[StoredShare, ...]
    """Use of the shares, stored with what was learned."""
    estimates: StoredEstimates | None
    """What was learned of executors; None if nothing was, or it can't be read."""
    work: StoreListing
    """The keys of owners, jobs and cancellations."""
    progress: StoreListing
    registrations: StoreListing


async def read_recovery_state(store: CoordinationStore, journal: ServiceJournal) -> RecoveryState:
    """Read all parts of the state concurrently, and retry each until the store answers.

    Sequential calls made recovery seven round trips long: a third of a second in another region,
    and three seconds with a store that is a hundred times slower than usual. A part that was read
    isn't read again because another part failed. No earlier owner can change the state in the
    meantime, because its writes are conditional on its own owner key, which no longer exists.
    """
    opened = _Reading("journal", journal.open)
    last_known = _Reading("executors", journal.last_known_executors)
    terms = _Reading("terms of queues", journal.last_terms)
    learned = _Reading("learned", journal.last_learned)
    work = _Reading(WORK_PREFIX, lambda: store.list(WORK_PREFIX))
    progress = _Reading(PROGRESS_PREFIX, lambda: store.list(PROGRESS_PREFIX))
    registrations = _Reading(REGISTRATION_PREFIX, lambda: store.list(REGISTRATION_PREFIX))
    async with trio.open_nursery() as nursery:
        for reading in (opened, last_known, terms, learned, work, progress, registrations):
            nursery.start_soon(reading.run)
    return RecoveryState(
        last_known.answer,
        terms.answer,
        *learned.answer,
        work.answer,
        progress.answer,
        registrations.answer,
    )


async def retry_until_answered(name: str, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
    """Repeat a call to the store until it succeeds; ``name`` identifies it in the log."""
    while True:
        try:
            return await call()
        except StoreError as error:
            logger.info("recovery waits for the store", reading=name, error=str(error))
            await trio.sleep(RETRY_SECONDS)


class _Reading(Generic[_Answer]):
    """Reads one part of the state and holds the answer."""

    def __init__(self, name: str, call: Callable[[], Awaitable[_Answer]]) -> None:
        self._label = name
        self._call = call
        self._answers: list[_Answer] = []

    @property
    def answer(self) -> _Answer:
        return self._answers[-1]

    async def run(self) -> None:
        self._answers.append(await retry_until_answered(self._label, self._call))

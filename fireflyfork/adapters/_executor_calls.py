"""Calls to executors: start, stop, pace, and poll with a renewal of the lease."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import AttemptNumber, ExecutorId, FailureDomainName, FencingToken, TaskName
from .._links import Address
from ..decisions.jobs import OrderAnswer, PollAnswer, PollRequest, StartRequest

ANY_INCARNATION = 0
"""In place of an incarnation: whichever is there."""

LONGEST_CALL_SECONDS = 7.5
"""No call waits longer for its answer. The longest ones are polls: they wait at the executor, and then for as long
as a lease lasts for an answer that is late."""


@dataclass(frozen=True, slots=True)
class ExecutorPlace:
    """Which process a call is meant for."""

    executor: ExecutorId
    address: Address
    incarnation: int
    """When that process started, in Unix milliseconds, or ``ANY_INCARNATION``."""
    failure_domain: FailureDomainName | None = None
    """Where it stands; None if it doesn't matter who calls it."""


class ExecutorCalls(ABC):
    """Calls to executors. None raises: what went wrong is the outcome.

    A call is carried out by the incarnation that its place names and by no other one; what finds another
    one there does nothing, and its outcome is OTHER_INCARNATION, with the incarnation that is there if it
    is known. Executors count clocks and ends anew in each life: a deadline by the clock of the last life
    would let runs go on in the next one for as long as the platform allows, long after their owner took
    them for over and started their tasks elsewhere, and ends of the next life would be forgotten unseen.
    """

    @abstractmethod
    async def start(
        self, place: ExecutorPlace, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """Stop a run; one that is not there yet is barred."""

    @abstractmethod
    async def pace(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""

    @abstractmethod
    async def poll(
        self, place: ExecutorPlace, token: FencingToken, request: PollRequest, fresh: bool = False
    ) -> PollAnswer:
        """Renew the lease of all that runs there and list it, with what has ended.

        A ``fresh`` poll goes out on a new connection; if it is answered, no other idle one is used any more.
        """

    @abstractmethod
    def forget(self, executor: ExecutorId) -> None:
        """Close the connections to an executor that has left."""

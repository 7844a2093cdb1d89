"""The interface for calls to executors: start, stop and pace runs, poll, and renew the lease."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import AttemptNumber, ExecutorId, FailureDomainName, FencingToken, TaskName
from .._links import Address
from ..decisions.jobs import OrderAnswer, PollAnswer, PollRequest, StartRequest

ANY_INCARNATION = 0
"""Used in endpoint of an incarnation if the call may reach any incarnation."""

MAX_CALL_SECONDS = 7.5
"""The maximum time that a call waits for its answer. Polls take the longest: they wait at the executor, and a
late answer is then awaited for as long as a lease lasts."""


@dataclass(frozen=True, slots=True)
class ExecutorEndpoint:
    """The executor process that a call is addressed to."""

    executor: ExecutorId
    address: Address
    incarnation: int
    """The start time of the process in Unix milliseconds, or ``ANY_INCARNATION``."""
    failure_domain: FailureDomainName | None = None
    """The failure domain of the executor, which decides whether a relay calls it; None: always call it directly."""


class ExecutorCalls(ABC):
    """Calls to executors. They don't raise errors: failures are reported as the outcome.

    A call takes effect only on the incarnation that it is addressed to. If another incarnation is running,
    the call does nothing and its outcome is OTHER_INCARNATION, with the running incarnation if it is known.
    An executor restarts its clock and its numbering of ends with each incarnation. A deadline by the clock
    of the previous incarnation would let runs continue in the next one for as long as the platform allows,
    long after their owner considered them over and started their tasks elsewhere, and ends of the next
    incarnation would be acknowledged before the owner has read them.
    """

    @abstractmethod
    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """Stop a run. If the run hasn't started yet, the executor refuses to start it later."""

    @abstractmethod
    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """Limit a run to ``percent`` of its full speed."""

    @abstractmethod
    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """Renew the lease of all runs on the executor, and list the current runs and the ended ones.

        A ``fresh`` poll uses a new connection. If it is answered, all other idle connections are closed.
        """

    @abstractmethod
    def forget(self, executor: ExecutorId) -> None:
        """Close the connections to an executor that is no longer registered."""

"""The messages between an owner and the relays that call executors on its behalf.

A stream consists of frames, each with a length and a list of messages. All queued messages are sent in one frame.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from .._decoding import Count, HeaderText, LongCount
from .._ids import ExecutorId
from .._links import Address
from ..decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    RunningRow,
    StartRequest,
)
from ._executor_calls import ExecutorEndpoint

RELAY_VERSION = 1
"""The version of the protocol. Instances with different versions don't use each other as relays."""
LONGEST_CALL_SECONDS = 3600.0
CallSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=LONGEST_CALL_SECONDS)]


class RelayMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Base class of all messages between an owner and a relay."""


class EndpointFields(msgspec.Struct, frozen=True, array_like=True):
    """The executor process that a call is addressed to; see ExecutorEndpoint."""

    executor: HeaderText
    host: str
    port: int
    incarnation: LongCount

    def __post_init__(self) -> None:
        """Check the address. Raises SettingsError."""
        self.endpoint()

    @classmethod
    def of(cls, endpoint: ExecutorEndpoint) -> EndpointFields:
        """Encode the address of an executor process, without its failure domain."""
        return cls(
            endpoint.executor, endpoint.address.host, endpoint.address.port, endpoint.incarnation
        )

    def endpoint(self) -> ExecutorEndpoint:
        """Decode the address of the executor process."""
        address = Address(self.host, self.port)
        return ExecutorEndpoint(ExecutorId(self.executor), address, self.incarnation)


class Hello(RelayMessage, frozen=True, tag=0):
    """The first message of each side."""

    version: int


class StartCall(RelayMessage, frozen=True, tag=1):
    """See ExecutorCalls.start."""

    number: LongCount
    """The number that identifies the call in its reply."""
    place: EndpointFields
    token: LongCount
    task: str
    attempt: LongCount
    payload: str
    deadline_ms: LongCount
    checkpoint: str
    ticket: str


class StopCall(RelayMessage, frozen=True, tag=2):
    """See ExecutorCalls.stop."""

    number: LongCount
    place: EndpointFields
    token: LongCount
    task: str
    attempt: LongCount


class PaceCall(RelayMessage, frozen=True, tag=3):
    """See ExecutorCalls.pace."""

    number: LongCount
    place: EndpointFields
    token: LongCount
    task: str
    attempt: LongCount
    percent: LongCount


class PollCall(RelayMessage, frozen=True, tag=4):
    """See ExecutorCalls.poll."""

    number: LongCount
    place: EndpointFields
    token: LongCount
    forget_ends_to: LongCount
    lease_until_ms: LongCount | None
    wait_seconds: CallSeconds
    patience_seconds: CallSeconds


class Forget(RelayMessage, frozen=True, tag=5):
    """See ExecutorCalls.forget."""

    executor: HeaderText


class OrderReply(RelayMessage, frozen=True, tag=6):
    """The reply to a start, stop or pace call."""

    number: LongCount
    outcome: str
    clock_ms: Count | None
    incarnation: Count | None

    @classmethod
    def of(cls, number: int, answer: OrderAnswer) -> OrderReply:
        """Encode the answer to call ``number``."""
        return cls(number, answer.outcome.value, answer.clock_ms, answer.incarnation)

    def answer(self) -> OrderAnswer:
        """Decode the answer. Raises ValueError for an unknown outcome."""
        return OrderAnswer(CallOutcome(self.outcome), self.clock_ms, self.incarnation)


class PollReply(RelayMessage, frozen=True, tag=7):
    """The reply to a poll."""

    number: LongCount
    outcome: str
    clock_ms: Count | None
    incarnation: Count | None
    running: Sequence[tuple[str, Count, str, Count, float]]
    ended: Sequence[tuple[Count, str, Count, str, str]]
    ends_may_be_cut: bool
    why: str = ""

    @classmethod
    def of(cls, number: int, answer: PollAnswer) -> PollReply:
        """Encode the answer to call ``number``."""
        running = [
            (row.task, row.attempt, row.checkpoint, row.progress_percent, row.figure)
            for row in answer.running
        ]
        ended = [
            (row.number, row.task, row.attempt, row.reason.value, row.checkpoint)
            for row in answer.ended
        ]
        return cls(
            number,
            answer.outcome.value,
            answer.clock_ms,
            answer.incarnation,
            running,
            ended,
            answer.ends_may_be_cut,
            answer.why,
        )

    def answer(self) -> PollAnswer:
        """Decode the answer. Raises ValueError for an unknown outcome or reason."""
        return PollAnswer(
            CallOutcome(self.outcome),
            self.clock_ms,
            self.incarnation,
            tuple(RunningRow(*row) for row in self.running),  # type: ignore[arg-type]
            tuple(
                EndedRow(number, task, attempt, EndReason(reason), checkpoint)  # type: ignore[arg-type]
                for number, task, attempt, reason, checkpoint in self.ended
            ),
            self.ends_may_be_cut,
            self.why,
        )


class Ping(RelayMessage, frozen=True, tag=8):
    """A heartbeat, which the relay answers with a Pong."""


class Pong(RelayMessage, frozen=True, tag=9):
    """The answer to a Ping."""


class Goodbye(RelayMessage, frozen=True, tag=10):
    """Sent by a relay that is stopping. It still answers pending calls, and must get no new ones."""


class ReleaseCall(RelayMessage, frozen=True, tag=11):
    """A request to release a service whose owner can't reach the store.

    A relay of an earlier version closes the stream on it, and the owner opens another one.
    """

    number: LongCount
    service: str
    owner_revision: LongCount
    """The revision of the owner key, which is removed only at this revision."""


class ReleaseReply(RelayMessage, frozen=True, tag=12):
    """The reply to a ReleaseCall."""

    number: LongCount
    released: bool


Call = StartCall | StopCall | PaceCall | PollCall
Reply = OrderReply | PollReply | ReleaseReply
AnyRelayMessage = Hello | Call | Forget | Reply | Ping | Pong | Goodbye | ReleaseCall

DECODER = msgspec.msgpack.Decoder(list[AnyRelayMessage])


def start_call(
    number: int, endpoint: ExecutorEndpoint, token: int, order: StartRequest
) -> StartCall:
    """Encode an order to start a run."""
    return StartCall(
        number,
        EndpointFields.of(endpoint),
        token,
        order.task,
        order.attempt,
        order.payload,
        order.deadline_ms,
        order.checkpoint,
        order.ticket,
    )


def poll_call(
    number: int, endpoint: ExecutorEndpoint, token: int, request: PollRequest
) -> PollCall:
    """Encode a poll."""
    return PollCall(
        number,
        EndpointFields.of(endpoint),
        token,
        request.forget_ends_to,
        request.lease_until_ms,
        request.wait_seconds,
        request.patience_seconds,
    )

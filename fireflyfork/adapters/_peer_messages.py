"""The messages that entries exchange, encoded as a stream of msgpack values."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgpack
import msgspec

from .._decoding import convert, guarded
from .._errors import InvalidDataError, PeerError
from .._verdict import Verdict

MAX_MESSAGE_BYTES = 1 << 20
_NOTHING = object()


class Role(Enum):
    """The role in which the receiver handles a forwarded request."""

    HOME = "home"
    """The member that keeps the record of the request's idempotency key. It may forward the request once more."""
    OWNER = "owner"
    """The owner of at least one target of the service. It runs the request on one of its own targets."""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages between entries."""


class Challenge(Message, frozen=True):
    """The acceptor's first message: its member id, and a nonce that prevents the replay of an old answer."""

    member: str
    nonce: bytes


class Hello(Message, frozen=True):
    """The initiator's answer to the challenge, with a nonce of its own."""

    member: str
    digest: bytes
    nonce: bytes


class Welcome(Message, frozen=True):
    """The acceptor's answer to the initiator's nonce."""

    digest: bytes


class Ping(Message, frozen=True):
    """A heartbeat, which the receiver answers with a Pong."""

    nonce: int


class ServiceFigures(msgspec.Struct, frozen=True, array_like=True):
    """The load of a member's own targets of one service."""

    free_slots: int
    queued: int
    """The number of requests that wait for a slot."""
    drain_per_second: float
    """The number of requests that the targets complete per second when all slots are busy."""


class Pong(Message, frozen=True):
    """The answer to a ping, with the figures that routing uses."""

    nonce: int
    figures: dict[str, ServiceFigures]
    """The figures by service."""
    leaving: dict[str, float]
    """The targets that are leaving, with the seconds since the sender was informed of it."""


class Forward(Message, frozen=True):
    """Opens a call: the head of a request."""

    call: int
    role: Role
    request_id: str
    service: str
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    remaining_milliseconds: int
    """The time left until the deadline. It is a duration because the clocks of instances differ."""
    traceparent: str
    key: str
    """The idempotency key, or an empty string."""


class Chunk(Message, frozen=True):
    """A part of the body of a request or an answer."""

    call: int
    data: bytes
    end: bool


class AnswerHead(Message, frozen=True):
    """The head of an executor's answer."""

    call: int
    status: int
    headers: list[tuple[bytes, bytes]]
    figures: ServiceFigures
    """The sender's figures for the service of the request."""


class Refusal(Message, frozen=True):
    """Ends a call without a complete answer. After an AnswerHead it means that the answer was truncated."""

    call: int
    status: int
    reason: str
    verdict: Verdict
    retry_after: float | None


class Cancel(Message, frozen=True):
    """Sent by the initiator when it gives up a call."""

    call: int


class Credit(Message, frozen=True):
    """Sent by the receiver of a body after it has consumed ``size`` bytes; ``size`` more bytes may be sent."""

    call: int
    size: int


class Control(Message, frozen=True):
    """A message of the membership protocol: its topic and its encoded content."""

    topic: str
    content: bytes


PeerMessage = (
    Challenge
    | Hello
    | Welcome
    | Ping
    | Pong
    | Forward
    | Chunk
    | AnswerHead
    | Refusal
    | Cancel
    | Credit
    | Control
)


def encode_message(message: Message) -> bytes:
    """Encode one message."""
    plain = msgspec.to_builtins(message, builtin_types=(bytes,))
    return bytes(msgpack.packb(plain))


class MessageDecoder:
    """Decodes received bytes into messages."""

    def __init__(self) -> None:
        """Start with an empty buffer, which is limited to twice the maximum size of a message."""
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=2 * MAX_MESSAGE_BYTES, max_bin_len=MAX_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> Iterator[PeerMessage]:
        """Yield the messages that ``data`` completes. Raises PeerError if the data is invalid."""
        try:
            guarded(lambda: self._unpacker.feed(data))
            while (plain := guarded(self._next_plain)) is not _NOTHING:
                yield convert(plain, PeerMessage)  # type: ignore[arg-type]
        except InvalidDataError as error:
            raise PeerError(f"not a message: {error}") from error

    def _next_plain(self) -> Any:
        return next(self._unpacker, _NOTHING)

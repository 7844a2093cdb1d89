"""The messages between entries, and their encoding as a stream of msgpack values."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgpack
import msgspec

from .._errors import PeerError
from .._verdict import Verdict

LONGEST_MESSAGE_BYTES = 1 << 20


class Role(Enum):
    """What the receiver of a forwarded request is asked to be."""

    HOME = "home"
    """The home of the request's idempotency key; it may forward the request once more."""
    OWNER = "owner"
    """The owner of one of the service's targets; it runs the request on one of its own."""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Challenge(Message, frozen=True):
    """The acceptor's first message: who it is, and a nonce that proves a fresh answer."""

    member: str
    nonce: bytes


class Hello(Message, frozen=True):
    """The initiator's answer to the challenge, and a nonce of its own."""

    member: str
    digest: bytes
    nonce: bytes


class Welcome(Message, frozen=True):
    """The acceptor's answer to the initiator's nonce."""

    digest: bytes


class Ping(Message, frozen=True):
    """Asks whether the stream is alive."""

    nonce: int


class ServiceFigures(msgspec.Struct, frozen=True, array_like=True):
    """How busy a member's own targets of one service are."""

    free_slots: int
    queued: int
    """Requests that wait for a slot."""
    drain_per_second: float
    """Requests that the targets end in a second when all slots are busy."""


class Pong(Message, frozen=True):
    """Answers a ping with figures that routing uses."""

    nonce: int
    figures: dict[str, ServiceFigures]
    """By service."""
    leaving: dict[str, float]
    """Targets that the sender knows to be leaving, and for how many seconds."""


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
    """Time left until the deadline. A duration, because the clocks of instances differ."""
    traceparent: str
    key: str
    """The idempotency key, or an empty string."""


class Chunk(Message, frozen=True):
    """A part of a request's or an answer's body."""

    call: int
    data: bytes
    end: bool


class AnswerHead(Message, frozen=True):
    """The head of an executor's answer."""

    call: int
    status: int
    headers: list[tuple[bytes, bytes]]
    figures: ServiceFigures
    """Of the request's service at the sender."""


class Refusal(Message, frozen=True):
    """Ends a call without a whole answer. After an AnswerHead it means that the answer broke off."""

    call: int
    status: int
    reason: str
    verdict: Verdict
    retry_after: float | None


class Cancel(Message, frozen=True):
    """The initiator has given the call up."""

    call: int


class Credit(Message, frozen=True):
    """The receiver has taken so many bytes of a call's body; as many more may be sent."""

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
    """The bytes of one message."""
    plain = msgspec.to_builtins(message, builtin_types=(bytes,))
    return bytes(msgpack.packb(plain))


class MessageDecoder:
    """Turns received bytes into messages."""

    def __init__(self) -> None:
        """Nothing received."""
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=2 * LONGEST_MESSAGE_BYTES, max_bin_len=LONGEST_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> Iterator[PeerMessage]:
        """The messages that ``data`` completes. Raises PeerError on anything else."""
        try:
            self._unpacker.feed(data)
            for plain in self._unpacker:
                yield _convert(plain)
        except (msgspec.ValidationError, msgpack.UnpackException, ValueError) as error:
            raise PeerError(f"not a message: {error}") from error


def _convert(plain: Any) -> PeerMessage:
    return msgspec.convert(plain, PeerMessage, builtin_types=(bytes,))  # type: ignore[no-any-return]

"""The handshake with which two entries authenticate each other at the start of a stream."""

from __future__ import annotations

import hmac
import secrets
import socket

import trio

from .._errors import PeerError
from .._ids import MemberId
from ._peer_connection import RECEIVE_BYTES, PeerConnection, PeerHandler
from ._peer_messages import (
    Challenge,
    Hello,
    Message,
    MessageDecoder,
    PeerMessage,
    Welcome,
    encode_message,
)

HANDSHAKE_SECONDS = 2.0
"""The time limit for the whole handshake."""
_NONCE_BYTES = 16


async def connect_peer(
    stream: trio.SocketStream, own_id: MemberId, peer: MemberId, key: bytes, handler: PeerHandler
) -> PeerConnection:
    """Authenticate both sides of a connected stream to ``peer``, as the initiator. Raises PeerError."""
    messages = _HandshakeMessages(stream)
    challenge = await messages.receive()
    if not isinstance(challenge, Challenge) or challenge.member != peer:
        raise PeerError(f"the process there is not {peer}")
    nonce = secrets.token_bytes(_NONCE_BYTES)
    digest = _digest(key, b"hello", challenge.nonce, own_id, peer)
    await messages.send(Hello(own_id, digest, nonce))
    welcome = await messages.receive()
    expected = _digest(key, b"welcome", nonce, peer, own_id)
    if not isinstance(welcome, Welcome) or not hmac.compare_digest(welcome.digest, expected):
        raise PeerError(f"{peer} does not know the peer key")
    return PeerConnection(stream, peer, handler, initiator=True)


async def accept_peer(
    stream: trio.SocketStream, own_id: MemberId, key: bytes, handler: PeerHandler
) -> PeerConnection:
    """Authenticate both sides of an accepted stream. Raises PeerError."""
    messages = _HandshakeMessages(stream)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await messages.send(Challenge(own_id, nonce))
    hello = await messages.receive()
    if not isinstance(hello, Hello):
        raise PeerError("no hello")
    expected = _digest(key, b"hello", nonce, hello.member, own_id)
    if not hmac.compare_digest(hello.digest, expected):
        raise PeerError(f"{hello.member!r} does not know the peer key")
    await messages.send(Welcome(_digest(key, b"welcome", hello.nonce, own_id, hello.member)))
    return PeerConnection(stream, MemberId(hello.member), handler, initiator=False)


class _HandshakeMessages:
    """Sends and receives single messages, all within one time limit for the whole handshake."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._decoder = MessageDecoder()
        self._deadline = trio.current_time() + HANDSHAKE_SECONDS
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send(self, message: Message) -> None:
        try:
            with trio.fail_at(self._deadline):
                await self._stream.send_all(encode_message(message))
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise PeerError(f"handshake: {error!r}") from error

    async def receive(self) -> PeerMessage:
        try:
            with trio.fail_at(self._deadline):
                while data := await self._stream.receive_some(RECEIVE_BYTES):
                    for message in self._decoder.feed(data):
                        return message
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise PeerError(f"handshake: {error!r}") from error
        raise PeerError("handshake: the stream ended")


def _digest(key: bytes, purpose: bytes, nonce: bytes, sender: str, receiver: str) -> bytes:
    content = b"\0".join((purpose, nonce, sender.encode(), receiver.encode()))
    return hmac.digest(key, content, "sha256")

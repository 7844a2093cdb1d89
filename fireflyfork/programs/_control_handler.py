"""Handlers for control messages from peers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from .._ids import MemberId
from ..adapters import Control, decode_content, encode_content

Content = TypeVar("Content")


class ControlHandler(ABC):
    """Handles the control messages of one topic."""

    @abstractmethod
    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Handle a message and return the reply, or None for no reply. Raises PeerError."""


class TypedHandler(ControlHandler, Generic[Content]):
    """Decodes the messages of one topic for a callback and sends its result as the reply."""

    def __init__(
        self,
        content_type: type[Content],
        callback: Callable[[MemberId, Content], object | None],
        reply_topic: str = "",
    ) -> None:
        """``callback`` is called with the sender and the decoded content.

        A result other than None is sent back as a message of ``reply_topic``.
        """
        self._content_type = content_type
        self._callback = callback
        self._reply_topic = reply_topic

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        reply = self._callback(member, decode_content(content, self._content_type))
        if reply is None:
            return None
        return Control(self._reply_topic, encode_content(reply))

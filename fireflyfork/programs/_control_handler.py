"""Takes the control messages of peers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from .._ids import MemberId
from ..adapters import Control, decode_content, encode_content

Content = TypeVar("Content")


class ControlHandler(ABC):
    """Takes the messages of one topic."""

    @abstractmethod
    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a message, and return the reply if there is one. Raises PeerError."""


class TypedHandler(ControlHandler, Generic[Content]):
    """Passes the decoded content of one topic on, and sends what comes back as the reply."""

    def __init__(
        self,
        content_type: type[Content],
        take: Callable[[MemberId, Content], object | None],
        reply_topic: str = "",
    ) -> None:
        """``take`` gets the sender and the content."""
        self._content_type = content_type
        self._take = take
        self._reply_topic = reply_topic

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        reply = self._take(member, decode_content(content, self._content_type))
        if reply is None:
            return None
        return Control(self._reply_topic, encode_content(reply))

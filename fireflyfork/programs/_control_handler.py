"""Takes the control messages of peers."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .._ids import MemberId
from ..adapters import Control


class ControlHandler(ABC):
    """Takes the messages of one topic."""

    @abstractmethod
    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a message, and return the reply if there is one. Raises PeerError."""

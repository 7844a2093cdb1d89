"""The platform's lagging list of live and leaving instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import msgspec

from .._errors import PlatformError
from .._ids import TargetId
from .._links import Address
from ._http import HttpError
from ._http_client import HttpClient


class InstanceState(Enum):
    """What the list says of one instance."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class InstanceChange:
    """One instance's latest state."""

    target_id: TargetId
    state: InstanceState


@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """What changed since a cursor, and the cursor to ask from next."""

    cursor: int
    changes: tuple[InstanceChange, ...]


class InstanceList(ABC):
    """The list, read by its changes so that a large fleet costs no more than what happens in it."""

    @abstractmethod
    async def changes(self, cursor: int, wait_seconds: float) -> InstanceChanges:
        """The changes since ``cursor`` (0: all instances). Raises PlatformError.

        Waits up to ``wait_seconds`` for the first one.
        """


class HttpInstanceList(InstanceList):
    """The list over HTTP: ``GET /v1/instances?after=CURSOR&wait=SECONDS``."""

    def __init__(self, address: Address, timeout: float = 2.0) -> None:
        """``timeout`` is in seconds, on top of the time that a call asks to wait."""
        self._client = HttpClient(address, timeout)

    async def changes(self, cursor: int, wait_seconds: float) -> InstanceChanges:
        """See InstanceList."""
        target = f"/v1/instances?after={cursor}&wait={wait_seconds}"
        try:
            head, body = await self._client.call("GET", target, extra_seconds=wait_seconds)
            if head.status != 200:
                raise PlatformError(f"the instance list answered {head.status}")
            return msgspec.json.decode(body, type=InstanceChanges)
        except (HttpError, msgspec.DecodeError) as error:
            raise PlatformError(f"instance list: {error}") from error

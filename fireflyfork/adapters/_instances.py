"""Reads the platform's list of live and leaving instances, which lags behind their actual state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from .._decoding import decode_json
from .._errors import InvalidDataError, PlatformError
from .._ids import TargetId
from .._links import Address
from ._http import HttpError
from ._http_client import HttpClient


class InstanceState(Enum):
    """The state of an instance according to the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class InstanceChange:
    """The latest state of an instance."""

    target_id: TargetId
    state: InstanceState


@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """The changes since a cursor, and the cursor for the next call."""

    cursor: int
    changes: tuple[InstanceChange, ...]


class InstanceList(ABC):
    """The list of instances. It is read as changes, so the cost depends on the number of changes, not of instances."""

    @abstractmethod
    async def changes(self, cursor: int, wait_seconds: float) -> InstanceChanges:
        """Return the changes since ``cursor`` (0: all instances). Raises PlatformError.

        Waits up to ``wait_seconds`` for the first change.
        """


class HttpInstanceList(InstanceList):
    """Reads the list over HTTP: ``GET /v1/instances?after=CURSOR&wait=SECONDS``."""

    def __init__(self, address: Address, timeout: float = 2.0) -> None:
        """``timeout`` is in seconds, in addition to the ``wait_seconds`` of a call."""
        self._client = HttpClient(address, timeout)

    async def changes(self, cursor: int, wait_seconds: float) -> InstanceChanges:
        """See InstanceList."""
        target = f"/v1/instances?after={cursor}&wait={wait_seconds}"
        try:
            head, body = await self._client.call("GET", target, extra_seconds=wait_seconds)
            if head.status != 200:
                raise PlatformError(f"the instance list answered {head.status}")
            return decode_json(body, InstanceChanges)
        except (HttpError, InvalidDataError) as error:
            raise PlatformError(f"instance list: {error}") from error

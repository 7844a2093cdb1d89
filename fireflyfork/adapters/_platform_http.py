"""A client of the worker platform over HTTP with JSON bodies."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote

import msgspec

from .._decoding import decode_json
from .._errors import InvalidDataError, PlatformError
from .._ids import AttemptNumber, RegionName, TaskId
from .._links import Address
from .._machines import Worker
from ..decisions import RunReport, StartOrder
from ._http import HttpError
from ._http_client import HttpClient
from ._platform import PlatformReport, WorkerPlatform

Answer = TypeVar("Answer")


class StopCall(msgspec.Struct, frozen=True):
    """The body of a call to stop an attempt."""

    task_id: TaskId
    attempt: AttemptNumber
    checkpoint: bool


class ThrottleCall(msgspec.Struct, frozen=True):
    """The body of a call to throttle an attempt."""

    task_id: TaskId
    attempt: AttemptNumber
    millicores: int | None


class RenewCall(msgspec.Struct, frozen=True):
    """The body of a call to renew leases."""

    runs: tuple[tuple[TaskId, AttemptNumber], ...]
    seconds: float


class HttpPlatform(WorkerPlatform):
    """A client of the platform at one address."""

    def __init__(self, address: Address, timeout: float = 5.0) -> None:
        """``timeout`` is in seconds for each call; for a report, it is added to ``wait_seconds``."""
        self._client = HttpClient(address, timeout)
        self._calls = 0

    @property
    def calls(self) -> int:
        """The number of calls made so far."""
        return self._calls

    async def workers(self, region: RegionName) -> tuple[Worker, ...]:
        """See WorkerPlatform."""
        target = f"/v1/workers?region={quote(region, safe='')}"
        return await self._call("GET", target, None, tuple[Worker, ...])

    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        """See WorkerPlatform."""
        return await self._call("POST", "/v1/start", orders, tuple[RunReport, ...])

    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        """See WorkerPlatform."""
        call = StopCall(task_id, attempt, checkpoint)
        return await self._call("POST", "/v1/stop", call, RunReport)

    async def throttle(
        self, task_id: TaskId, attempt: AttemptNumber, millicores: int | None
    ) -> None:
        """See WorkerPlatform."""
        call = ThrottleCall(task_id, attempt, millicores)
        await self._call("POST", "/v1/throttle", call, dict[str, str])

    async def renew(
        self, runs: tuple[tuple[TaskId, AttemptNumber], ...], seconds: float
    ) -> tuple[RunReport, ...]:
        """See WorkerPlatform."""
        call = RenewCall(runs, seconds)
        return await self._call("POST", "/v1/renew", call, tuple[RunReport, ...])

    async def report(self, region: RegionName, cursor: int, wait_seconds: float) -> PlatformReport:
        """See WorkerPlatform."""
        target = f"/v1/report?region={quote(region, safe='')}&cursor={cursor}&wait={wait_seconds}"
        return await self._call("GET", target, None, PlatformReport, wait_seconds)

    async def _call(
        self,
        method: str,
        target: str,
        body: object,
        answer_type: type[Answer],
        extra_seconds: float = 0.0,
    ) -> Answer:
        self._calls += 1
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            head, answer = await self._client.call(method, target, (), content, extra_seconds)
        except HttpError as error:
            raise PlatformError(str(error)) from error
        if head.status != 200:
            raise PlatformError(f"the platform answered {head.status} to {method} {target}")
        try:
            return decode_json(answer, answer_type)
        except InvalidDataError as error:
            raise PlatformError(f"the platform's answer can't be read: {error}") from error

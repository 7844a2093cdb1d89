"""A client of the platform's advisor, which decides which executors may run a step."""

from __future__ import annotations

import msgspec

from .._decoding import Count, decode_json
from .._errors import AdvisorBusyError, AdvisorError, InvalidDataError
from .._ids import ExecutorId
from .._links import Address
from ..adapters import Advice, Advisor, HttpError
from ._http_calls import JsonCalls
from ._names import ADVICE_PATH

BUSY_STATUS = 429
CONNECT_SECONDS = 2.0
"""Time to connect, and between two parts of an answer."""
MAX_ANSWER_SECONDS = 600.0
"""Ends only calls that nobody waits for: the caller decides for how long a call is of use."""


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


class _Answer(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: Count | None = None


class PlatformAdvisor(Advisor):
    """Calls the advisor over HTTP."""

    def __init__(self, address: Address) -> None:
        """Configure a client, which connects to ``address`` on the first call."""
        self._calls = JsonCalls(address, CONNECT_SECONDS)

    async def advise(
        self, step: str, executors: tuple[ExecutorId, ...], fresh: bool = False
    ) -> Advice:
        """See Advisor."""
        body = msgspec.json.encode(_Question(step, list(executors)))
        try:
            answer = await self._calls.call(
                "POST",
                ADVICE_PATH,
                body,
                extra_seconds=MAX_ANSWER_SECONDS - CONNECT_SECONDS,
                fresh=fresh,
            )
            if answer.status == BUSY_STATUS:
                raise AdvisorBusyError("the advisor has too many waiting calls")
            if answer.status != 200:
                raise AdvisorError(f"the advisor answered with status {answer.status}")
            advice = decode_json(answer.body, _Answer)
        except (HttpError, InvalidDataError) as error:
            raise AdvisorError(str(error)) from error
        tickets = {ExecutorId(name): ticket for name, ticket in advice.good}
        valid_seconds = advice.valid_ms / 1000 if advice.valid_ms is not None else None
        return Advice(tickets, valid_seconds)

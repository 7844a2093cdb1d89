"""JSON calls over kept connections, shared by the clients of the store and of executors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .._links import Address
from ..adapters import UNACKNOWLEDGED_SECONDS, ClientExchange, Header, HttpClient, LoopTime

_JSON: Header = (b"content-type", b"application/json")


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A whole answer."""

    status: int
    body: bytes


Greet = Callable[["BoundCall"], Awaitable[None]]
"""Finds out whether a new connection leads where it should; see HttpClient."""


class BoundCall:
    """Calls over one connection."""

    def __init__(self, exchange: ClientExchange) -> None:
        """Use the connection of ``exchange``."""
        self._exchange = exchange

    async def call(
        self, method: str, target: str, body: bytes, headers: tuple[Header, ...]
    ) -> CallAnswer:
        """One call. Raises HttpError."""
        head, answer = await self._exchange(method, target, (_JSON, *headers), body)
        return CallAnswer(head.status, answer)


class JsonCalls:
    """Calls to one server."""

    def __init__(
        self,
        address: Address,
        timeout: float,
        pause: float | None = None,
        greet: Greet | None = None,
        loop_time: LoopTime | None = None,
        unacknowledged: float = UNACKNOWLEDGED_SECONDS,
        connects_patiently: bool = False,
    ) -> None:
        """See HttpClient."""

        async def greet_on(exchange: ClientExchange) -> None:
            if greet is not None:
                await greet(BoundCall(exchange))

        self._client = HttpClient(
            address,
            timeout,
            pause=pause,
            greet=greet_on,
            loop_time=loop_time,
            unacknowledged=unacknowledged,
            connects_patiently=connects_patiently,
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        extra_seconds: float = 0.0,
        is_greeting: bool = False,
        fresh: bool = False,
    ) -> CallAnswer:
        """One call; see HttpClient. Raises HttpError; it may then have taken effect."""
        head, answer = await self._client.call(
            method, target, (_JSON, *headers), body, extra_seconds, is_greeting, fresh
        )
        return CallAnswer(head.status, answer)

    def close(self) -> None:
        """Close the kept connections."""
        self._client.close()

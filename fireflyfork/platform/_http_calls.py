"""JSON calls over pooled connections, shared by the clients of the platform's services."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .._links import Address
from ..adapters import UNACKNOWLEDGED_SECONDS, ClientExchange, Header, HttpClient, LoopTime

_JSON: Header = (b"content-type", b"application/json")


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A complete response."""

    status: int
    body: bytes


Greet = Callable[["BoundCall"], Awaitable[None]]
"""Checks that a new connection leads to the intended process; see HttpClient."""


class BoundCall:
    """Makes calls over one given connection."""

    def __init__(self, exchange: ClientExchange) -> None:
        """``exchange`` sends a request over the connection."""
        self._exchange = exchange

    async def call(
        self, method: str, target: str, body: bytes, headers: tuple[Header, ...]
    ) -> CallAnswer:
        """Make one call. Raises HttpError."""
        head, answer = await self._exchange(method, target, (_JSON, *headers), body)
        return CallAnswer(head.status, answer)


class JsonCalls:
    """Makes calls to one server."""

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
        """Make one call; see HttpClient. Raises HttpError, after which the call may have taken effect."""
        head, answer = await self._client.call(
            method, target, (_JSON, *headers), body, extra_seconds, is_greeting, fresh
        )
        return CallAnswer(head.status, answer)

    def close(self) -> None:
        """Close all idle connections."""
        self._client.close()

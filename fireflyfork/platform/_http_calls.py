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


VerifyConnection = Callable[["BoundCall"], Awaitable[None]]
"""Checks that a new connection leads to the intended process; see HttpClient."""


class BoundCall:
    """Makes calls over one given connection."""

    def __init__(self, exchange: ClientExchange) -> None:
        """``exchange`` sends a request over the connection."""
        self._exchange = exchange

    async def call(
        self, method: str, target: str, body: bytes, headers: tuple[Header, ...]
    ) -> CallAnswer:
        """Send a JSON request over the connection and return its response. Raises HttpError."""
        head, answer = await self._exchange(method, target, (_JSON, *headers), body)
        return CallAnswer(head.status, answer)


class JsonCalls:
    """Makes calls to one server."""

    def __init__(
        self,
        address: Address,
        timeout: float,
        read_timeout: float | None = None,
        verify: VerifyConnection | None = None,
        loop_time: LoopTime | None = None,
        unacknowledged_seconds: float = UNACKNOWLEDGED_SECONDS,
        connect_within_call: bool = False,
    ) -> None:
        """See HttpClient."""

        async def verify_exchange(exchange: ClientExchange) -> None:
            if verify is not None:
                await verify(BoundCall(exchange))

        self._client = HttpClient(
            address,
            timeout,
            read_timeout=read_timeout,
            verify=verify_exchange,
            loop_time=loop_time,
            unacknowledged_seconds=unacknowledged_seconds,
            connect_within_call=connect_within_call,
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        extra_seconds: float = 0.0,
        is_verification: bool = False,
        fresh: bool = False,
    ) -> CallAnswer:
        """Make one call; see HttpClient. Raises HttpError, after which the call may have taken effect."""
        head, answer = await self._client.call(
            method, target, (_JSON, *headers), body, extra_seconds, is_verification, fresh
        )
        return CallAnswer(head.status, answer)

    def close(self) -> None:
        """Close all idle connections."""
        self._client.close()

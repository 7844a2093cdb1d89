"""Calls across the link between two regions, with kept connections and timeouts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

from fireflyfork.adapters import UNACKNOWLEDGED_SECONDS, ConnectError, HttpError

from ._region_link import DELAY_SECONDS, Purpose, Region, RegionLink

PACKET_BYTES = 60
"""Size of a packet that opens, acknowledges or resets a connection."""
_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class LinkRequest(Generic[_Answer]):
    """A request to the other region."""

    size: int
    purpose: Purpose
    serve: Callable[[], Awaitable[_Answer | None]]
    """Produces the answer when the request arrives, even if the caller has given up. None means that
    no answer is sent."""
    answer_size: Callable[[_Answer], int]
    answer_purpose: Callable[[_Answer], Purpose]


@dataclass(slots=True, eq=False)
class _Exchange(Generic[_Answer]):
    """One request and its answer on one connection."""

    question: LinkRequest[_Answer]
    arrives_at: float
    received: Callable[[], None]
    answer: _Answer | None = None
    done: trio.Event = field(default_factory=trio.Event)
    served: trio.CancelScope = field(default_factory=trio.CancelScope)


class LinkCalls:
    """Calls of one client to one server across the link.

    Timeouts and the reuse of connections are the same as in ``HttpClient``.
    """

    def __init__(
        self,
        link: RegionLink,
        caller_region: Region,
        timeout: float,
        pause: float | None = None,
        handshake: Callable[[LinkCalls], Awaitable[None]] | None = None,
        unacknowledged: float = UNACKNOWLEDGED_SECONDS,
        connects_patiently: bool = False,
    ) -> None:
        """Create a client without connections.

        ``caller_region`` is the region of the client, and ``timeout`` limits the time until the
        answer begins. ``pause`` limits the time between two parts of an answer and defaults to
        ``timeout``. ``handshake`` is called on each new connection. A call fails if it isn't
        acknowledged within ``unacknowledged`` seconds. If ``connects_patiently``, connecting may
        also use the extra seconds of a call. All times are in seconds.
        """
        self._link = link
        self._caller_region = caller_region
        self._timeout = timeout
        self._pause = timeout if pause is None else pause
        self._handshake = handshake
        self._unacknowledged = unacknowledged
        self._connects_patiently = connects_patiently
        self._idle = 0
        self._doubtful = False

    def close(self) -> None:
        """Close the idle connections."""
        self._idle = 0

    async def call(
        self,
        question: LinkRequest[_Answer],
        extra_seconds: float = 0.0,
        is_handshake: bool = False,
        fresh: bool = False,
    ) -> _Answer:
        """Send a request and return its answer, see ``HttpClient``.

        ``extra_seconds`` are added to the timeout, ``is_handshake`` skips the handshake on a new
        connection, and ``fresh`` requires a new connection. Raises HttpError, or ConnectError if no
        connection can be opened.
        """
        fresh = fresh or self._doubtful
        connected = False
        limit = trio.current_time() + self._timeout + extra_seconds
        try:
            with trio.CancelScope(deadline=limit) as scope:
                patience = extra_seconds if self._connects_patiently else 0.0
                await self._connect(is_handshake, fresh, self._timeout + patience)
                connected = True
                answer = await self.exchange(question, lambda: self._put_off(scope))
            if scope.cancelled_caught:
                if not connected:
                    raise ConnectError("can't connect in time")
                raise HttpError("no answer in time")
        except HttpError:
            self._doubtful = self._doubtful or connected
            raise
        if fresh:
            self.close()
        self._doubtful = False
        self._idle += 1
        return answer

    async def exchange(
        self, question: LinkRequest[_Answer], received: Callable[[], None] = lambda: None
    ) -> _Answer:
        """Send a request over an open connection and return its answer.

        ``received`` is called for each part of the answer that arrives. Raises HttpError if the
        request isn't acknowledged in time.
        """
        sent_at = trio.current_time()
        arrives_at = self._link.send(self._caller_region.other, question.size, question.purpose)
        exchange = _Exchange(question, arrives_at, received)
        self._link.run_in_background(lambda: self._serve(exchange))
        try:
            if arrives_at + DELAY_SECONDS - sent_at > self._unacknowledged:
                await trio.sleep_until(sent_at + self._unacknowledged)
                raise HttpError("not acknowledged in time")
            await exchange.done.wait()
        finally:
            if not exchange.done.is_set():
                self._link.run_in_background(lambda: self._reset(exchange))
        assert exchange.answer is not None
        return exchange.answer

    async def _connect(self, is_handshake: bool, fresh: bool, seconds: float) -> None:
        if self._idle and not fresh:
            self._idle -= 1
            return
        with trio.move_on_after(seconds) as scope:
            await self._link.carry(self._caller_region.other, PACKET_BYTES, Purpose.OTHER)
            await self._link.carry(self._caller_region, PACKET_BYTES, Purpose.OTHER)
        if scope.cancelled_caught:
            raise ConnectError("can't connect in time")
        if self._handshake is not None and not is_handshake:
            await self._handshake(self)

    async def _serve(self, exchange: _Exchange[_Answer]) -> None:
        """Serve the request in the other region and send the answer back."""
        question = exchange.question
        with exchange.served:
            await trio.sleep_until(exchange.arrives_at)
            answer = await question.serve()
            if answer is None:
                return
            size, purpose = question.answer_size(answer), question.answer_purpose(answer)
            await self._link.stream(self._caller_region, size, purpose, exchange.received)
            exchange.answer = answer
            exchange.done.set()

    async def _reset(self, exchange: _Exchange[_Answer]) -> None:
        """Close the connection; the server continues until the reset packet arrives."""
        exchange.received = lambda: None
        await self._link.carry(self._caller_region.other, PACKET_BYTES, Purpose.OTHER)
        exchange.served.cancel()

    def _put_off(self, scope: trio.CancelScope) -> None:
        scope.deadline = max(scope.deadline, trio.current_time() + self._pause)

"""Receivers of an executor's answer: a caller, the forwarding peer, or a detachable receiver."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from .._errors import PeerError, RequestError, TargetLostError
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import (
    Exchange,
    Header,
    HttpError,
    IncomingCall,
    ResponseHead,
    ServiceFigures,
    end_to_end_headers,
)
from ._caller_requests import KEY_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER
from ._entry_messages import CallerErrorBody


class AnswerSink(ABC):
    """Receives one answer: its head, the parts of its body, and its end."""

    def __init__(self) -> None:
        """Set up the sink; no part of an answer has been received yet."""
        self._started = False
        self._ended = False

    @property
    def started(self) -> bool:
        """Whether the head was received; after that no other answer can be sent."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the whole answer was received."""
        return self._ended

    async def start(self, head: ResponseHead) -> None:
        """Receive the head of the answer."""
        self._started = True
        await self._start(head)

    async def send(self, data: bytes) -> None:
        """Receive a part of the body."""
        await self._send(data)

    async def end(self) -> None:
        """Receive the end of the body."""
        await self._end()
        self._ended = True

    @abstractmethod
    async def _start(self, head: ResponseHead) -> None: ...

    @abstractmethod
    async def _send(self, data: bytes) -> None: ...

    @abstractmethod
    async def _end(self) -> None: ...


class CallerSink(AnswerSink):
    """Sends an answer to a caller."""

    def __init__(self, exchange: Exchange) -> None:
        """Set ``request`` once the request has been parsed, so that answers contain its ids."""
        super().__init__()
        self._exchange = exchange
        self.request: ServiceRequest | None = None

    async def fail(self, error: RequestError) -> None:
        """Answer with an error, or abort the connection if an answer has been started."""
        if self._started:
            self._exchange.abort()
            return
        self._started = True
        body = CallerErrorBody(error.reason, error.verdict, error.retry_after)
        headers = [*self._own_headers(error.verdict)]
        if error.retry_after is not None:
            seconds = max(1, math.ceil(error.retry_after))
            headers.append((b"retry-after", str(seconds).encode("ascii")))
        await self._exchange.answer_json(error.status, body, headers)

    async def _start(self, head: ResponseHead) -> None:
        headers = (*end_to_end_headers(head.headers), *self._own_headers(Verdict.ANSWERED))
        await self._exchange.start(head.status, headers)

    async def _send(self, data: bytes) -> None:
        await self._exchange.send(data)

    async def _end(self) -> None:
        await self._exchange.end()

    def _own_headers(self, verdict: Verdict) -> tuple[Header, ...]:
        headers = [(VERDICT_HEADER, verdict.value.encode("ascii"))]
        if self.request is not None:
            headers.append((REQUEST_ID_HEADER, self.request.request_id.encode("ascii")))
            headers.append((b"trace-id", self.request.trace.trace_id.encode("ascii")))
            if self.request.key:
                headers.append((KEY_HEADER, self.request.key.encode("latin-1")))
        return tuple(headers)


class PeerSink(AnswerSink):
    """Sends an answer to the peer that forwarded the request."""

    def __init__(self, call: IncomingCall, figures: Callable[[], ServiceFigures]) -> None:
        """``figures`` returns the service's load figures, which are sent with the answer."""
        super().__init__()
        self._call = call
        self._figures = figures

    async def _start(self, head: ResponseHead) -> None:
        self._call.start(head.status, head.headers, self._figures())

    async def _send(self, data: bytes) -> None:
        await self._call.send(data, end=False)

    async def _end(self) -> None:
        await self._call.send(b"", end=True)


class DetachableSink(AnswerSink):
    """Passes an answer on until the receiver is detached or fails, and discards the rest.

    An executor's answer is read to its end even without a receiver, since the executor's slot is
    busy until then.
    """

    def __init__(self, receiver: AnswerSink) -> None:
        """Pass the answer on to ``receiver``."""
        super().__init__()
        self._receiver: AnswerSink | None = receiver

    def detach(self) -> None:
        """Discard the rest of the answer."""
        self._receiver = None

    async def _start(self, head: ResponseHead) -> None:
        if self._receiver is not None:
            await self._deliver(self._receiver.start(head))

    async def _send(self, data: bytes) -> None:
        if self._receiver is not None:
            await self._deliver(self._receiver.send(data))

    async def _end(self) -> None:
        if self._receiver is not None:
            await self._deliver(self._receiver.end())

    async def _deliver(self, delivery: Awaitable[None]) -> None:
        try:
            await delivery
        except (HttpError, PeerError):
            self.detach()


def incomplete_answer_error(reason: str) -> TargetLostError:
    """Return the error for an answer that ended prematurely."""
    return TargetLostError(502, reason, Verdict.MAY_HAVE_RUN, None)

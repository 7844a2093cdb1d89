"""A caller's request after validation."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import IdempotencyKey, RequestId, ServiceName
from ._traces import TraceContext

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""The methods that the HTTP specification defines as idempotent."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a service, without its body."""

    request_id: RequestId
    service: ServiceName
    method: str
    path: str
    """The path and query that the executor receives."""
    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers; the names are in lower case."""
    deadline: float
    """The deadline in seconds, on the clock of this process's event loop."""
    trace: TraceContext
    """The context of the span that is the parent of the next hop's span."""
    key: IdempotencyKey | None = None
    """The idempotency key. It is set if and only if the request must run at most once."""
    key_is_new: bool = False
    """Whether this process generated the key for this request, so it can't be in use already."""

    @property
    def idempotent(self) -> bool:
        """Whether the request may safely run more than once."""
        return self.key is None

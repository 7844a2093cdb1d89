"""A caller's request, once it has been checked."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import IdempotencyKey, RequestId, ServiceName
from ._traces import TraceContext

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""The methods that HTTP itself calls idempotent."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a service, without its body."""

    request_id: RequestId
    service: ServiceName
    method: str
    path: str
    """Path and query as the executor sees them."""
    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, names in lower case."""
    deadline: float
    """By the clock of this process's event loop, in seconds."""
    trace: TraceContext
    """The context of the span that the next hop hangs below."""
    key: IdempotencyKey | None = None
    """Set exactly when the request must run at most once."""
    key_is_new: bool = False
    """Whether the key was made here for this request, so that it can't have been used before."""

    @property
    def idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        return self.key is None

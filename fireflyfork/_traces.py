"""W3C trace contexts, and the spans that record the hops of a request."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass, field

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
_SAMPLED = 1


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Identifies the trace of a request and the span that sent the request."""

    trace_id: str
    """The id of the trace: 32 hexadecimal digits."""
    span_id: str
    """The id of the sending span: 16 hexadecimal digits."""
    sampled: bool = True
    """Whether the spans of the trace are recorded."""

    @classmethod
    def new(cls, sampled: bool = True) -> TraceContext:
        """Start a new trace with random ids."""
        return cls(secrets.token_hex(16), secrets.token_hex(8), sampled)

    @classmethod
    def parse(cls, traceparent: str) -> TraceContext | None:
        """Parse a ``traceparent`` header. Return None if it is malformed or an id is all zeros."""
        match = _TRACEPARENT.fullmatch(traceparent.strip())
        if match is None or not match[1].strip("0") or not match[2].strip("0"):
            return None
        return cls(match[1], match[2], bool(int(match[3], 16) & _SAMPLED))

    def child(self) -> TraceContext:
        """Return the context of a new span in the same trace."""
        return TraceContext(self.trace_id, secrets.token_hex(8), self.sampled)

    @property
    def traceparent(self) -> str:
        """The value of the ``traceparent`` header that propagates this context."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"


@dataclass(frozen=True, slots=True)
class Span:
    """The record of one hop of a request."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    """The id of the parent span; empty for the first span of a trace."""
    process: str
    """The member that recorded the span."""
    start: float
    """The start time in seconds since the Unix epoch, on the process's own clock."""
    duration: float
    """The duration in seconds."""
    attributes: dict[str, str | int | float] = field(default_factory=dict)

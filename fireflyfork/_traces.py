"""Trace contexts as W3C writes them, and spans: one for each hop of a request."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass, field

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
_SAMPLED = 1


@dataclass(frozen=True, slots=True)
class TraceContext:
    """The trace that a request belongs to and the span that it comes from."""

    trace_id: str
    """32 hexadecimal digits."""
    span_id: str
    """16 hexadecimal digits."""
    sampled: bool = True
    """Whether spans are written."""

    @classmethod
    def new(cls, sampled: bool = True) -> TraceContext:
        """The start of a trace."""
        return cls(secrets.token_hex(16), secrets.token_hex(8), sampled)

    @classmethod
    def parse(cls, traceparent: str) -> TraceContext | None:
        """Read a ``traceparent`` header, or None when it is malformed or all zeros."""
        match = _TRACEPARENT.fullmatch(traceparent.strip())
        if match is None or not match[1].strip("0") or not match[2].strip("0"):
            return None
        return cls(match[1], match[2], bool(int(match[3], 16) & _SAMPLED))

    def child(self) -> TraceContext:
        """The context of a new span of the same trace."""
        return TraceContext(self.trace_id, secrets.token_hex(8), self.sampled)

    @property
    def traceparent(self) -> str:
        """The header that passes this context on."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"


@dataclass(frozen=True, slots=True)
class Span:
    """One hop of a request, as it is written."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    """Empty for the first span of a trace."""
    process: str
    """The member that wrote it."""
    start: float
    """Seconds since the Unix epoch, by the process's own clock."""
    duration: float
    """Seconds."""
    attributes: dict[str, str | int | float] = field(default_factory=dict)

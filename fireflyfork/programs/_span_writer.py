"""Writes trace spans as JSON lines, by default to stdout."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TextIO

import msgspec

from .._traces import Span, TraceContext
from ._logs import trace_of_task

Attributes = dict[str, str | int | float]


@dataclass(slots=True)
class OpenSpan:
    """A span that has not ended; attributes can still be set."""

    context: TraceContext
    attributes: Attributes = field(default_factory=dict)


class SpanWriter:
    """Writes the spans of one process."""

    def __init__(self, process: str, stream: TextIO | None = None) -> None:
        """``process`` is the process name in each span; ``stream`` defaults to stdout."""
        self._process = process
        self._stream = stream or sys.stdout

    @contextmanager
    def span(self, name: str, parent: TraceContext, **attributes: str | int) -> Iterator[OpenSpan]:
        """Open a child span of ``parent`` for a block and write it when the block ends or raises.

        The span is written only if ``parent`` is sampled.
        """
        span = OpenSpan(parent.child(), dict(attributes))
        start, started = time.time(), time.perf_counter()
        token = trace_of_task.set(parent.trace_id)
        try:
            yield span
        except BaseException as error:
            span.attributes.setdefault("error", type(error).__name__)
            raise
        finally:
            trace_of_task.reset(token)
            if parent.sampled:
                self._write(name, parent, span, start, time.perf_counter() - started)

    def _write(
        self, name: str, parent: TraceContext, span: OpenSpan, start: float, duration: float
    ) -> None:
        context = span.context
        written = Span(
            name,
            context.trace_id,
            context.span_id,
            parent.span_id,
            self._process,
            start,
            duration,
            span.attributes,
        )
        self._stream.write(msgspec.json.encode(written).decode("utf-8") + "\n")
        self._stream.flush()

"""Trees of the spans of a trace, read from the log lines of all processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .._decoding import decode_json
from .._errors import InvalidDataError
from .._traces import Span

_MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class SpanNode:
    """A span and its child spans in the order of their start times."""

    span: Span
    children: tuple[SpanNode, ...]


def read_spans(lines: Iterable[str]) -> Iterator[Span]:
    """Yield the spans among log lines; other lines are skipped."""
    for line in lines:
        try:
            yield decode_json(line, Span)
        except InvalidDataError:
            continue


def find_trace(spans: Iterable[Span], identifier: str) -> tuple[Span, ...]:
    """Return the spans of all traces with the trace id or span attribute value ``identifier``.

    Attributes include the request id and the idempotency key, which callers know. An attribute
    must be equal to ``identifier``, not only contain it.
    """
    all_spans = tuple(spans)
    traces = {span.trace_id for span in all_spans if _matches_identifier(span, identifier)}
    return tuple(span for span in all_spans if span.trace_id in traces)


def span_trees(spans: Iterable[Span]) -> tuple[SpanNode, ...]:
    """Build trees of spans; a span whose parent is missing is a root.

    Overlapping log files may contain a span twice; it is used once.
    """
    by_id = {span.span_id: span for span in spans}
    children: dict[str, list[Span]] = {}
    roots: list[Span] = []
    for span in sorted(by_id.values(), key=lambda each: each.start):
        if span.parent_id in by_id and span.parent_id != span.span_id:
            children.setdefault(span.parent_id, []).append(span)
        else:
            roots.append(span)
    return tuple(_tree_of(root, children) for root in roots)


def draw_trees(trees: Iterable[SpanNode]) -> Iterator[str]:
    """Yield the lines of a drawing of the trees.

    Times are in milliseconds: the offset from the start of the earliest root, and the duration.
    Each process timestamps its spans with its own clock, so a child may seem to start before its
    parent.
    """
    roots = tuple(trees)
    first_start = min((root.span.start for root in roots), default=0.0)
    for root in roots:
        yield _format_span(root.span, first_start)
        yield from _draw_children(root, first_start, "")


def _draw_children(node: SpanNode, first_start: float, indent: str) -> Iterator[str]:
    for child in node.children:
        is_last = child is node.children[-1]
        yield f"{indent}{'└─ ' if is_last else '├─ '}{_format_span(child.span, first_start)}"
        yield from _draw_children(child, first_start, indent + ("   " if is_last else "│  "))


def _format_span(span: Span, first_start: float) -> str:
    offset = (span.start - first_start) * _MILLISECONDS
    duration = span.duration * _MILLISECONDS
    attributes = " ".join(f"{name}={value}" for name, value in span.attributes.items())
    return (
        f"{span.name} at {span.process}: +{offset:.1f} ms, {duration:.1f} ms  {attributes}".rstrip()
    )


def _tree_of(span: Span, children: dict[str, list[Span]]) -> SpanNode:
    child_spans = children.pop(span.span_id, [])
    return SpanNode(span, tuple(_tree_of(child, children) for child in child_spans))


def _matches_identifier(span: Span, identifier: str) -> bool:
    return span.trace_id == identifier or identifier in map(str, span.attributes.values())

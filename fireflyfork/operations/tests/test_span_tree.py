"""Tests of reading, finding and drawing the spans of a request."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ..._traces import Span
from .. import draw_trees, find_trace, read_spans, span_trees

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"


def span(name: str, span_id: str, parent_id: str, start: float, **attributes: str) -> Span:
    """Return a span of 10 ms in the trace ``TRACE``."""
    return Span(name, TRACE, span_id, parent_id, f"p-{name}", start, 0.01, dict(attributes))


HOPS = (
    span("request", "a", "", 100.0, request_id="r1"),
    span("forward", "b", "a", 100.001),
    span("peer", "c", "b", 100.002),
    span("attempt", "d", "c", 100.003, target="desk-1"),
    span("attempt", "e", "c", 100.013, target="desk-2"),
)


class SpanTreeTest(unittest.TestCase):
    """Trees of spans, from log lines to the drawing."""

    def test_drawing(self) -> None:
        """A request with five spans, whose last one is a retry."""
        self.assertEqual(
            list(draw_trees(span_trees(reversed(HOPS)))),
            [
                "request at p-request: +0.0 ms, 10.0 ms  request_id=r1",
                "└─ forward at p-forward: +1.0 ms, 10.0 ms",
                "   └─ peer at p-peer: +2.0 ms, 10.0 ms",
                "      ├─ attempt at p-attempt: +3.0 ms, 10.0 ms  target=desk-1",
                "      └─ attempt at p-attempt: +13.0 ms, 10.0 ms  target=desk-2",
            ],
        )

    def test_trace_is_found_by_id_or_attribute(self) -> None:
        """A trace is found by its id or by the whole value of an attribute, as the request id."""
        other = Span("x", "f" * 32, "z", "", "p", 1.0, 1.0)
        for wanted in (TRACE, "r1", "desk-2"):
            with self.subTest(wanted=wanted):
                self.assertEqual(find_trace((*HOPS, other), wanted), HOPS)
        self.assertEqual(find_trace(HOPS, "r"), ())

    def test_other_lines_are_passed_over(self) -> None:
        """Guards against a file that fails to read because of log lines or a truncated line.

        A line is truncated if its process is killed while writing it.
        """
        line = msgspec.json.encode(HOPS[0]).decode()
        lines = ["", "not json", '{"message": "serving"}', line, line[:40], "[1]"]
        self.assertEqual(list(read_spans(lines)), [HOPS[0]])

    def test_spans_below_a_missing_parent_are_drawn(self) -> None:
        """Guards against spans that aren't drawn because their parent is missing.

        A process killed before it writes its span leaves the spans below it as a separate tree.
        """
        trees = span_trees(each for each in HOPS if each.name != "forward")
        self.assertEqual([tree.span.name for tree in trees], ["request", "peer"])
        self.assertEqual(len(list(draw_trees(trees))), 4)

    @settings(max_examples=80)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5)), max_size=8))
    def test_any_parents(self, pairs: list[tuple[int, int]]) -> None:
        """Guards against endless drawing or repeated spans when damaged lines form cycles."""
        spans = [span("s", str(own), str(parent), float(own)) for own, parent in pairs]
        lines = list(draw_trees(span_trees(spans)))
        self.assertLessEqual(len(lines), len({each.span_id for each in spans}))

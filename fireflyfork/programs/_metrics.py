"""Counters and latency histograms, exported in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

METRICS_TEXT = (b"content-type", b"text/plain; version=0.0.4")
"""Header of an answer in this format."""

Labels = tuple[tuple[str, str], ...]
Gauge = Callable[[], float]
CountersByLabel = Callable[[], Mapping[str, float]]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counters: Counter[tuple[str, Labels]] = Counter()
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._sums: Counter[tuple[str, Labels]] = Counter()
        self._gauges: dict[str, Gauge] = {}
        self._external_counters: dict[str, tuple[str, CountersByLabel]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counters[name, _labels(labels)] += amount

    def total(self, name: str) -> int:
        """Return the sum of a counter over all its labels."""
        return sum(number for (key, _), number in self._counters.items() if key == name)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        key = (name, _labels(labels))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
        microseconds = max(_LOWEST_MICROSECONDS, int(seconds * 1e6))
        histogram.record_value(min(microseconds, _HIGHEST_MICROSECONDS))
        self._sums[key] += microseconds

    def gauge(self, name: str, value: Gauge) -> None:
        """Register a gauge whose value is returned by ``value`` on export."""
        self._gauges[name] = value

    def counters(self, name: str, label: str, values: CountersByLabel) -> None:
        """Register counters that are kept outside of this class.

        ``values`` returns their totals by the value of ``label``.
        """
        self._external_counters[name] = (label, values)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "\n".join((*self._counter_lines(), *self._gauge_lines(), *self._summary_lines(), ""))

    def _counter_lines(self) -> Iterator[str]:
        for name in sorted({name for name, _ in self._counters}):
            yield f"# TYPE {name} counter"
            rows = sorted((labels, n) for (key, labels), n in self._counters.items() if key == name)
            yield from (f"{name}{_text(labels)} {number}" for labels, number in rows)
        for name, (label, values) in sorted(self._external_counters.items()):
            yield f"# TYPE {name} counter"
            for value, number in sorted(values().items()):
                yield f"{name}{_text(((label, value),))} {number:.15g}"

    def _gauge_lines(self) -> Iterator[str]:
        for name, value in sorted(self._gauges.items()):
            yield f"# TYPE {name} gauge"
            yield f"{name} {value():g}"

    def _summary_lines(self) -> Iterator[str]:
        for name in sorted({name for name, _ in self._histograms}):
            yield f"# TYPE {name} summary"
            for (key, labels), histogram in sorted(self._histograms.items(), key=lambda i: i[0]):
                if key == name:
                    yield from self._summary(name, labels, histogram)

    def _summary(self, name: str, labels: Labels, histogram: HdrHistogram) -> Iterator[str]:
        for quantile in _QUANTILES:
            seconds = histogram.get_value_at_percentile(quantile * 100) / 1e6
            yield f"{name}{_text((*labels, ('quantile', str(quantile))))} {seconds:g}"
        yield f"{name}_sum{_text(labels)} {self._sums[name, labels] / 1e6:g}"
        yield f"{name}_count{_text(labels)} {histogram.get_total_count()}"


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _text(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escaped(value)}"' for name, value in labels) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")

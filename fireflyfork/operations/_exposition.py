"""Parser for the Prometheus text format in which entries expose their metrics."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

_SAMPLE = re.compile(r"([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})?\s+(\S+)")
_LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"')
_ESCAPED = re.compile(r"\\(.)")


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric for one set of labels."""

    name: str
    labels: dict[str, str]
    value: float


def read_samples(text: str) -> Iterator[Sample]:
    """Yield the samples of a metrics page; comments and malformed lines are skipped."""
    for line in text.splitlines():
        match = _SAMPLE.fullmatch(line.strip())
        if match is None or line.startswith("#"):
            continue
        labels = {name: _unescaped(value) for name, value in _LABEL.findall(match[2] or "")}
        try:
            yield Sample(match[1], labels, float(match[3]))
        except ValueError:
            continue


def _unescaped(value: str) -> str:
    return _ESCAPED.sub(lambda match: "\n" if match[1] == "n" else match[1], value)

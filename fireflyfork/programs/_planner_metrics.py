"""Renders the metrics of a planner's partitions in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from ._batch_messages import PartitionMetrics, PlannerMetrics

_LABEL = "partition"


def prometheus_text(metrics: PlannerMetrics) -> str:
    """Return one gauge for each metric, with a sample for each partition."""
    return "".join(f"{line}\n" for line in _lines(metrics))


def _lines(metrics: PlannerMetrics) -> Iterator[str]:
    for metric in fields(PartitionMetrics):
        if metric.name == _LABEL:
            continue
        name = f"fireflyfork_partition_{metric.name}"
        yield f"# TYPE {name} gauge"
        for partition in metrics.partitions:
            value = int(getattr(partition, metric.name))
            yield f'{name}{{{_LABEL}="{partition.partition}"}} {value}'

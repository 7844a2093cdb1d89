"""What jobs need to know of their queue, which may be removed before they end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from ..._decoding import Count, Integer

MAX_STRETCH_FACTOR = 1e6
"""Keeps objectives finite, which are logged as integers."""


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What the configuration says about the advisor's answers, in seconds."""

    decision_seconds: float = 0.0
    """The time that an answer takes, besides that for each executor."""
    executor_seconds: float = 0.0
    """The additional time for each executor that is asked about."""
    valid_seconds: float = 0.0
    """How long a ticket is valid."""


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """The terms of a queue in one version of the configuration.

    They are stored with each job, so they are encoded without the names of the fields.
    """

    version: Count
    """The version of the configuration. Of two terms of a queue, the later ones apply."""
    priority: Integer
    """Priority; 0 is the highest and may preempt the others."""
    attempts: Annotated[int, msgspec.Meta(ge=1)]
    """Number of failed attempts of a task after which its job fails."""
    stretch_factor: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_STRETCH_FACTOR)]
    """The latency objective allows this many times the job's longest chain of work."""
    target_latency_ms: Count
    """Time that the latency objective allows in addition, in milliseconds."""
    advice: AdviceTerms | None = None
    """Used if an advisor decides which executors may run a step; None if it doesn't."""

    def agrees_with(self, other: QueueTerms | None) -> bool:
        """Whether other terms say the same, whichever versions they are from."""
        return other is not None and msgspec.structs.replace(other, version=self.version) == self


def latest(first: QueueTerms | None, second: QueueTerms | None) -> QueueTerms | None:
    """Return the later terms of a queue, the second ones if both are of the same version."""
    if first is None or second is None:
        return second if first is None else first
    return second if second.version >= first.version else first

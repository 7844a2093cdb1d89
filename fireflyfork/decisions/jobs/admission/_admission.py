"""Decides which jobs are refused because they can't be of use behind the accepted work."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from .._queues import QueueConfiguration
from .._runs import LATE_FACTOR, allowed_ms
from .._specs import JobSpec
from ._figures import WorkFigures, is_measured, size_of, work_of
from ._outages import MIN_RETRY_SECONDS
from ._refused_jobs import RefusedJob, RefusedJobs

CLEARED_MS = 500
"""Time within which waiting work has to be done for jobs to be let in regardless: executors may then
be free before newer figures arrive."""
MIN_RATE_SHARE = 0.05
"""Smallest share of the rate that late jobs are expected to get. Waves of arrivals end."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a job is let in, and what the decision is based on."""

    admitted: bool
    wait_ms: float = 0.0
    """Expected time until the job would end."""
    left_ms: float = 0.0
    """Time from now until the job's end is of no use any more."""
    retry_seconds: int = 0
    """Value of Retry-After for a refused job."""


ADMITTED = AdmissionDecision(True)


class Admission:
    """Decides for one service on one instance.

    A refusal is recorded by ``record_refusal`` only once it is sent, because the job may turn out to
    have been accepted by another instance.
    """

    def __init__(self, margin: float, max_age_ms: float) -> None:
        """Set the ``margin`` and the age from which figures are too old to refuse a job.

        A job counts as late if it would exceed its objective by this share of it.
        """
        self._margin = margin
        self._max_age_ms = max_age_ms
        self._refused = RefusedJobs()
        self._admitted: list[tuple[int, int, float]] = []
        """Priority, size and work of the jobs let in since the figures were computed."""
        self._version = (0, 0)

    def decide(
        self,
        spec: JobSpec,
        queue: QueueConfiguration,
        figures: WorkFigures | None,
        age_ms: float,
        now_ms: int,
    ) -> AdmissionDecision:
        """Decide about a job that arrives; ``age_ms`` is the age of the figures."""
        if figures is None or age_ms > self._max_age_ms or not _is_telling(figures):
            self._admitted.clear()
            return ADMITTED
        self._start_version(figures)
        if not is_measured(spec) or figures.has_room(spec):
            return ADMITTED
        if figures.waiting_work <= figures.rate * (CLEARED_MS + age_ms):
            return ADMITTED
        return self._compare(spec, queue, figures, age_ms, now_ms)

    def admit(self, spec: JobSpec, queue: QueueConfiguration) -> JobSpec:
        """Count a job that is let in, until the owner's figures contain it.

        Returns the job to store, which was accepted when it arrived for the first time. It would
        otherwise be placed before jobs that can still be in time for their callers.
        """
        first_ms = self._refused.first_arrival_ms(spec.job, spec.accepted_ms)
        self._refused.forget(spec.job)
        if is_measured(spec):
            work = work_of(spec)
            self._admitted.append((queue.priority, size_of(work), work))
        return spec if first_ms == spec.accepted_ms else replace(spec, accepted_ms=first_ms)

    def record_refusal(
        self, spec: JobSpec, queue: QueueConfiguration, decision: AdmissionDecision, now_ms: int
    ) -> None:
        """Remember a job whose refusal is about to be sent."""
        work = work_of(spec)
        refused = RefusedJob(
            self._refused.first_arrival_ms(spec.job, spec.accepted_ms),
            queue.priority,
            size_of(work),
            work,
            now_ms + decision.retry_seconds * 1000,
            now_ms + decision.left_ms - spec.chain_ms(),
        )
        self._refused.record(spec.job, refused, now_ms)

    def _start_version(self, figures: WorkFigures) -> None:
        if figures.version != self._version:
            self._version = figures.version
            self._admitted.clear()

    def _compare(
        self,
        spec: JobSpec,
        queue: QueueConfiguration,
        figures: WorkFigures,
        age_ms: float,
        now_ms: int,
    ) -> AdmissionDecision:
        work, priority = work_of(spec), queue.priority
        size = size_of(work)
        first_ms = self._refused.first_arrival_ms(spec.job, spec.accepted_ms)
        returning = self._refused.work_before(spec.job, first_ms, priority, size, now_ms)
        known, estimated = (figures.work_before(priority, size, age) for age in (0.0, age_ms))
        before = returning + max(known + self._admitted_before(priority, size), estimated)
        rate = figures.rate
        own_ms = max(spec.chain_ms(), work / rate)
        # A step that is wider than the fleet runs in several turns, which its objective allows for.
        objective = max(
            allowed_ms(spec, queue), queue.stretch_factor * own_ms + queue.target_latency_ms
        )
        late_ms = first_ms + objective * (1 + self._margin)
        # What was done since the figures were computed doesn't wait any more.
        before = max(0.0, before - rate * age_ms)
        wait_ms = before / rate + own_ms
        if now_ms + wait_ms > late_ms:
            # A late job is placed behind all that arrive after it and can still be in time.
            arriving = figures.arriving_before(priority, size)
            wait_ms = before / max(rate - arriving, rate * MIN_RATE_SHARE) + own_ms
        left_ms = first_ms + LATE_FACTOR * objective - now_ms
        if wait_ms <= left_ms:
            return AdmissionDecision(True, wait_ms, left_ms)
        seconds = math.ceil(min(wait_ms - left_ms, left_ms - own_ms) / 1000)
        return AdmissionDecision(False, wait_ms, left_ms, max(MIN_RETRY_SECONDS, seconds))

    def _admitted_before(self, priority: int, size: int) -> float:
        return sum(
            work
            for other_priority, other_size, work in self._admitted
            if (other_priority, other_size) <= (priority, size)
        )


def _is_telling(figures: WorkFigures) -> bool:
    """Whether tasks wait for room and executors are known that can do their work."""
    return figures.is_pressed and figures.rate > 0

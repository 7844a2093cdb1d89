"""Submits callers' jobs, unless they can't be of use or the store doesn't answer."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from ..._errors import (
    OverloadedError,
    RequestError,
    StoreRefusedError,
    StoreUnavailableError,
)
from ..._ids import JobId, ServiceName
from ..._verdict import Verdict
from ...adapters import CoordinationStore
from ...decisions.jobs import AdmissionSettings, JobSpec, QueueConfiguration, allowed_ms
from ...decisions.jobs.admission import Admission, OutageHistory
from .._clocks import Clock
from .._metrics import Metrics
from .._scheduling_keys import job_key
from ._figures_reader import FiguresReader

OBSERVE_SECONDS = 0.25
"""Interval at which outages of the store are observed: a quarter of the unit of Retry-After."""
MAX_UNCERTAIN_JOBS = 2_000
"""Maximum number of remembered jobs that may be stored, about 100 bytes each."""

Submit = Callable[[JobSpec], Awaitable[None]]


class SubmissionGate:
    """Stands before the submission of jobs on one instance."""

    def __init__(
        self,
        settings: AdmissionSettings,
        submit: Submit,
        store: CoordinationStore,
        clock: Clock,
        metrics: Metrics,
        others_reach_store: Callable[[], bool],
    ) -> None:
        """Set up; ``submit`` stores a job, see ``JobRequests.submit``. ``run`` has to be started.

        ``others_reach_store`` returns whether this instance hears from others that reach the store;
        it may still return True for two seconds after the store went away.
        """
        self._others_reach_store = others_reach_store
        self._settings = settings
        self._submit = submit
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._figures = FiguresReader(store, clock)
        self._outages = OutageHistory()
        self._admissions: dict[ServiceName, Admission] = {}
        self._uncertain: dict[JobId, None] = {}
        """Jobs whose write got no answer here, in the order in which that happened."""
        metrics.gauge("fireflyfork_work_ahead_seconds", self._figures.work_ahead_seconds)
        metrics.gauge("fireflyfork_store_outage_seconds", lambda: self._outages.length(clock.now()))

    async def run(self) -> None:
        """Read figures and observe outages until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._settings.enabled:
                nursery.start_soon(self._figures.run)
            while True:
                self._observe_store()
                await trio.sleep(OBSERVE_SECONDS)

    async def submit(
        self, spec: JobSpec, queue: QueueConfiguration, timeout_seconds: float = math.inf
    ) -> None:
        """Store a job. Raises RequestError if it is refused, and StoreError as ``submit`` does.

        ``timeout_seconds`` is how long the caller goes on trying.
        A job whose write got no answer here is never said to be refused: it may be stored.
        """
        try:
            if self._settings.enabled and self._store.is_responsive:
                spec = await self._admit(spec, queue)
            await self._store_job(spec)
        except StoreRefusedError as error:
            if spec.job in self._uncertain:
                raise StoreUnavailableError("an earlier attempt may have been stored") from error
            retry_after = self._retry_seconds(spec, queue, timeout_seconds)
            raise RequestError(503, str(error), Verdict.NOT_RUN, retry_after) from error

    async def _store_job(self, spec: JobSpec) -> None:
        try:
            await self._submit(spec)
        except StoreRefusedError:
            raise
        except StoreUnavailableError:
            self._remember_uncertain(spec.job)
            raise
        self._uncertain.pop(spec.job, None)

    async def _admit(self, spec: JobSpec, queue: QueueConfiguration) -> JobSpec:
        """Return the job to store.

        Raises OverloadedError if the job can't be of use and the store doesn't hold it.
        """
        admission = self._admission(queue.service)
        figures, age_ms = self._figures.latest(queue.service)
        now_ms = self._clock.unix_ms()
        decision = admission.decide(spec, queue, figures, age_ms, now_ms)
        if decision.admitted or spec.job in self._uncertain:
            return admission.admit(spec, queue)
        if await self._store.read(job_key(spec.job)) is not None:
            # Another instance has accepted it, and submitting it again changes nothing.
            return spec
        admission.record_refusal(spec, queue, decision, now_ms)
        self._metrics.count("fireflyfork_jobs_not_admitted_total", queue=str(queue.name))
        logger.info(
            "job not admitted",
            job=spec.job,
            queue=queue.name,
            wait_ms=int(decision.wait_ms),
            left_ms=int(decision.left_ms),
            figures_age_ms=int(age_ms),
            retry_after=decision.retry_seconds,
        )
        reason = "the job would end too late behind the accepted ones"
        raise OverloadedError(429, reason, Verdict.NOT_RUN, decision.retry_seconds)

    def _admission(self, service: ServiceName) -> Admission:
        admission = self._admissions.get(service)
        if admission is None:
            max_age_ms = self._settings.max_figures_age_seconds * 1000
            admission = self._admissions[service] = Admission(self._settings.margin, max_age_ms)
        return admission

    def _retry_seconds(
        self, spec: JobSpec, queue: QueueConfiguration, timeout_seconds: float
    ) -> int | None:
        if not self._settings.retry_after_outages:
            return None
        now = self._observe_store()
        allowed = allowed_ms(spec, queue) / 1000
        seconds = self._outages.retry_seconds(spec.job, allowed, now, timeout_seconds)
        self._metrics.observe("fireflyfork_outage_retry_after_seconds", seconds)
        return seconds

    def _observe_store(self) -> float:
        """Record whether the store is away, and return the time."""
        now = self._clock.now()
        self._outages.observe(self._store.is_responsive, self._others_reach_store(), now)
        return now

    def _remember_uncertain(self, job: JobId) -> None:
        self._uncertain.pop(job, None)
        while len(self._uncertain) >= MAX_UNCERTAIN_JOBS:
            del self._uncertain[next(iter(self._uncertain))]
        self._uncertain[job] = None


def create_gate(
    settings: AdmissionSettings,
    submit: Submit,
    store: CoordinationStore,
    clock: Clock,
    metrics: Metrics,
    others_reach_store: Callable[[], bool],
) -> SubmissionGate | None:
    """Return a gate, or None if the settings enable nothing of it."""
    if not (settings.enabled or settings.retry_after_outages):
        return None
    return SubmissionGate(settings, submit, store, clock, metrics, others_reach_store)

"""Jobs whose queue was removed from the configuration, through changes of owner."""

import unittest
from dataclasses import replace

from .. import AdviceTerms, CallOutcome, EndReason, JobState, QueueConfiguration, decode_stored_job
from .. import encode_job as encode
from .builders_histories import ServiceUnderTest
from .builders_jobs import job, queue

NAME = job().job
FAR = 8
"""More attempts than any queue of these tests allows."""


def _fail(service: ServiceUnderTest, times: int) -> None:
    """Let the job's only task fail ``times`` times, as far as it is started."""
    for _ in range(times):
        service.tick(9.0)
        service.store()
        service.place()
        for run in tuple(service.starts):
            service.answer_start(run, CallOutcome.ACCEPTED)
        for name, simulated in service.executors.items():
            for key in sorted(simulated.running):
                simulated.end(key, EndReason.FAILED)
            service.poll(name)


def _state(service: ServiceUnderTest) -> JobState | None:
    known = service.scheduler.jobs.get(NAME)
    return known.state if known is not None else None


def _failures(service: ServiceUnderTest) -> int:
    """Return how often the job's task is started before the job is failed."""
    for failures in range(1, FAR):
        _fail(service, 1)
        if _state(service) is not JobState.RUNNING:
            return failures
    return FAR


class RemovedQueueTest(unittest.TestCase):
    """A job goes on by the last known terms of its queue, whoever is the owner."""

    def _service(self, **terms: object) -> ServiceUnderTest:
        service = ServiceUnderTest()
        service.configure([queue(**terms)])
        service.submit(job())
        service.store()
        return service

    def _queue(self, service: ServiceUnderTest) -> QueueConfiguration:
        known = service.scheduler.jobs.get(NAME)
        assert known is not None
        return known.queue

    def test_a_successor_knows_how_often_a_task_may_fail(self) -> None:
        """Guards against a job that is failed too early, or started too often, by the next owner."""
        for attempts in (1, 2, 5):
            for stays_away in (True, False):
                with self.subTest(attempts=attempts, stays_away=stays_away):
                    service = self._service(attempts=attempts)
                    service.configure([])
                    service.change_owner()
                    if not stays_away:
                        service.configure([queue(attempts=attempts)])
                    self.assertEqual(_failures(service), attempts)

    def test_a_successor_knows_the_priority_the_objective_and_the_advisor(self) -> None:
        """Guards against urgent jobs that go last, and against starts without their tickets."""
        advice = AdviceTerms(0.03, 0.005, 10.0)
        for terms in (
            {"priority": 0, "stretch_factor": 1.5, "target_latency_ms": 500},
            {"priority": 2, "needs_tickets": True, "advice": advice},
        ):
            with self.subTest(terms):
                service = self._service(**terms)
                before = self._queue(service)
                service.configure([])
                service.change_owner()
                self.assertEqual(self._queue(service).terms, before.terms)

    def test_terms_that_changed_after_the_acceptance_apply(self) -> None:
        """Guards against a successor that goes back to the terms of a job's acceptance."""
        for changes in ((5,), (5, 2), (2, 5, 4), (5, 3)):
            with self.subTest(changes=changes):
                service = self._service(attempts=3)
                for attempts in changes:
                    service.configure([queue(attempts=attempts)])
                    service.store()
                service.configure([])
                service.change_owner()
                service.store()
                service.change_owner()
                self.assertEqual(_failures(service), changes[-1])

    def test_terms_of_a_later_job_apply_to_the_earlier_ones(self) -> None:
        """Guards against jobs of one queue that go by different terms."""
        service = self._service(attempts=2)
        before = service.queues
        service.configure([queue(attempts=4)])
        after = service.queues
        service.configure([])
        service.change_owner()
        service.submit_under(job("b" * 16), after)
        service.submit_under(job("c" * 16), before)
        kept = {each.queue.attempts for each in service.scheduler.jobs.live_jobs()}
        self.assertEqual(kept, {4})

    def test_a_job_is_accepted_elsewhere_after_its_queue_was_removed_here(self) -> None:
        """Guards against a job whose entry has the version before the one that the owner has."""
        service = ServiceUnderTest()
        service.configure([queue(attempts=5)])
        service.configure([])
        service.submit_under(job(), service.queues_before)
        self.assertEqual(_failures(service), 5)

    def test_an_owner_that_ends_before_its_first_write_loses_no_terms(self) -> None:
        """Guards against terms that only the owner knows at the time when it is killed."""
        service = ServiceUnderTest()
        service.configure([queue(attempts=5)])
        service.submit(job())
        service.configure([])
        service.change_owner()
        self.assertEqual(_failures(service), 5)

    def test_a_failed_write_of_the_terms_is_repeated(self) -> None:
        """Guards against terms that are taken for stored though the write has failed."""
        service = self._service(attempts=3)
        service.configure([queue(attempts=5)])
        self.assertTrue(service.scheduler.jobs.stored_terms.changed)
        self.assertIsNotNone(service.scheduler.take_changed_terms())
        service.scheduler.terms_not_stored()
        service.store()
        service.configure([])
        service.change_owner()
        self.assertEqual(_failures(service), 5)

    def test_terms_without_jobs_are_forgotten(self) -> None:
        """Guards against a list that grows with each queue that was ever removed."""
        service = self._service(attempts=3)
        service.configure([queue(attempts=5)])
        service.store()
        service.scheduler.cancel(NAME, service.now, service.now_ms)
        service.store()
        service.tick(0.1)
        service.configure([])
        self.assertEqual(service.scheduler.take_changed_terms(), {})


class EarlierBuildTest(unittest.TestCase):
    """Jobs that an earlier build has accepted, which stores no terms with them."""

    def test_their_terms_are_stored_while_the_queue_is_configured(self) -> None:
        """Guards against jobs that go by default terms after an upgrade."""
        service = ServiceUnderTest()
        service.configure([queue(attempts=5)])
        without = replace(job(), queue_terms=None)
        service.jobs[NAME] = without
        service.stored_jobs[NAME] = encode(without)
        service.change_owner()
        service.store()
        service.configure([])
        service.change_owner()
        self.assertEqual(_failures(service), 5)

    def test_a_job_without_any_terms_goes_on(self) -> None:
        """Guards against a job that is never started since nothing is known of its queue."""
        service = ServiceUnderTest()
        service.configure([])
        service.stored_jobs[NAME] = encode(job())
        service.change_owner()
        self.assertLess(_failures(service), FAR)

    def test_stored_jobs_keep_their_form(self) -> None:
        """Guards against a field of a stored job that an earlier build can't read past."""
        spec = replace(job(), queue_terms=queue().terms)
        self.assertEqual(decode_stored_job(encode(spec)), spec)

"""Jobs that follow their queue to another service before they have begun."""

import unittest
from dataclasses import replace

from ...._ids import ConfigurationVersion, JobId, QueueName, ServiceName
from .. import CallOutcome, EndReason, JobSpec, JobState, QueueTable, queue_table
from .builders_jobs import SERVICE, START_MS, OwnerUnderTest, job, queue, row, step

ANNEX = ServiceName("annex")
NAME = JobId("a" * 16)
QUEUES = frozenset({QueueName("q")})


def _queues(version: int, service: ServiceName) -> QueueTable:
    number = ConfigurationVersion(version)
    moved = queue(service=service, version=number)
    return queue_table(number, (moved,), frozenset({SERVICE, ANNEX}))


def _spec(version: int, **changes: object) -> JobSpec:
    (accepted_under,) = _queues(version, SERVICE).queues
    return job(NAME, step(), queue_terms=accepted_under.terms, **changes)


class DeparturesTest(unittest.TestCase):
    """An owner whose queue has moved in version 2."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0")
        self.scheduler = self.owner.scheduler
        self.scheduler.configure(_queues(1, SERVICE))
        self.scheduler.accept(_spec(1), START_MS)

    def _move(self) -> None:
        self.scheduler.configure(_queues(2, ANNEX))

    def _departing(self) -> list[JobSpec]:
        return self.scheduler.take_departing(QUEUES, 7)

    def _depart(self) -> JobSpec:
        (spec,) = self._departing()
        self.scheduler.depart(NAME, self.owner.now + 2.0, self.owner.now)
        return spec

    def test_a_waiting_job_takes_the_service_and_the_terms_of_its_queue(self) -> None:
        """Guards against a job that its new owner doesn't recognize, or sends back."""
        self._move()
        self.assertEqual(self.scheduler.rerouted_queues(), {QueueName("q"): ANNEX})
        (spec,) = self._departing()
        assert spec.queue_terms is not None
        self.assertEqual((spec.service, spec.queue_terms.version), (ANNEX, 2))

    def test_a_job_under_way_starts_nowhere(self) -> None:
        """Guards against a task that both owners start."""
        self._move()
        self._departing()
        self.assertEqual(self.owner.send(), [])
        self.owner.tick(5.0)
        self.assertEqual(self.owner.send(), [])

    def test_what_is_under_way_stays_the_same_in_later_versions(self) -> None:
        """Guards against a second transaction that says something else than a late first one."""
        self._move()
        first = self._departing()
        self.scheduler.configure(_queues(3, SERVICE))
        self.assertEqual(self._departing(), first)
        self.scheduler.configure(queue_table(ConfigurationVersion(4), (), frozenset({SERVICE})))
        self.assertEqual(self.scheduler.take_departing((), 7), first)

    def test_a_job_that_stays_starts_here(self) -> None:
        """Guards against a job that no owner starts."""
        self._move()
        self._departing()
        self.scheduler.stay(NAME, self.owner.now, START_MS)
        self.assertEqual(self._departing(), [])
        self.assertEqual(len(self.owner.send()), 1)

    def test_a_cancellation_waits_until_it_is_known_who_owns_the_job(self) -> None:
        """Guards against a stored cancellation in place of the progress of the new owner."""
        self._move()
        self._departing()
        self.scheduler.cancel(NAME, self.owner.now, START_MS)
        self.assertEqual(len(self.scheduler.jobs.changes), 0)
        self.scheduler.stay(NAME, self.owner.now, START_MS)
        known = self.scheduler.jobs.get(NAME)
        assert known is not None
        self.assertIs(known.state, JobState.CANCELLED)
        self.assertEqual(self.owner.send(), [])

    def test_a_listing_from_before_the_departure_is_ignored(self) -> None:
        """Guards against a job that is accepted again from a listing that took long."""
        self._move()
        self._depart()
        self.scheduler.accept(_spec(1), START_MS)
        self.assertEqual(self.owner.send(), [])

    def test_a_job_that_comes_back_is_accepted(self) -> None:
        """Guards against a queue that moves to and fro."""
        self._move()
        spec = self._depart()
        (back,) = _queues(3, SERVICE).queues
        self.scheduler.accept(replace(spec, service=SERVICE, queue_terms=back.terms), START_MS)
        self.assertEqual(len(self.owner.send()), 1)

    def test_an_older_configuration_moves_no_job(self) -> None:
        """Guards against two owners that send a job to each other."""
        newer = _spec(3)
        self.scheduler.accept(replace(newer, job=JobId("b" * 16)), START_MS)
        self._move()
        self.assertEqual([spec.job for spec in self._departing()], [NAME])

    def test_a_job_that_may_have_begun_stays(self) -> None:
        """Guards against a second run of a task by another owner's order."""
        for outcome in (CallOutcome.ACCEPTED, CallOutcome.UNKNOWN, CallOutcome.NO_ROOM):
            with self.subTest(outcome):
                self.setUp()
                (run,) = self.owner.send()
                self.owner.answer_start(run, outcome)
                self._move()
                self.assertEqual(self._departing(), [])

    def test_no_job_departs_before_all_executors_have_answered(self) -> None:
        """Guards against jobs that an earlier owner has started without storing that."""
        successor = OwnerUnderTest()
        self.scheduler = successor.scheduler
        known = self.owner.executor().registration
        self.scheduler.configure(_queues(2, ANNEX))
        self.scheduler.recover([(_spec(1), None)], [known], [known], successor.now, START_MS)
        self.assertEqual(self._departing(), [])
        successor.poll("i-0")
        self.assertEqual(len(self._departing()), 1)

    def test_a_departed_job_is_counted_for_a_while(self) -> None:
        """Guards against a moment in which neither owner counts a job."""
        self._move()
        self._depart()
        now = self.owner.now
        self.assertEqual(self.scheduler.jobs.pending(now + 1.9), {QueueName("q"): 1})
        self.assertEqual(self.scheduler.jobs.pending(now + 2.1), {})


class BeginningsTest(unittest.TestCase):
    """A job has begun once an executor has begun one of its tasks."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0")
        self.owner.scheduler.accept(job(NAME), START_MS)
        (self.run_,) = self.owner.send()

    def _pending(self) -> int:
        counts = self.owner.scheduler.jobs.pending(self.owner.now)
        return counts.get(QueueName("q"), 0)

    def test_an_ordered_start_is_no_beginning(self) -> None:
        """Guards against a job that is counted as begun though its start is refused."""
        self.assertEqual(self._pending(), 1)
        self.owner.answer_start(self.run_, CallOutcome.NO_ROOM)
        self.assertEqual(self._pending(), 1)

    def test_each_evidence_of_a_run_is_a_beginning(self) -> None:
        """Guards against a job that has begun and is counted as pending."""

        def accept() -> None:
            self.owner.answer_start(self.run_)

        def list_run() -> None:
            self.owner.poll("i-0", row(self.run_))

        def list_end() -> None:
            self.owner.end("i-0", self.run_.task.name, 1, EndReason.FAILED)
            self.owner.poll("i-0")

        for evidence in (accept, list_run, list_end):
            with self.subTest(evidence.__name__):
                self.setUp()
                evidence()
                self.assertEqual(self._pending(), 0)

"""When a job has begun."""

import unittest

from ...._ids import JobId, QueueName, ServiceName
from .. import CallOutcome, EndReason
from .builders_jobs import START_MS, OwnerUnderTest, job, row

ANNEX = ServiceName("annex")
NAME = JobId("a" * 16)
QUEUES = frozenset({QueueName("q")})


class BeginningsTest(unittest.TestCase):
    """A job has begun once an executor has begun one of its tasks."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0")
        self.owner.scheduler.accept(job(NAME), START_MS)
        (self.run_,) = self.owner.send()

    def _pending(self) -> int:
        counts = self.owner.scheduler.jobs.pending()
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

"""A state that an error has left half changed."""

import unittest
from unittest.mock import patch

from ...._errors import DecisionError
from .._report_handling import ReportHandler
from .builders_jobs import OwnerUnderTest, job


class HalfChangedStateTest(unittest.TestCase):
    """Nothing is decided by a state that may be half changed."""

    def test_no_decision_follows_an_error(self) -> None:
        """Guards against an owner that goes on with a wrong sum and starts more than there is room for."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        with (
            patch.object(ReportHandler, "poll_answered", side_effect=KeyError("")),
            self.assertRaises(DecisionError) as raised,
        ):
            owner.poll()
        self.assertIsInstance(raised.exception.__cause__, KeyError)
        self.assertTrue(owner.scheduler.has_failed)
        for decide in (owner.poll, owner.send, lambda: owner.tick(1.0), owner.store):
            with self.subTest(decide), self.assertRaises(DecisionError):
                decide()

    def test_an_error_of_one_service_is_none_of_another(self) -> None:
        """Guards against a mark that all services share."""
        owner, other = OwnerUnderTest("i-0"), OwnerUnderTest("i-0")
        with (
            patch.object(ReportHandler, "poll_failed", side_effect=KeyError("")),
            self.assertRaises(DecisionError),
        ):
            owner.scheduler.poll_failed(owner.executor(), owner.now)
        self.assertFalse(other.scheduler.has_failed)

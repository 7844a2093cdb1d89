"""Days on which the owner's decisions raise errors in the middle of a change."""

import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest.mock import patch

from fireflyfork.decisions.jobs._job_table import JobTable
from fireflyfork.decisions.jobs._report_handling import ReportHandler
from fireflyfork.decisions.jobs._service_state import ServiceState
from fireflyfork_standins.scheduling import Profile, Report, run_day
from fireflyfork_standins.scheduling._day import INTERNAL_ERROR

CHANGES: tuple[tuple[type, str], ...] = (
    (ReportHandler, "_handle_end"),
    (ReportHandler, "_adopt_run"),
    (ReportHandler, "start_answered"),
    (ServiceState, "remove_run"),
    (JobTable, "task_done"),
    (JobTable, "accept"),
)
"""Changes that consist of several steps."""
ERROR_SHARE = 0.04
SEED = 31
PROFILE = Profile(troubles=("kill",), trouble_gap_seconds=8.0)


@contextmanager
def _errors_in(owner: type, name: str, random: Random) -> Iterator[None]:
    """Make a method raise an error at times, after it has changed the state."""
    change: Callable[..., Any] = getattr(owner, name)

    def changed(*args: Any, **kwargs: Any) -> Any:
        result = change(*args, **kwargs)
        if random.random() < ERROR_SHARE:
            raise KeyError("raised by the test")
        return result

    with patch.object(owner, name, changed):
        yield


def _play(seed: int, owner: type, name: str) -> Report:
    with _errors_in(owner, name, Random(seed)):
        return run_day(seed, PROFILE)


class InternalErrorDaysTest(unittest.TestCase):
    """Errors of decisions break no promise to callers, and are seen."""

    def test_no_promise_but_that_of_no_error_is_broken(self) -> None:
        """Guards against an owner that acts on a state which an error has left half changed."""
        for owner, name in CHANGES:
            with self.subTest(name):
                report = _play(SEED, owner, name)
                broken = {violation.promise for violation in report.violations}
                self.assertEqual(broken, {INTERNAL_ERROR})
                self.assertGreater(report.starts, 20)

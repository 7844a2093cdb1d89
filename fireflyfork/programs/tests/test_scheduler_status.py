"""What ``fireflyfork-ctl status`` tells of schedulers."""

import unittest

from .._ctl_status import SchedulerReport, scheduler_lines


class SchedulerLinesTest(unittest.TestCase):
    """The lines for operators."""

    def test_executors_without_registration_are_named(self) -> None:
        """Guards against executors that stay idle and nobody is told."""
        sound, short = SchedulerReport("10.0.0.1:1"), SchedulerReport("10.0.0.2:1", {}, 3)
        *table, line = scheduler_lines((sound, short))
        self.assertEqual(len(table), 3)
        self.assertTrue(line.startswith("scheduler 10.0.0.2:1: 3 executors answer but"), line)
        self.assertEqual(len(scheduler_lines((sound,))), 2)

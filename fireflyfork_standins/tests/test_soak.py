"""A short soak of scheduler processes; the long one is started by hand."""

import os
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import trio

from fireflyfork_standins.scheduling.soak import run_soak

FIRST_PORT = 23_000 + 40 * (os.getpid() % 40)
"""Differs between test runs at the same time."""
SECONDS = 10.0
SEEDS = (1, 2)


class SoakTest(unittest.TestCase):
    """Signals, restarts, changes and failures of the platform come in series and overlap."""

    def test_no_promise_is_broken_and_no_process_ends_by_itself(self) -> None:
        """Guards against combinations of failures that no single test has."""
        for seed in SEEDS:
            with self.subTest(seed), TemporaryDirectory() as folder:
                report = trio.run(run_soak, seed, FIRST_PORT, SECONDS, Path(folder))
                self.assertEqual(report.violations, [])
                self.assertTrue(report.troubles)

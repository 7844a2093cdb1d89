"""Tests of signals to a process of the scheduler that is starting."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from fireflyfork_standins.scheduling import WireLayout

FIRST_PORT = 24_900
SIGNAL_AFTER_SECONDS = 0.1
"""The interpreter runs by then, and imports of the program have begun."""
RUNNING_SECONDS = 3.0


class StartTest(unittest.TestCase):
    """A process whose program is not set up yet."""

    def test_a_change_of_the_settings_does_not_end_a_process_that_is_starting(self) -> None:
        """Guards against SIGHUP ending a process before its handler is installed."""
        with TemporaryDirectory() as folder:
            settings = Path(folder) / "node.conf"
            settings.write_text(WireLayout(FIRST_PORT).settings(0), "utf-8")
            process = subprocess.Popen(
                [sys.executable, "-m", "fireflyfork.programs.scheduler"],
                env={**os.environ, "FIREFLYFORK_SETTINGS": str(settings)},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                # A test run under nohup would pass its ignored SIGHUP on.
                preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
            )
            try:
                with self.assertRaises(subprocess.TimeoutExpired):
                    process.wait(SIGNAL_AFTER_SECONDS)
                process.send_signal(signal.SIGHUP)
                with self.assertRaises(subprocess.TimeoutExpired):
                    process.wait(RUNNING_SECONDS)
            finally:
                process.kill()
                process.wait()

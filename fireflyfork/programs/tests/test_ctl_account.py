"""Tests of the command ``account`` on files of log lines."""

import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from ...operations.tests.builders_job_logs import accepted, ended, line, over, sent
from .._ctl_account import account
from .._ctl_output import ExitCode

LATE_JOB = (accepted(0.0), sent(3.0, waited_for="no memory"), ended(4.0), over(4.0, 4.0, 1.0))
LOOPS = tuple(
    line(
        10.0,
        "loop time",
        node=node,
        looked_ms=1000,
        spent_ms={activity: spent},
        store_calls={"watch work": 2},
        store_received={"watch work": 300_000},
        store_sent={"watch work": 1_500},
        relay_received={"savusavu": 20_000},
        relay_sent={"savusavu": 700},
    )
    for node, activity, spent in (("edge-1", "serving", 400), ("edge-2", "placing", 800))
)


class AccountCommandTest(unittest.TestCase):
    """The exit code and the printed tables."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "scheduler.log"

    def _run(self, lines: tuple[str, ...], loops: bool) -> tuple[ExitCode, str]:
        self.file.write_text("\n".join(lines), "utf-8")
        printed = StringIO()
        with redirect_stdout(printed), redirect_stderr(printed):
            code = account(self.file, loops=loops)
        return code, printed.getvalue()

    def test_late_jobs_by_cause(self) -> None:
        code, text = self._run(LATE_JOB, loops=False)
        self.assertIs(code, ExitCode.DONE)
        self.assertRegex(text, r"quotes +no memory +1 +3\.0")
        self.assertRegex(text, r"quotes +largest tenth +1 +0 +1 +0")
        self.assertRegex(text, r"quotes +unknown +1 +0 +1 +0")

    def test_loops_by_activity_and_instance(self) -> None:
        code, text = self._run(LOOPS, loops=True)
        self.assertIs(code, ExitCode.DONE)
        self.assertLess(text.index("edge-2"), text.index("edge-1"))
        self.assertRegex(text, r"placing +0\.80")
        self.assertRegex(text, r"serving +0\.40")
        self.assertRegex(text, r"edge-2 +0\.80 +2 +300\.0 +1\.5 ")
        self.assertRegex(text, r"savusavu +40\.0 +1\.4")
        self.assertRegex(text, r"watch work +4 +600\.0 +3\.0")

    def test_calls_to_the_advisor(self) -> None:
        fields: dict[str, object] = {"service": "desk", "cost_seconds": 0.1, "open_calls": 2}
        lines = (
            line(0.0, "advice call", outcome="answered", seconds=0.1, **fields),
            line(1.0, "advice call", outcome="late", seconds=5.0, backlog_seconds=7.5, **fields),
        )
        self.file.write_text("\n".join(lines), "utf-8")
        printed = StringIO()
        with redirect_stdout(printed):
            code = account(self.file, advice=True)
        self.assertIs(code, ExitCode.DONE)
        self.assertRegex(printed.getvalue(), r"desk +late +1")
        self.assertRegex(printed.getvalue(), r"desk +2\.550 +0\.100 +2 +0 +7\.5")

    def test_logs_without_what_is_asked_for(self) -> None:
        """Logs without the data fail; an empty table would look as if no job was late."""
        for lines, loops in ((LATE_JOB, True), (LOOPS, False)):
            with self.subTest(loops=loops):
                self.assertIs(self._run(lines, loops)[0], ExitCode.NOT_FOUND)

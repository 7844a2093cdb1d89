"""Tests of the nose2 plugin for known failures."""

import os
import re
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from .nose2_known_red import FILE_NAME, read_entries

ROOT = Path(__file__).parents[2]

_CONFIGURATION = """\
[unittest]
start-dir = .
plugins = fireflyfork.tests.nose2_counts
          fireflyfork.tests.nose2_known_red

[counts]
always-on = True

[known-red]
always-on = True
"""

_TESTS = """\
import unittest


class OrdersTest(unittest.TestCase):
    def test_good(self) -> None:
        pass

    def test_wrong(self) -> None:
        self.fail("the order went twice")

    def test_broken(self) -> None:
        raise RuntimeError("no connection")

    def test_parts(self) -> None:
        for part in range(3):
            with self.subTest(part=part):
                self.assertNotEqual(part, 1)

    @unittest.skip("not today")
    def test_left_out(self) -> None:
        pass
"""

_OTHER_TESTS = """\
import unittest


class OtherTest(unittest.TestCase):
    def test_other(self) -> None:
        pass
"""

_WRONG = "test_orders.OrdersTest.test_wrong"
_BROKEN = "test_orders.OrdersTest.test_broken"
_PARTS = "test_orders.OrdersTest.test_parts"
_GOOD = "test_orders.OrdersTest.test_good"
_ALL_RED = (_WRONG, _BROKEN, _PARTS)


def _entry(test: str) -> str:
    return f"{test}\ncommand: bash scripts/test.sh, seed 7\nseen: {test} went wrong. Issue 12.\n"


class KnownRedTest(unittest.TestCase):
    """Runs of nose2 with a few small tests and a list of known failures."""

    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        self._write("unittest.cfg", _CONFIGURATION)
        self._write("test_orders.py", _TESTS)
        self._write("test_other.py", _OTHER_TESTS)

    def test_without_a_list(self) -> None:
        """Guards against hidden failures, and against mentioning a list that doesn't exist."""
        run = self._run()
        self.assertEqual(run.returncode, 1)
        self.assertNotIn("known red", run.stdout + run.stderr)
        self._assert_closing_line(run, "2 passed, 3 failed, 1 skipped")

    def test_listed_failures_are_printed_and_let_the_run_pass(self) -> None:
        """Guards against a run that fails because of listed tests, or hides their entries.

        The listed tests have a failure, an error and a failed subtest.
        """
        self._list(*_ALL_RED)
        run = self._run()
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertIn("known red: 3\n", run.stdout)
        self.assertIn("AssertionError: the order went twice", run.stderr)
        self.assertIn("RuntimeError: no connection", run.stderr)
        for test in _ALL_RED:
            self.assertIn(f"  {test}\n", run.stdout)
            self.assertIn(f"seen: {test} went wrong. Issue 12.", run.stderr)
        self._assert_closing_line(run, "2 passed, 0 failed, 1 skipped")

    def test_another_failure_fails_the_run(self) -> None:
        """Guards against a list that hides failures of other tests."""
        self._list(_WRONG, _PARTS)
        run = self._run()
        self.assertEqual(run.returncode, 1)
        self.assertIn("known red: 2\n", run.stdout)
        self._assert_closing_line(run, "2 passed, 1 failed, 1 skipped")

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        """Guards against outdated entries in full and partial runs.

        A test that passes but stays listed could fail again unnoticed.
        """
        self._list(*_ALL_RED, _GOOD)
        for names in ([], ["test_orders"]):
            with self.subTest(names=names):
                run = self._run(*names)
                self.assertEqual(run.returncode, 1)
                self.assertIn(f"{FILE_NAME}: {_GOOD} passes: take it off the list\n", run.stdout)

    def test_a_listed_test_that_is_skipped_fails_the_run(self) -> None:
        """Guards against a listed test that no longer runs, so its state is unknown."""
        self._list(*_ALL_RED, "test_orders.OrdersTest.test_left_out")
        run = self._run()
        self.assertEqual(run.returncode, 1)
        self.assertIn("test_left_out was skipped: a listed test must run\n", run.stdout)

    def test_an_id_without_a_test_fails_a_whole_run(self) -> None:
        """Guards against an entry that no longer belongs to a test, for example after a rename."""
        self._list(*_ALL_RED, "test_orders.OrdersTest.test_renamed")
        run = self._run()
        self.assertEqual(run.returncode, 1)
        self.assertIn(
            f"{FILE_NAME}: no test that ran has the id test_orders.OrdersTest.test_renamed\n",
            run.stdout,
        )

    def test_a_run_of_a_part_does_not_miss_the_other_tests(self) -> None:
        """Guards against a run of one module or directory that fails for entries outside it."""
        self._list(*_ALL_RED)
        (self.root / "tests").mkdir()
        self._write("tests/__init__.py", "")
        self._write("tests/test_deep.py", _OTHER_TESTS)
        for part in (["test_other"], ["-s", "tests"]):
            with self.subTest(part=part):
                run = self._run(*part)
                self.assertEqual(run.returncode, 0, run.stdout + run.stderr)
                self._assert_closing_line(run, "1 passed, 0 failed, 0 skipped")

    def test_failed_modules_and_classes_cannot_be_listed(self) -> None:
        """Guards against one entry that hides the failures of all tests of a module or class."""
        self._write("test_typo.py", "import no_such_module\n")
        self._write(
            "test_set_up.py",
            "import unittest\n\n\nclass SetUpTest(unittest.TestCase):\n"
            "    @classmethod\n    def setUpClass(cls) -> None:\n        raise OSError\n\n"
            "    def test_any(self) -> None:\n        pass\n",
        )
        for module, identity in (
            ("test_typo", "nose2.loader.ModuleImportFailure.test_typo"),
            ("test_set_up", "setUpClass (test_set_up.SetUpTest)"),
        ):
            with self.subTest(module=module):
                self._list(*_ALL_RED, identity)
                run = self._run()
                self.assertEqual(run.returncode, 1)
                self.assertIn("known red: 3\n", run.stdout)
                self.assertIn(f"no test that ran has the id {identity}\n", run.stdout)
                self._assert_closing_line(run, "2 passed, 2 failed, 1 skipped")

    def test_fail_fast_continues_after_known_failures(self) -> None:
        """Guards against ``--fail-fast`` stopping at a known failure before a new one."""
        self._list(*_ALL_RED)
        run = self._run("--fail-fast")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)
        self._assert_closing_line(run, "2 passed, 0 failed, 1 skipped")

    def test_entries(self) -> None:
        """Guards against entries that are lost or merged.

        Blank lines may contain spaces, and a test may have two entries.
        """
        entries = read_entries("\n\n m.C.test_a \nseen once\n  \n\nm.C.test_b\n\nm.C.test_a\ntwice")
        self.assertEqual(list(entries), ["m.C.test_a", "m.C.test_b"])
        self.assertIn("seen once", entries[next(iter(entries))])
        self.assertIn("twice", entries[next(iter(entries))])

    def _write(self, name: str, text: str) -> None:
        (self.root / name).write_text(text, "utf-8")

    def _list(self, *tests: str) -> None:
        self._write(FILE_NAME, "\n".join(_entry(test) for test in tests))

    def _run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "nose2", "--config", "unittest.cfg", *arguments]
        return subprocess.run(
            command,
            cwd=self.root,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
        )

    def _assert_closing_line(self, run: subprocess.CompletedProcess[str], line: str) -> None:
        self.assertEqual(run.stdout.splitlines()[-1], line, run.stdout + run.stderr)
        self.assertEqual(len(re.findall(r"\d+ passed", run.stdout)), 1)

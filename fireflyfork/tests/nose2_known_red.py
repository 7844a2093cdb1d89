"""A nose2 plugin that prints known failures, listed in ``KNOWN-RED.txt``, without failing the run.

The file is in the directory in which nose2 is started, the root of the repository. Its entries are
paragraphs separated by blank lines. The first line of each is the id of a test,
``module.Class.test_name``; the other lines describe the failure.

The list must contain only failing tests. Therefore a listed test that passes or is skipped fails
the run. So does an id that doesn't belong to any test, but only in a full run, which is started
without names of tests and from the directory of the file. A partial run doesn't load all tests.
"""

import re
from pathlib import Path
from typing import Any, NewType

from nose2.events import Plugin

TestId = NewType("TestId", str)
"""The dotted name of a test, as ``unittest`` gives it."""

FILE_NAME = "KNOWN-RED.txt"
"""The name of the list of known failures."""

KNOWN_RED = "known red"
"""The outcome of a listed test that failed."""

_FRAMEWORKS = ("nose2", "unittest")


def read_entries(text: str) -> dict[TestId, str]:
    """Parse the list. Return the full text of the entries for each listed id."""
    entries: dict[TestId, str] = {}
    for paragraph in re.split(r"\n[ \t]*\n", text):
        entry = paragraph.strip()
        if not entry:
            continue
        test = TestId(entry.splitlines()[0].strip())
        entries[test] = f"{entries[test]}\n\n{entry}" if test in entries else entry
    return entries


def id_of(test: Any) -> TestId | None:
    """Return the id of a test or of the test that a subtest belongs to, or None for other results.

    A module that can't be imported and a class that can't be set up are reported as if they were
    tests. If they could be listed, one entry would hide the failures of all tests in them.
    """
    case = getattr(test, "test_case", test)
    if type(case).__module__.partition(".")[0] in _FRAMEWORKS:
        return None
    return TestId(case.id())


class KnownRedPlugin(Plugin):  # type: ignore[misc]
    """Counts the failures of listed tests separately, and fails the run if the list is outdated."""

    configSection = "known-red"  # noqa: N815  (the name that nose2 reads)

    def __init__(self) -> None:
        """Start without entries and outcomes."""
        self._entries: dict[TestId, str] = {}
        self._whole_run = False
        self._red: set[TestId] = set()
        self._passed: set[TestId] = set()
        self._skipped: set[TestId] = set()

    def createTests(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Read the list, and determine whether this is a full run."""
        path = Path.cwd() / FILE_NAME
        if path.exists():
            self._entries = read_entries(path.read_text("utf-8"))
        started_at_root = Path(self.session.startDir).resolve() == path.parent.resolve()
        self._whole_run = started_at_root and not event.testNames

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Record the outcome of a listed test, and mark a failure as known before it is counted."""
        test = id_of(event.test)
        if test not in self._entries:
            return
        if event.outcome == "skipped":
            self._skipped.add(test)
        elif event.exc_info is not None:
            self._red.add(test)
            event.outcome, event.shortLabel, event.longLabel = KNOWN_RED, "k", KNOWN_RED
            event.expected = True
        elif event.outcome == "passed":
            self._passed.add(test)

    def outcomeDetail(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Add the entry of a listed test to the report of its failure."""
        test = id_of(event.outcomeEvent.test)
        if test is not None and test in self._red:
            event.extraDetail.append(f"{FILE_NAME} says:\n{self._entries[test]}\n")

    def wasSuccessful(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Fail the run if the list is outdated."""
        if self._faults():
            event.success = False

    def beforeSummaryReport(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Print the known failures and the errors in the list, before the line of counts."""
        if not self._entries:
            return
        print(f"\nknown red: {len(self._red)}")
        for test in sorted(self._red):
            print(f"  {test}")
        for fault in self._faults():
            print(f"{FILE_NAME}: {fault}")
        print(end="", flush=True)

    def _faults(self) -> list[str]:
        """Return a message for each error in the list."""
        faults = [
            f"{test} passes: take it off the list" for test in sorted(self._passed - self._red)
        ]
        faults += [
            f"{test} was skipped: a listed test must run"
            for test in sorted(self._skipped - self._red)
        ]
        if self._whole_run:
            unknown = self._entries.keys() - self._red - self._passed - self._skipped
            faults += [f"no test that ran has the id {test}" for test in sorted(unknown)]
        return faults

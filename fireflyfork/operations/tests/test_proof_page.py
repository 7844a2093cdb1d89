"""Checks that the tests named on the proof page exist."""

import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "PROOF.md"


def _test_files() -> Iterator[Path]:
    for package in ("fireflyfork", "fireflyfork_standins"):
        yield from (ROOT / package).rglob("test_*.py")
        yield from (ROOT / package).rglob("*_checks.py")


class ProofPageTest(unittest.TestCase):
    """Guards against rows that name renamed tests, which readers can't find."""

    def setUp(self) -> None:
        self.page = PAGE.read_text("utf-8")
        self.files = list(_test_files())

    def test_each_file_exists(self) -> None:
        named = set(re.findall(r"\b(test_\w+\.py)\b", self.page))
        self.assertTrue(named)
        self.assertEqual(named - {path.name for path in self.files}, set())

    def test_each_class_and_function_exists(self) -> None:
        text = "\n".join(path.read_text("utf-8") for path in self.files)
        known = set(re.findall(r"^(?:class|    def|    async def) (\w+)", text, re.M))
        classes = set(re.findall(r"\b([A-Z]\w+(?:Test|Machine))\b", self.page))
        functions = set(re.findall(r"`(test_\w+)`", self.page))
        self.assertEqual((classes | functions) - known, set())

    def test_no_name_is_cut_short(self) -> None:
        """Guards against abbreviated names, which match several tests or, after a rename, none."""
        self.assertEqual(re.findall(r"\w+`? ?(?:\.{2,}|…)", self.page), [])

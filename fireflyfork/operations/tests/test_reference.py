"""Tests of the generated reference page."""

import unittest
from pathlib import Path

from .._reference import configuration_reference

PAGE = Path(__file__).parents[3] / "docs" / "reference" / "configuration.md"


class ReferenceTest(unittest.TestCase):
    """The reference page agrees with the code."""

    def test_is_current(self) -> None:
        """Guards against an outdated page; scripts/configuration_reference.py updates it."""
        self.assertEqual(PAGE.read_text("utf-8"), configuration_reference())

    def test_names_every_field_with_its_default(self) -> None:
        """The page contains fields, docstrings, defaults, units and rules."""
        page = configuration_reference()
        for part in (
            "| `longest_queue` | whole number | `64` | Requests that may wait",
            "| `spill` | Share, such as `20%` | `20%` |",
            "| `tolerance` | `throttle`, `evict`, `none` | `none` |",
            "| `targets[*].slots` | must be between 1 and 10000 |",
            "| `regions` | pair of text | required |",
        ):
            self.assertIn(part, page)

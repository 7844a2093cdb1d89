"""Tests of the differences between two configurations."""

import unittest
from dataclasses import replace

from ... import TargetId
from .. import differences
from .builders_answers import example_configuration

BASE = example_configuration()


class DifferencesTest(unittest.TestCase):
    """Elements of lists are compared by their names."""

    def test_lines(self) -> None:
        """Each added, removed or changed value is one line, and a new order makes no difference."""
        service = replace(BASE.services[0], longest_queue=8)
        removed = BASE.targets[3]
        added = replace(removed, target_id=TargetId("booking-desk-suva-99"))
        reordered = (added, *reversed(BASE.targets[4:]), *BASE.targets[:3])
        cases = [
            (
                replace(BASE, services=(service,)),
                ["~ services[booking-desk].longest_queue: 64 -> 8"],
            ),
            (replace(BASE, teams=BASE.teams[1:]), ["- teams[bookings]: {"]),
            (replace(BASE, links=()), ["- links: viti-vanua"]),
            (
                replace(BASE, targets=reordered),
                ["- targets[booking-desk-suva-4]: {", "+ targets[booking-desk-suva-99]: {"],
            ),
            (replace(BASE, note="why", targets=tuple(reversed(BASE.targets))), []),
        ]
        for changed, expected in cases:
            with self.subTest(expected=expected):
                lines = [str(each) for each in differences(BASE, changed)]
                self.assertEqual(len(lines), len(expected), lines)
                for line, start in zip(lines, expected, strict=True):
                    self.assertTrue(line.startswith(start), line)

    def test_first_configuration(self) -> None:
        """The first configuration lists a few new elements by name and more of them by number."""
        lines = [str(each) for each in differences(None, BASE)]
        self.assertIn("+ regions: viti, vanua", lines)
        self.assertIn("+ targets: 24 entries", lines)

    def test_elements_with_a_repeated_name(self) -> None:
        """Guards against elements with a repeated name that are missing from the differences."""
        twice = replace(BASE, services=BASE.services * 2)
        (difference,) = differences(BASE, twice)
        self.assertEqual(difference.path, "services[booking-desk#2]")

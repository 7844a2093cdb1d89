"""Tests of the detection of unusual values."""

import unittest
from dataclasses import replace

from ... import Configuration
from .. import unusual_values
from .builders_answers import example_configuration

BASE = example_configuration()


def with_slots(*slots: int) -> Configuration:
    """Return the Naidu configuration with the given slots for its first targets."""
    changed = (
        replace(target, slots=number) for target, number in zip(BASE.targets, slots, strict=False)
    )
    return replace(BASE, targets=(*changed, *BASE.targets[len(slots) :]))


class UnusualTest(unittest.TestCase):
    """A proposed configuration is compared with the one in force."""

    def test_large_steps(self) -> None:
        """Only changes of existing numbers by a factor of eight or more are reported."""
        service = BASE.services[0]
        link = BASE.links[0]
        cases = [
            (replace(BASE, services=(replace(service, longest_queue=512),)), 1),
            (replace(BASE, services=(replace(service, longest_queue=8),)), 1),
            (replace(BASE, services=(replace(service, longest_queue=511),)), 0),
            (replace(BASE, services=(replace(service, longest_queue=0),)), 0),
            (replace(BASE, links=(replace(link, bytes_per_second=15_000_000),)), 1),
            (replace(BASE, services=(replace(service, replicas=4),)), 0),
            (replace(BASE, targets=BASE.targets[:2]), 0),
        ]
        for proposed, count in cases:
            with self.subTest(proposed=proposed.services, links=proposed.links):
                self.assertEqual(len(unusual_values(BASE, proposed)), count)
                self.assertEqual(unusual_values(None, proposed), ())

    def test_odd_targets(self) -> None:
        """A single differing target is reported; several differing targets are intended."""
        cases = [((9,), 1), ((9, 9), 0), ((16,) * 24, 0), ((8, 8), 0)]
        for slots, count in cases:
            with self.subTest(slots=slots):
                self.assertEqual(len(unusual_values(BASE, with_slots(*slots))), count)

    def test_targets_that_differ_in_force(self) -> None:
        """Guards against reports on a service whose targets already differ in force."""
        self.assertEqual(unusual_values(with_slots(16), with_slots(16, 9)), ())

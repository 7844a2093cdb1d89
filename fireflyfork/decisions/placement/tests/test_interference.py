"""Tests of the interference model with noisy reports about mixed neighbours."""

import math
import random
import unittest

from ...._ids import ServiceName
from .._classes import TaskClass
from .._interference import InterferenceModel

_DESK = ServiceName("desk")
_NOISY = TaskClass("noisy")
_QUIET = TaskClass("quiet")


def _learned(reports: int) -> InterferenceModel:
    """Train a model with reports next to a noisy class (slope 3) and a quiet class (slope 0)."""
    generator = random.Random(7)
    model = InterferenceModel()
    for number in range(reports):
        shares = {_NOISY: generator.uniform(0.0, 0.4), _QUIET: generator.uniform(0.0, 0.4)}
        noise = generator.gauss(0.0, 0.15)
        ratio = 0.4 * math.exp(3.0 * shares[_NOISY] + noise)
        model.learn(_DESK, 0.5, shares, ratio, float(number))
    return model


class InterferenceTest(unittest.TestCase):
    """Estimates per service, neighbouring class and load band."""

    def test_noisy_and_quiet_classes_are_distinguished(self) -> None:
        """Guards against throttling a harmless class.

        The quiet class runs next to the noisy class in every report, so attributing the latency to
        both would slow tasks that don't interfere.
        """
        model = _learned(400)
        noisy = model.added_log_ratio(_DESK, 0.5, _NOISY, 1.0, 400.0)
        quiet = model.added_log_ratio(_DESK, 0.5, _QUIET, 1.0, 400.0)
        self.assertAlmostEqual(noisy, 3.0, delta=0.6)
        self.assertLess(quiet, 0.5)

    def test_estimates_decay_with_age(self) -> None:
        """Guards against excluding a class forever.

        A class that was improved is not placed next to services, so no report can correct its
        estimate.
        """
        model = _learned(400)
        fresh = model.added_log_ratio(_DESK, 0.5, _NOISY, 1.0, 400.0)
        later = model.added_log_ratio(_DESK, 0.5, _NOISY, 1.0, 400.0 + 24 * 3600.0)
        self.assertLess(later, fresh / 8)

    def test_an_unmeasured_band_borrows_from_the_nearest(self) -> None:
        """Guards against losing all estimates when load rises to a new band for the first time."""
        model = _learned(400)
        high = model.added_log_ratio(_DESK, 0.9, _NOISY, 1.0, 400.0)
        self.assertEqual(high, model.added_log_ratio(_DESK, 0.5, _NOISY, 1.0, 400.0))

    def test_memory_is_bounded(self) -> None:
        """Guards against unbounded memory when each job has a class of its own, 26,000 per day."""
        model = InterferenceModel()
        for number in range(2000):
            model.learn(_DESK, 0.5, {TaskClass(f"job-{number}"): 0.1}, 0.5, float(number))
        estimate = model.estimate(_DESK, 0.5)
        assert estimate is not None
        self.assertLessEqual(len(estimate.pairs), 512)
        self.assertIn(TaskClass("job-1999"), estimate.pairs)

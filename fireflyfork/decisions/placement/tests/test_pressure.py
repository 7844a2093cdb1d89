"""Tests of the hysteresis that keeps throttling from flapping."""

import unittest
from collections.abc import Sequence
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from ...._ids import ServiceName
from .._pressure import Pressure, PressureAction

_DESK = ServiceName("desk")
_REPORT_SECONDS = 3.0


def _actions(ratios: Sequence[float]) -> list[PressureAction]:
    """Return the actions that a sequence of reported ratios requires, each carried out at once."""
    pressure = Pressure()
    actions: list[PressureAction] = []
    for number, ratio in enumerate(ratios):
        now = number * _REPORT_SECONDS
        pressure.report(_DESK, ratio, now)
        action = pressure.action()
        if action is PressureAction.RELIEVE:
            pressure.relieved(now)
        elif action is PressureAction.RELAX:
            pressure.relaxed(now)
        if action is not PressureAction.NONE:
            actions.append(action)
    return actions


class PressureTest(unittest.TestCase):
    """Actions required by the latency reports of one worker."""

    @settings(max_examples=300)
    @given(st.lists(st.sampled_from([0.2, 0.7, 0.9, 1.1, 3.0]), min_size=100, max_size=300))
    def test_direction_rarely_changes(self, ratios: list[float]) -> None:
        """Guards against oscillation when latency changes at random for up to a quarter of an hour.

        Each change of direction slows batch tasks or the service needlessly. Without hysteresis
        there would be one every few reports.
        """
        actions = _actions(ratios)
        changes = sum(before is not after for before, after in pairwise(actions))
        self.assertLessEqual(changes, 14)

    def test_latency_rises_with_each_lifted_limit(self) -> None:
        """Guards against oscillation if each lifted limit raises latency at once, for two hours."""
        pressure = Pressure()
        throttled = False
        changes = 0
        for number in range(2400):
            now = number * _REPORT_SECONDS
            pressure.report(_DESK, 0.3 if throttled else 2.0, now)
            action = pressure.action()
            if action is PressureAction.RELIEVE:
                pressure.relieved(now)
                changes += 1
                throttled = True
            elif action is PressureAction.RELAX and throttled:
                pressure.relaxed(now)
                changes += 1
                throttled = False
        self.assertLessEqual(changes, 80)

    def test_old_measurements_do_not_count(self) -> None:
        """Guards against acting again on measurements that were taken before a throttle."""
        pressure = Pressure()
        for second in (0.0, 1.0):
            pressure.report(_DESK, 2.0, second)
            action = pressure.action()
        self.assertIs(action, PressureAction.RELIEVE)
        pressure.relieved(10.0)
        for second in range(2, 12):
            pressure.report(_DESK, 2.0, float(second))
        self.assertIs(pressure.action(), PressureAction.NONE)

"""Tests of the work that an owner skips while its event loop is late.

For seconds, more polls, starts and ends arrive than the owner's share of a processor can handle.
"""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from .._arrangement import Arrangement
from .._interference import InterferenceModel
from .._load_shedding import (
    ARRANGEMENT_LAG_SECONDS,
    LEARNING_LAG_SECONDS,
    POLLS_LAG_SECONDS,
    Shed,
    shed_level,
)
from .builders_jobs import START_MS, OwnerUnderTest, job, row, step

_LAGS = st.floats(0.0, 2.0)


class ShedLevelTest(unittest.TestCase):
    """The level of load shedding."""

    def test_level_follows_the_lag(self) -> None:
        for lag, expected in (
            (0.0, Shed.NOTHING),
            (1.1 * ARRANGEMENT_LAG_SECONDS, Shed.ARRANGEMENT),
            (1.1 * LEARNING_LAG_SECONDS, Shed.LEARNING),
            (1.1 * POLLS_LAG_SECONDS, Shed.POLLS),
        ):
            with self.subTest(lag=lag):
                self.assertIs(shed_level(lag, Shed.NOTHING), expected)

    def test_work_resumes_at_a_lower_lag(self) -> None:
        """Guards against searches that resume at each moment without lag, and cause the next
        lag."""
        lag = 0.8 * ARRANGEMENT_LAG_SECONDS
        self.assertIs(shed_level(lag, Shed.NOTHING), Shed.NOTHING)
        self.assertIs(shed_level(lag, Shed.ARRANGEMENT), Shed.ARRANGEMENT)
        self.assertIs(shed_level(0.0, Shed.LEARNING), Shed.NOTHING)

    @given(_LAGS, _LAGS, st.sampled_from(Shed))
    def test_more_lag_never_sheds_less_work(
        self, first_lag: float, second_lag: float, before: Shed
    ) -> None:
        less, more = sorted((first_lag, second_lag))
        self.assertLessEqual(shed_level(less, before), shed_level(more, before))


class LoadSheddingTest(unittest.TestCase):
    """The work that is skipped, and the work that never is."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0")
        serving = step(cpu_millis=4000, image="web", tail_target_ms=10, long_running=True)
        filling = step(cpu_millis=4000, image="noisy", uses_leftover_cpu=True)
        for number, spec in enumerate((serving, filling)):
            self.owner.scheduler.accept(job(f"{number:016x}", spec), START_MS)
        self.serving, self.filling = self.owner.place()

    def _poll(self) -> None:
        self.owner.now += 0.5
        self.owner.poll("i-0", row(self.serving, 100, 50.0), row(self.filling, 10, 4000.0))

    def test_no_arrangement_search_while_late(self) -> None:
        """Guards against a late owner that spends its time on work that can wait."""
        self.owner.scheduler.update_shed_level(1.1 * ARRANGEMENT_LAG_SECONDS)
        with patch.object(Arrangement, "check", autospec=True) as looked:
            self.owner.tick(0.1)
            looked.assert_not_called()
            self.owner.scheduler.update_shed_level(0.0)
            self.owner.tick(0.1)
            looked.assert_called_once()

    def test_reservations_are_released_while_late(self) -> None:
        """Guards against resources that stay reserved for a task which went elsewhere."""
        executor = self.owner.executor("i-0")
        state = self.owner.scheduler._state
        state.move_reservations.add(self.serving.task, executor, self.owner.now + 1.0)
        self.owner.scheduler.update_shed_level(1.1 * LEARNING_LAG_SECONDS)
        self.owner.tick(0.1)
        self.assertGreater(executor.incoming_cpu_millis, 0)
        self.owner.tick(1.0)
        self.assertEqual(executor.incoming_cpu_millis, 0)

    def test_paces_follow_known_effects_while_learning_is_shed(self) -> None:
        """Guards against services that stay over their target while the owner is late."""
        self.owner.scheduler.update_shed_level(1.1 * LEARNING_LAG_SECONDS)
        with patch.object(InterferenceModel, "observe", autospec=True) as learned:
            self._poll()
            learned.assert_not_called()
            self.assertEqual([name for name, _ in self.owner.paces()], [self.filling.task.name])
            self.owner.scheduler.update_shed_level(0.0)
            self._poll()
            learned.assert_called_once()

"""Tests of when calls to a server that handles them one at a time may be sent."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import CallNumber
from .._call_window import (
    LEAD_SECONDS,
    MAX_OPEN_CALLS,
    MAX_PATIENCE_SECONDS,
    MAX_PAUSE_SECONDS,
    PATIENCE_SECONDS,
    STALL_SECONDS,
    CallWindow,
)

COST = 0.2


def _send_all_until(window: CallWindow, now: float, end: float, cost: float = COST) -> int:
    """Send calls as early as possible, none of which is answered; return their number."""
    sent = 0
    while (now := max(now, window.may_send_at(now))) <= end:
        window.begin(now, cost)
        surplus = window.surplus_call()
        if surplus is not None:
            window.closed(surplus)
        sent += 1
    return sent


class CallWindowTest(unittest.TestCase):
    """The times at which calls are sent."""

    def setUp(self) -> None:
        """Begin without calls."""
        self.window = CallWindow()

    def test_the_next_call_is_sent_when_the_one_before_is_about_to_end(self) -> None:
        first = self.window.begin(0.0, COST)
        self.assertAlmostEqual(self.window.may_send_at(0.0), COST - LEAD_SECONDS)
        self.window.begin(0.15, COST)
        self.assertGreater(self.window.may_send_at(0.15), first.expected_at)
        self.window.answered(first.number, 0.2)
        self.assertAlmostEqual(self.window.may_send_at(0.2), 2 * COST - LEAD_SECONDS)

    def test_a_call_costs_what_the_configuration_says(self) -> None:
        """Guards against calls that take seconds and count as lost before their answer."""
        call = self.window.begin(0.0, 30.0)
        self.assertGreater(call.due_at, 30.0)
        self.assertAlmostEqual(self.window.may_send_at(1.0), 30.0 - LEAD_SECONDS)

    def test_calls_without_answers_are_few(self) -> None:
        """Guards against load on a server that is only slow."""
        sent = _send_all_until(self.window, 0.0, 60.0)
        self.assertEqual(self.window.open_calls, MAX_OPEN_CALLS)
        self.assertLess(sent, 2 + 60.0 / MAX_PATIENCE_SECONDS)

    def test_the_call_after_a_silence_is_sent_soon(self) -> None:
        """Guards against a service that stays down after its advisor has recovered."""
        for silence in range(1, 60):
            with self.subTest(silence):
                window = CallWindow()
                _send_all_until(window, 0.0, float(silence))
                expected = COST + PATIENCE_SECONDS
                latest = silence + max(MAX_PATIENCE_SECONDS, expected) + COST
                self.assertLessEqual(window.may_send_at(float(silence)), latest)

    def test_the_oldest_calls_stay_open_while_a_server_is_slow(self) -> None:
        """Guards against giving up the calls that are answered next."""
        first = self.window.begin(0.0, COST)
        _send_all_until(self.window, 0.0, STALL_SECONDS + 30.0)
        self.window.answered(first.number, STALL_SECONDS + 30.0)
        self.assertEqual(self.window.open_calls, MAX_OPEN_CALLS - 1)

    def test_an_answer_to_a_later_call_ends_the_wait_for_earlier_ones(self) -> None:
        """Guards against a lost answer that holds up the calls after it."""
        self.window.begin(0.0, COST)
        second = self.window.begin(0.15, COST)
        self.window.answered(second.number, 0.4)
        self.assertEqual(self.window.may_send_at(0.4), 0.4)
        self.assertEqual(self.window.overdue_calls(100.0), 0)

    def test_a_server_that_stays_slow_is_expected_to_be_slow(self) -> None:
        """Guards against calls that pile up at a server which takes longer than configured."""
        now = 0.0
        for _ in range(20):
            call = self.window.begin(now, COST)
            now += 5.0
            self.window.answered(call.number, now)
        self.assertAlmostEqual(self.window.begin(now, COST).expected_at, now + 5.0)

    def test_one_slow_call_does_not_delay_the_repetition_of_the_next(self) -> None:
        call = self.window.begin(0.0, COST)
        self.window.answered(call.number, 6.0)
        self.assertAlmostEqual(self.window.begin(6.0, COST).expected_at, 6.0 + COST)

    def test_calls_that_fail_at_once_are_repeated_after_a_pause(self) -> None:
        """Guards against a server that rejects calls and is called in a loop."""
        now, sent = 0.0, 0
        while now < 10.0:
            call = self.window.begin(now, COST)
            self.window.failed(call.number, now)
            sent += 1
            now = self.window.may_send_at(now)
        self.assertLessEqual(sent, 3 + 10.0 / MAX_PAUSE_SECONDS)

    @given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 3), st.integers(0, 7))))
    def test_the_number_of_open_calls_is_bounded(
        self, events: list[tuple[float, int, int]]
    ) -> None:
        """Guards against any order of answers, failures and silence that opens ever more calls."""
        window, now = CallWindow(), 0.0
        numbers: list[CallNumber] = []
        for seconds, kind, index in events:
            now += seconds
            if kind == 0 and numbers:
                window.answered(numbers.pop(index % len(numbers)), now)
            elif kind == 1 and numbers:
                window.failed(numbers.pop(index % len(numbers)), now)
            elif window.may_send_at(now) <= now:
                numbers.append(window.begin(now, COST).number)
                surplus = window.surplus_call()
                if surplus is not None:
                    numbers.remove(surplus)
                    window.closed(surplus)
            self.assertLessEqual(window.open_calls, MAX_OPEN_CALLS)
            self.assertLess(window.may_send_at(now) - now, STALL_SECONDS + 20.0)

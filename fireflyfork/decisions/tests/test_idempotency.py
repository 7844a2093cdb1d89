"""Tests of the table of idempotency keys."""

import unittest
from dataclasses import dataclass, field
from itertools import pairwise
from unittest.mock import Mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..._ids import IdempotencyKey
from .. import KeyDecisionKind, KeyTable, KeyTerms, minted_at
from .builders_requests import timed_key

TERMS = KeyTerms(most_keys=6, most_answer_bytes=100, longest_answer_bytes=40)
START = 1_800_000_000.0
OLD = timed_key(START - 5)
PLAIN = IdempotencyKey("order 17")


def _begun(table: KeyTable, key: IdempotencyKey, now: float = START) -> KeyTable:
    after, decision = table.begin(key, 1, now)
    assert decision.kind is KeyDecisionKind.RUN, decision
    return after


class KeyTableTest(unittest.TestCase):
    """Single decisions."""

    def test_minted_at(self) -> None:
        """Only a version 7 UUID has a creation time."""
        cases = [
            ("01890a5d-ac96-774b-bcce-b302099a8057", 1688096058.518),
            ("viti.01890a5d-ac96-774b-bcce-b302099a8057", 1688096058.518),
            ("f47ac10b-58cc-4372-a567-0e02b2c3d479", None),
            ("order 17", None),
        ]
        for text, expected in cases:
            with self.subTest(text):
                self.assertEqual(minted_at(IdempotencyKey(text)), expected)

    def test_repeats(self) -> None:
        """A client times out and sends the same request again to another entry.

        If the repeat were run, the request would take effect twice.
        """
        for key in (OLD, PLAIN):
            begun = _begun(KeyTable(TERMS), key)
            cases = [
                ("first under way", begun, 1, KeyDecisionKind.JOIN, b""),
                ("answered", begun.answered(key, b"A"), 1, KeyDecisionKind.REPLAY, b"A"),
                ("lost", begun.attempt_lost(key), 1, KeyDecisionKind.MAY_HAVE_RUN, b""),
                (
                    "late",
                    begun.attempt_lost(key).answered(key, b"A"),
                    1,
                    KeyDecisionKind.REPLAY,
                    b"A",
                ),
                ("not run", begun.not_run(key), 1, KeyDecisionKind.RUN, b""),
                ("lost, not run", begun.attempt_lost(key).not_run(key), 1, "may-have-run", b""),
                ("another request", begun, 2, KeyDecisionKind.MISMATCH, b""),
                ("long answer", begun.answered(key, b"A" * 41), 1, "answer-dropped", b""),
            ]
            for name, table, fingerprint, expected, answer in cases:
                with self.subTest(name, key=key):
                    _, decision = table.begin(key, fingerprint, START + 1)
                    self.assertIs(decision.kind, KeyDecisionKind(expected))
                    self.assertEqual(decision.answer, answer)

    def test_after_a_lost_home(self) -> None:
        """The home of a key fails and its table is lost, and the caller sends the request again.

        The new home can't determine whether the first request ran, so it must not run the repeat. A
        request created after the takeover must still run.
        """
        table = KeyTable.after_lost_home(TERMS, START)
        doubt = TERMS.accepted_lead + TERMS.member_clock_error
        cases = [
            (OLD, START + 9, False, KeyDecisionKind.MAY_HAVE_RUN),
            (timed_key(START + doubt), START + 9, False, KeyDecisionKind.MAY_HAVE_RUN),
            (timed_key(START + doubt + 0.1), START + 9, False, KeyDecisionKind.RUN),
            (timed_key(START + 0.1), START + 0.1, True, KeyDecisionKind.RUN),
            (timed_key(START + 20), START + 9, False, KeyDecisionKind.FROM_THE_FUTURE),
            (PLAIN, START + 9, False, KeyDecisionKind.MAY_HAVE_RUN),
            (PLAIN, START + 9, True, KeyDecisionKind.RUN),
            (PLAIN, START + TERMS.retention + doubt, False, KeyDecisionKind.RUN),
        ]
        for key, now, minted_here, expected in cases:
            with self.subTest(key=key, now=now - START, minted_here=minted_here):
                self.assertIs(table.begin(key, 1, now, minted_here)[1].kind, expected)

    def test_a_key_without_a_time_is_kept_for_the_retention_time(self) -> None:
        """Once forgotten, a key without a creation time can't be distinguished from a new one."""
        table = _begun(KeyTable(TERMS), PLAIN)
        _, decision = table.begin(PLAIN, 1, START + TERMS.retention)
        self.assertIs(decision.kind, KeyDecisionKind.JOIN)
        later = START + TERMS.retention + TERMS.generation
        self.assertEqual(table.expire(later).keys, 0)

    def test_answers_are_bounded(self) -> None:
        """Answers beyond the size limit are dropped, but the fact that the request ran is kept."""
        table = KeyTable(TERMS)
        keys = [timed_key(START - 70 * age) for age in (3, 2, 1, 0)]
        for key in keys:
            table = _begun(table, key).answered(key, b"x" * 30)
        self.assertLessEqual(table.answer_bytes, TERMS.most_answer_bytes)
        kinds = [table.begin(key, 1, START)[1].kind for key in keys]
        self.assertEqual(kinds, [KeyDecisionKind.ANSWER_DROPPED] + [KeyDecisionKind.REPLAY] * 3)

    def test_keys_are_bounded(self) -> None:
        """A full table forgets its oldest keys, but a forgotten key must not run again."""
        table = KeyTable(TERMS)
        early = [timed_key(START - 120, serial) for serial in range(3)]
        present = [timed_key(START, serial) for serial in range(7)]
        for key in early + present[:6]:
            table = _begun(table, key)
        self.assertIs(table.begin(early[0], 1, START)[1].kind, KeyDecisionKind.MAY_HAVE_RUN)
        self.assertIs(table.begin(present[6], 1, START)[1].kind, KeyDecisionKind.TABLE_FULL)
        self.assertIs(table.begin(present[0], 1, START)[1].kind, KeyDecisionKind.JOIN)

    def test_a_clock_that_jumps_does_not_run_a_key_twice(self) -> None:
        """The clock is set forward by mistake, so that all keys expire, and is then corrected."""
        table = _begun(KeyTable(TERMS), OLD).expire(START + 86_400)
        self.assertEqual(table.keys, 0)
        self.assertIs(table.begin(OLD, 1, START + 1)[1].kind, KeyDecisionKind.MAY_HAVE_RUN)


@dataclass
class _Booking:
    """The runs and answers of one key, recorded independently of the table under test."""

    key: IdempotencyKey
    run_times: list[float] = field(default_factory=list)
    """When the attempts began that ran or may have run."""
    answer: bytes | None = None
    offered: bool = False


@dataclass
class _Attempt:
    """An attempt of a booking that is in progress."""

    booking: _Booking
    began_at: float


@dataclass
class _Home:
    """A home with the error of its clock."""

    table: KeyTable
    clock_error: float
    started: list[_Booking] = field(default_factory=list)


class KeyHistory(RuleBasedStateMachine):
    """Generated histories with wrong callers' clocks, changing homes and reordered answers."""

    def __init__(self) -> None:
        """Start with one home and no keys."""
        super().__init__()
        self.time = START
        self.home = _Home(KeyTable(TERMS), 0.0)
        self.bookings: list[_Booking] = []
        self.under_way: list[_Attempt] = []

    def _now(self) -> float:
        return self.time + self.home.clock_error

    @rule(clock=st.sampled_from([-700.0, -70.0, 0.0, 0.9, 2.9]), count=st.integers(1, 4))
    def new_keys(self, clock: float, count: int) -> None:
        """Callers create timed keys from their own clocks, and one key without a time."""
        for serial in range(len(self.bookings), len(self.bookings) + count):
            self.bookings.append(_Booking(timed_key(self.time + clock, serial)))
        self.bookings.append(_Booking(IdempotencyKey(f"plain {len(self.bookings)}")))

    @rule(repeats=st.integers(1, 2))
    def send_all(self, repeats: int) -> None:
        """All callers send or resend their requests, possibly twice."""
        for booking in self.bookings * repeats:
            self._begin(booking, minted_here=False)

    @rule()
    def mint(self) -> None:
        """An entry creates the key for a request without one, using a member's clock."""
        booking = _Booking(timed_key(self.time, len(self.bookings)))
        self.bookings.append(booking)
        self._begin(booking, minted_here=True)

    def _begin(self, booking: _Booking, minted_here: bool) -> None:
        self.home.table, decision = self.home.table.begin(booking.key, 1, self._now(), minted_here)
        if decision.kind is KeyDecisionKind.RUN:
            booking.run_times.append(self.time)
            self.under_way.append(_Attempt(booking, self.time))
        elif decision.kind is KeyDecisionKind.REPLAY:
            assert decision.answer == booking.answer
        elif decision.kind is KeyDecisionKind.ANSWER_DROPPED:
            assert booking.answer is not None
        elif decision.kind is KeyDecisionKind.JOIN:
            assert any(attempt.booking is booking for attempt in self.under_way)

    @precondition(lambda self: self.under_way)
    @rule(data=st.data(), outcome=st.sampled_from(["answer", "late", "not run", "silence"]))
    def attempt_ends(self, data: st.DataObject, outcome: str) -> None:
        """Any attempt in progress ends with any outcome."""
        attempt = data.draw(st.sampled_from(self.under_way))
        self.under_way.remove(attempt)
        booking = attempt.booking
        if outcome in ("late", "silence"):
            self.home.table = self.home.table.attempt_lost(booking.key)
        if outcome in ("answer", "late"):
            answer = booking.key.encode()[-4:] * 5
            booking.answer = answer
            self.home.table = self.home.table.answered(booking.key, answer)
        if outcome == "not run":
            booking.run_times.remove(attempt.began_at)
            self.home.table = self.home.table.not_run(booking.key)

    @rule(seconds=st.sampled_from([0.3, 1.5, 65.0, TERMS.retention - 1]))
    def pause(self, seconds: float) -> None:
        """Time passes."""
        self.time += seconds

    @rule(error=st.sampled_from([-0.45, 0.0, 0.45]))
    def hand_over(self, error: float) -> None:
        """A planned change of the home, which hands over its table."""
        self.home = _Home(self.home.table, error)

    @rule(error=st.sampled_from([-0.45, 0.0, 0.45]))
    def lose_home(self, error: float) -> None:
        """The home fails; its requests may continue to run, but their outcome is never learned."""
        self.home = _Home(KeyTable(TERMS), error)
        self.home.table = KeyTable.after_lost_home(TERMS, self._now())
        self.under_way.clear()

    @invariant()
    def at_most_one_run(self) -> None:
        """No key runs twice: ever for timed keys, within the retention time for other keys."""
        for booking in self.bookings:
            if minted_at(booking.key) is not None:
                assert len(booking.run_times) <= 1, booking
            for earlier, later in pairwise(booking.run_times):
                assert later - earlier >= TERMS.retention - 1.0, booking

    @invariant()
    def the_table_is_bounded(self) -> None:
        """The table never exceeds its limits on keys and answer bytes."""
        assert self.home.table.keys <= TERMS.most_keys
        assert self.home.table.answer_bytes <= TERMS.most_answer_bytes


KeyHistory.TestCase.settings = settings(max_examples=120, stateful_step_count=40)
KeyHistoryTest = KeyHistory.TestCase


class KeyHistoryCaseTest(unittest.TestCase):
    """Generated histories that failed once."""

    def test_not_run_after_a_run_before_the_retention_time(self) -> None:
        """A key without a time runs again after the retention time, but that attempt is not run.

        The key may then run again at once: its first run is older than the retention time.
        """
        history = KeyHistory()
        history.new_keys(clock=-700.0, count=1)
        history.send_all(repeats=1)
        history.lose_home(error=-0.45)
        history.pause(seconds=65.0)
        history.pause(seconds=TERMS.retention - 1)
        history.send_all(repeats=1)
        plain = history.bookings[1]
        attempt = next(item for item in history.under_way if item.booking is plain)
        history.attempt_ends(Mock(draw=lambda _: attempt), outcome="not run")
        history.send_all(repeats=1)
        self.assertEqual(len(plain.run_times), 2)
        history.at_most_one_run()

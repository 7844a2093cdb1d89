"""Tests of the accounting of a target's slots and connections."""

import unittest
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..._ids import RequestId
from .. import SlotLedger, SlotRefusal
from .._slots import START_WITHIN_SECONDS
from .builders_requests import LONGEST_RUN, slot_limits

HOLD = slot_limits().hold_seconds
STILL_RUNNING = (START_WITHIN_SECONDS + LONGEST_RUN) * 0.995
"""Time after taking its slot at which a request may still be running."""
FAST, SLOW = 1.0095, 0.9905
"""Rates of clocks that drift in opposite directions."""


def _acquired(ledger: SlotLedger, attempt: str, now: float) -> SlotLedger:
    outcome = ledger.acquire(RequestId(attempt), now)
    assert isinstance(outcome, SlotLedger), outcome
    return outcome


class SlotLedgerTest(unittest.TestCase):
    """Single decisions."""

    def setUp(self) -> None:
        """Create the ledger of a target whose two slots are taken at time 0."""
        self.full = _acquired(_acquired(SlotLedger(slot_limits()), "a", 0.0), "b", 0.0)

    def test_a_late_answer_still_holds_its_slot(self) -> None:
        """The caller of a slow request gives up while the executor still works on it.

        If its slot were reused then, the executor would be overloaded and all of its requests would
        take longer.
        """
        self.assertIs(self.full.acquire(RequestId("c"), HOLD - 0.01), SlotRefusal.FULL)
        self.assertEqual(self.full.next_free_at(1.0), HOLD)
        self.assertEqual(self.full.release(RequestId("a")).free(1.0), 1)
        self.assertEqual(_acquired(self.full, "c", HOLD).busy(HOLD), 1)

    def test_an_answer_that_comes_twice_frees_one_slot(self) -> None:
        """A duplicate answer after the slot was reused must not free the new request's slot."""
        ledger = _acquired(self.full.release(RequestId("a")), "c", 1.0)
        self.assertIs(ledger.release(RequestId("a")), ledger)
        self.assertIs(
            self.full.release(RequestId("a")).acquire(RequestId("b"), 1.0), SlotRefusal.DUPLICATE
        )

    def test_a_leaving_target_gets_no_new_requests(self) -> None:
        """An executor stops in a few seconds, so a request sent to it now would be cut off."""
        leaving = self.full.release(RequestId("a")).leave()
        self.assertIs(leaving.acquire(RequestId("c"), 1.0), SlotRefusal.LEAVING)
        self.assertEqual((leaving.busy(1.0), leaving.free(1.0)), (1, 0))
        _, handover = leaving.hand_over(1.0)
        successor = SlotLedger.after_handover(slot_limits(), handover, 50.0)
        self.assertIs(successor.acquire(RequestId("c"), 50.0), SlotRefusal.LEAVING)
        self.assertEqual(leaving.rejoin().free(1.0), 1)

    def test_handover_passes_occupied_slots_on(self) -> None:
        """After a planned stop, the next owner must count the slots of requests still running."""
        stopped, handover = self.full.release(RequestId("a")).hand_over(1.0)
        self.assertIs(stopped.acquire(RequestId("c"), 1.0), SlotRefusal.HANDED_OVER)
        self.assertIs(stopped.open_connection(1.0), SlotRefusal.HANDED_OVER)
        successor = SlotLedger.after_handover(slot_limits(), handover, 50.0)
        self.assertEqual((successor.busy(50.0), successor.free(50.0)), (1, 1))
        self.assertEqual(successor.release(RequestId("b")).free(50.0), 2)
        self.assertEqual(successor.busy(50.0 + HOLD - 1.0 - 0.01), 1)
        self.assertEqual(successor.busy(50.0 + HOLD - 1.0), 0)
        self.assertEqual(stopped.take_back().free(1.0), 1)

    def test_after_a_fence_every_slot_may_be_busy(self) -> None:
        """An owner fails with requests in flight that no other member has a record of."""
        cases = [(None, 0), (2, 0), (1, 1), (5, 0)]
        for ceiling, free in cases:
            with self.subTest(ceiling=ceiling):
                ledger = SlotLedger.after_fence(slot_limits(), 100.0, ceiling)
                self.assertEqual(ledger.free(100.0 + HOLD - 0.01), free)
                self.assertEqual(ledger.free(100.0 + HOLD), 2)

    def test_connections_leave_room_for_a_successor(self) -> None:
        """A dead owner's connections stay open at a target that accepts eight in total.

        If the dead owner had opened all eight, its successor could not connect to the target until
        the longest run time has passed, and the target's capacity would be lost until then.
        """
        ledger = SlotLedger.after_fence(slot_limits(), 0.0)
        for _ in range(4):
            opened = ledger.open_connection(0.0)
            assert isinstance(opened, SlotLedger)
            ledger = opened
        self.assertIs(ledger.open_connection(HOLD), SlotRefusal.FULL)
        self.assertIsInstance(ledger.close_connection().open_connection(0.0), SlotLedger)
        second = SlotLedger.after_handover(slot_limits(), ledger.hand_over(1.0)[1], 1.0)
        self.assertIs(second.open_connection(1.0), SlotRefusal.FULL)

    def test_a_smaller_contract_lets_running_requests_end(self) -> None:
        """An operator lowers the number of slots while requests run."""
        smaller = self.full.with_limits(slot_limits(slots=1))
        self.assertEqual(smaller.free(1.0), 0)
        self.assertIs(
            smaller.release(RequestId("a")).acquire(RequestId("c"), 1.0), SlotRefusal.FULL
        )


@dataclass
class _SentRequest:
    """A request in transit to the target or running on it."""

    owner: int
    sent_at: float
    started_at: float | None = None


class SlotHistory(RuleBasedStateMachine):
    """Generated histories of a target, its successive owners and their clocks."""

    def __init__(self) -> None:
        """Start with one owner and an idle target."""
        super().__init__()
        self.time = 1000.0
        self.rates = [FAST]
        self.ledger = SlotLedger(slot_limits())
        self.at_target: dict[RequestId, _SentRequest] = {}
        self.answers: list[tuple[RequestId, int]] = []
        self.reachable_owners = {0}
        self.count = 0

    def _now(self) -> float:
        """Return the time on the current owner's clock, which has its own offset and rate."""
        return 7.0 * len(self.rates) + self.time * self.rates[-1]

    @rule(burst=st.integers(1, 3))
    def dispatch(self, burst: int) -> None:
        """The owner sends as many of the requests as the ledger permits."""
        for _ in range(burst):
            self.count += 1
            attempt = RequestId(str(self.count))
            outcome = self.ledger.acquire(attempt, self._now())
            if isinstance(outcome, SlotLedger):
                self.ledger = outcome
                self.at_target[attempt] = _SentRequest(len(self.rates), self.time)

    @precondition(lambda self: self.at_target)
    @rule(data=st.data(), repeats=st.integers(1, 2))
    def end_or_start(self, data: st.DataObject, repeats: int) -> None:
        """A request starts at the target or ends; its answer may be duplicated."""
        attempt = data.draw(st.sampled_from(sorted(self.at_target)))
        sent = self.at_target[attempt]
        if sent.started_at is None:
            sent.started_at = self.time
            return
        del self.at_target[attempt]
        self.answers += [(attempt, sent.owner)] * repeats

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def receive_answer(self, data: st.DataObject) -> None:
        """An answer arrives, in any order; answers to a dead owner are lost."""
        index = data.draw(st.integers(0, len(self.answers) - 1))
        attempt, owner = self.answers.pop(index)
        if owner in self.reachable_owners or owner == len(self.rates):
            self.ledger = self.ledger.release(attempt)

    @rule(
        seconds=st.sampled_from([0.1, STILL_RUNNING / 2, STILL_RUNNING, START_WITHIN_SECONDS, HOLD])
    )
    def pause(self, seconds: float) -> None:
        """Time passes without messages, and requests end within the limits of the contract."""
        self.time += seconds
        for attempt, sent in list(self.at_target.items()):
            began = sent.started_at
            latest = sent.sent_at + START_WITHIN_SECONDS if began is None else began
            if latest + (0.0 if began is None else LONGEST_RUN) < self.time:
                if began is None and latest + LONGEST_RUN >= self.time:
                    sent.started_at = latest
                else:
                    del self.at_target[attempt]

    @rule(rate=st.sampled_from([FAST, SLOW]), delay=st.sampled_from([0.0, 0.5, 5.0]))
    def hand_over(self, rate: float, delay: float) -> None:
        """The owner changes as planned and hands its ledger over."""
        self.ledger, handover = self.ledger.hand_over(self._now())
        assert self.ledger.acquire(RequestId("x"), self._now()) is SlotRefusal.HANDED_OVER
        self.reachable_owners.add(len(self.rates))
        self.pause(delay)
        self.rates.append(rate)
        self.ledger = SlotLedger.after_handover(slot_limits(), handover, self._now())

    @rule(rate=st.sampled_from([FAST, SLOW]))
    def fence(self, rate: float) -> None:
        """The owner fails or is cut off, and its right to send has expired."""
        self.reachable_owners.clear()
        self.rates.append(rate)
        self.ledger = SlotLedger.after_fence(slot_limits(), self._now())

    @invariant()
    def never_more_than_slots(self) -> None:
        """Requests in transit to the target or running on it never exceed its slots."""
        assert len(self.at_target) <= slot_limits().slots


SlotHistory.TestCase.settings = settings(max_examples=120, stateful_step_count=40)
SlotHistoryTest = SlotHistory.TestCase

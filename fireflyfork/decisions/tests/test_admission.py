"""Tests of the admission queue and the concurrency limit."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ..._ids import RequestId
from .. import AdmissionDecision, AdmissionKind, AdmissionQueue, ConcurrencyLimit, WaitingRequest
from .._concurrency import WINDOW_ANSWERS
from .builders_requests import queue, waiting


def _filled(count: int, entry: str = "e1", max_waiting: int = 10) -> AdmissionQueue:
    """Return a queue with ``count`` requests whose deadlines are a minute away."""
    filled = queue(max_waiting=max_waiting)
    for number in range(count):
        request = waiting(f"{entry}-{number}", 60.0, entry)
        filled, _ = filled.offer(request, free=0, usable=2, now=0.0)
    return filled


class AdmissionQueueTest(unittest.TestCase):
    """Single decisions. Requests take 0.1 s on two slots, so one completes every 0.05 s."""

    def _refused(self, decision: AdmissionDecision) -> list[str]:
        return [refused.request.request_id for refused in decision.refused]

    def test_offers(self) -> None:
        """A request that is not expected to meet its deadline is refused immediately.

        If it were queued, its caller would learn only at the deadline what was known at the start,
        and an executor would work on an answer that no caller waits for.
        """
        cases = [
            ("free slot", 0, 1, 2, 1.0, AdmissionKind.RUN, 0.0),
            ("free slot, no time", 0, 1, 2, 0.05, AdmissionKind.REFUSE, 0.05),
            ("short queue", 3, 0, 2, 1.0, AdmissionKind.QUEUE, 0.0),
            ("just in time", 3, 0, 2, 0.31, AdmissionKind.QUEUE, 0.0),
            ("urgent goes first", 9, 0, 2, 0.16, AdmissionKind.QUEUE, 0.0),
            ("no time", 3, 0, 2, 0.14, AdmissionKind.REFUSE, 0.2),
            ("full", 10, 0, 2, 60.0, AdmissionKind.REFUSE, 0.55),
            ("no slot is usable", 3, 0, 0, 60.0, AdmissionKind.REFUSE, 0.1),
        ]
        for name, count, free, usable, deadline, kind, retry_after in cases:
            with self.subTest(name):
                request = waiting("new", deadline)
                _, decision = _filled(count).offer(request, free, usable, 0.0)
                self.assertIs(decision.kind, kind)
                retry_times = [refused.retry_after for refused in decision.refused]
                self.assertEqual(bool(retry_times), kind is AdmissionKind.REFUSE)
                for seconds in retry_times:
                    self.assertAlmostEqual(seconds, retry_after)

    def test_an_urgent_request_delays_no_admitted_request(self) -> None:
        """An urgent request must not make an already admitted request miss its deadline."""
        tight, _ = queue().offer(waiting("first", 0.151), 0, 2, 0.0)
        _, decision = tight.offer(waiting("second", 0.1505), 0, 2, 0.0)
        self.assertIs(decision.kind, AdmissionKind.REFUSE)

    def test_earliest_deadline_first(self) -> None:
        """In order of arrival, requests with an early deadline would miss it."""
        both, _ = _filled(1).offer(waiting("urgent", 5.0), 0, 2, 0.0)
        rest, taken = both.take(0.0)
        assert taken is not None
        self.assertEqual(taken.request_id, "urgent")
        self.assertEqual(rest.withdraw(RequestId("e1-0")).take(0.0)[1], None)

    def test_one_entry_can_not_fill_the_queue(self) -> None:
        """A burst at one entry must not cause the requests of other entries to be refused."""
        crowded = _filled(10, "greedy")
        names = []
        for number in range(6):
            crowded, decision = crowded.offer(waiting(f"m{number}", 60.0, "modest"), 0, 2, 0.0)
            names += self._refused(decision)
        modest = [request for request in crowded.waiting if request.entry == "modest"]
        self.assertEqual((len(modest), len(crowded.waiting)), (5, 10))
        self.assertEqual(names[:2], ["greedy-9", "greedy-8"])

    def test_a_stalled_service_does_not_fill_its_queue(self) -> None:
        """All executors hang, while the learned service time predicts two completions in 0.1 s.

        Requests admitted on that prediction would all wait in vain.
        """
        stalled = _filled(3)
        _, decision = stalled.offer(waiting("new", 1.5), 0, 2, now=1.0)
        self.assertIs(decision.kind, AdmissionKind.REFUSE)
        moving = stalled.answered(0.1, 0.95)
        _, decision = moving.offer(waiting("new", 1.5), 0, 2, now=1.0)
        self.assertIs(decision.kind, AdmissionKind.QUEUE)

    def test_a_lasting_queue_is_kept_short(self) -> None:
        """Load exceeds capacity for minutes.

        If the queue grew as long as the deadlines allow, every request would take almost as long as
        its deadline, without any gain in throughput.
        """
        filling = _filled(3).answered(0.1, 0.4)
        _, decision = filling.offer(waiting("burst", 60.0), 0, 2, now=0.4)
        self.assertIs(decision.kind, AdmissionKind.QUEUE)
        overloaded = filling.answered(0.1, 0.6)
        _, decision = overloaded.offer(waiting("surplus", 60.0), 0, 2, now=0.6)
        self.assertIs(decision.kind, AdmissionKind.REFUSE)

    def test_requests_expire_before_their_deadline(self) -> None:
        """A request is refused once it can no longer finish in time, not only at its deadline."""
        filled, _ = queue().offer(waiting("w", 1.0), 0, 2, 0.0)
        self.assertEqual(filled.next_expiry(), 0.9)
        self.assertEqual(filled.expire(0.89)[1], ())
        rest, refused = filled.expire(0.91)
        self.assertEqual([r.request.request_id for r in refused], ["w"])
        self.assertEqual(rest.next_expiry(), None)


class ConcurrencyLimitTest(unittest.TestCase):
    """The adaptive limit on the slots in use."""

    def _after(self, limit: ConcurrencyLimit, seconds: float, windows: int) -> ConcurrencyLimit:
        for _ in range(WINDOW_ANSWERS * windows):
            limit = limit.answered(seconds)
        return limit

    def test_limit_follows_the_executor(self) -> None:
        """Batch work slows an executor down and ends later; its slots must be used again."""
        quick = self._after(ConcurrencyLimit.initial(8), 0.1, 2)
        self.assertEqual(quick.limit, 8)
        slow = self._after(quick, 0.5, 20)
        self.assertEqual(slow.limit, 2)
        self.assertEqual(self._after(slow, 0.1, 20).limit, 8)
        self.assertEqual(self._after(slow, 0.5, 100).limit, 8)


class AdmissionHistory(RuleBasedStateMachine):
    """Generated histories of the queue of a service whose speed varies and that may hang."""

    SLOTS = 2

    def __init__(self) -> None:
        """Start with an empty queue and free slots."""
        super().__init__()
        self.queue = queue()
        self.now = 0.0
        self.count = 0
        self.running: list[WaitingRequest] = []
        self.open: set[RequestId] = set()

    @rule(timeout=st.sampled_from([0.05, 0.3, 1.0, 5.0]), entry=st.sampled_from("abc"))
    def request(self, timeout: float, entry: str) -> None:
        """Each request is either admitted or refused immediately with a retry time."""
        self.count += 1
        request = waiting(str(self.count), self.now + timeout, entry)
        before = set(self.queue.waiting)
        free = self.SLOTS - len(self.running)
        self.queue, decision = self.queue.offer(request, free, self.SLOTS, self.now)
        refused = {item.request for item in decision.refused}
        assert refused <= before | {request}
        assert all(item.retry_after > 0 for item in decision.refused)
        assert (request in refused) == (decision.kind is AdmissionKind.REFUSE)
        self.open -= {item.request_id for item in refused}
        if decision.kind is AdmissionKind.RUN:
            assert free > 0
            assert not before
            self.running.append(request)
        elif decision.kind is AdmissionKind.QUEUE:
            self.open.add(request.request_id)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=st.sampled_from([0.01, 0.1, 0.4]))
    def answer(self, data: st.DataObject, seconds: float) -> None:
        """An answer arrives, in any order, and the next queued request gets the slot."""
        index = data.draw(st.integers(0, len(self.running) - 1))
        self.running.pop(index)
        self.queue = self.queue.answered(seconds, self.now)
        self.expire()
        self.queue, taken = self.queue.take(self.now)
        if taken is not None:
            assert taken.deadline >= self.now + self.queue.service_time.expected
            self.open.remove(taken.request_id)
            self.running.append(taken)

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        """The caller of a queued request gives up."""
        withdrawn = data.draw(st.sampled_from(sorted(self.open)))
        self.open.remove(withdrawn)
        self.queue = self.queue.withdraw(withdrawn)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0]))
    def pause(self, seconds: float) -> None:
        """Time passes without events, for example because the owner's event loop is blocked."""
        self.now += seconds
        self.expire()

    def expire(self) -> None:
        """Expire the requests that can no longer finish in time."""
        self.queue, refused = self.queue.expire(self.now)
        self.open -= {refusal.request.request_id for refusal in refused}
        expiry = self.queue.next_expiry()
        assert expiry is None or expiry >= self.now

    @invariant()
    def requests_are_accounted_for(self) -> None:
        """No request is lost or duplicated, the queue is bounded, and deadlines are in order."""
        ids = [request.request_id for request in self.queue.waiting]
        assert sorted(ids) == sorted(self.open)
        deadlines = [request.deadline for request in self.queue.waiting]
        assert deadlines == sorted(deadlines)
        assert len(ids) <= self.queue.max_waiting


AdmissionHistory.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
AdmissionHistoryTest = AdmissionHistory.TestCase

"""Tests of the connection pool with connections that silently stop working."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from .. import ConnectionChoice, ConnectionId, ConnectionLimits, ConnectionPool, PathState

TERMS = ConnectionLimits()
FIRST, SECOND, THIRD = ConnectionId(1), ConnectionId(2), ConnectionId(3)


class ConnectionPoolTest(unittest.TestCase):
    """Single decisions."""

    def setUp(self) -> None:
        """Create a pool with two idle connections, the second verified last."""
        pool, _ = ConnectionPool(TERMS).answered(FIRST, 0.0)
        self.pool, _ = pool.answered(SECOND, 1.0)

    def test_only_a_recently_verified_connection_is_trusted(self) -> None:
        """An idle pooled connection has silently stopped working.

        A request sent on it would neither arrive nor fail. Its caller would wait until the deadline
        for the verdict that the request may have run, and could not safely retry it.
        """
        cases = [
            (False, 1.0 + TERMS.trusted_seconds, ConnectionChoice.REUSE, SECOND, ()),
            (False, 1.1 + TERMS.trusted_seconds, ConnectionChoice.OPEN, None, (FIRST,)),
            (True, 1.1 + TERMS.trusted_seconds, ConnectionChoice.REUSE, SECOND, ()),
            (True, 0.5 + TERMS.max_idle_seconds, ConnectionChoice.REUSE, SECOND, (FIRST,)),
            (True, 1.1 + TERMS.max_idle_seconds, ConnectionChoice.OPEN, None, (FIRST, SECOND)),
        ]
        for idempotent, now, choice, connection, close in cases:
            with self.subTest(idempotent=idempotent, now=now):
                _, decision = self.pool.choose(idempotent, now)
                self.assertIs(decision.choice, choice)
                self.assertEqual((decision.connection_id, decision.close), (connection, close))

    def test_a_silent_connection_makes_others_suspect(self) -> None:
        """One silent connection makes all others suspect, so the next request uses a new one."""
        pool, close = self.pool.silent(THIRD, newest=THIRD, now=1.5)
        self.assertEqual(close, (FIRST, SECOND))
        self.assertIs(pool.choose(True, 1.5)[1].choice, ConnectionChoice.OPEN)
        same, close = pool.silent(SECOND, newest=THIRD, now=1.6)
        self.assertEqual((same, close), (pool, ()))
        self.assertEqual(pool.answered(FIRST, 1.7), (pool, (FIRST,)))

    def test_a_path_whose_new_connections_are_silent_is_quarantined(self) -> None:
        """Handshakes succeed but requests get no answer; only a few requests may be lost to it."""
        pool, _ = self.pool.silent(SECOND, newest=SECOND, now=10.0)
        pool, _ = pool.opened().silent(THIRD, newest=THIRD, now=15.0)
        self.assertIs(pool.state, PathState.SILENT)
        _, refused = pool.choose(False, 15.1)
        self.assertIs(refused.choice, ConnectionChoice.QUARANTINED)
        self.assertAlmostEqual(refused.retry_after, TERMS.min_quarantine_seconds - 0.1)
        trial, decision = pool.choose(False, 15.5)
        self.assertIs(decision.choice, ConnectionChoice.OPEN)
        during, refused = trial.opened().choose(False, 15.6)
        self.assertIs(refused.choice, ConnectionChoice.QUARANTINED)
        healed, _ = during.answered(ConnectionId(4), 15.7)
        self.assertIs(healed.choose(False, 15.8)[1].choice, ConnectionChoice.REUSE)

    def test_a_path_that_can_not_be_opened_backs_off(self) -> None:
        """A target is unreachable: no request was sent, and new attempts back off exponentially."""
        pool = ConnectionPool(TERMS)
        waits = []
        for _ in range(8):
            pool = pool.open_failed(100.0)
            waits.append(pool.choose(False, 100.0)[1].retry_after)
        self.assertEqual(waits, [0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        self.assertIs(pool.opened().choose(False, 100.0)[1].choice, ConnectionChoice.OPEN)

    def test_the_pool_is_bounded(self) -> None:
        """The number of idle connections is limited, since they count against the contract."""
        pool = ConnectionPool(TERMS)
        for number in range(1, TERMS.max_idle_connections + 1):
            pool, close = pool.answered(ConnectionId(number), 0.0)
            self.assertEqual(close, ())
        pool, close = pool.answered(ConnectionId(99), 0.0)
        self.assertEqual((len(pool.idle), close), (TERMS.max_idle_connections, (FIRST,)))
        self.assertEqual(len(pool.closed(SECOND).idle), TERMS.max_idle_connections - 1)


class ConnectionPoolMachine(RuleBasedStateMachine):
    """Generated histories of a path on which all traffic may be dropped silently at any time.

    The number of requests lost to one silence is bounded: those already in flight, as many on new
    connections, and then one per quarantine.
    """

    SLOTS = 3

    def __init__(self) -> None:
        """Start with a working path and an empty pool."""
        super().__init__()
        self.pool = ConnectionPool(TERMS)
        self.now = 0.0
        self.newest = 0
        self.waiting: dict[ConnectionId, float] = {}
        self.silent_ids: set[ConnectionId] = set()
        self.drops_traffic = False
        self.lost = 0
        self.allowed_to_lose = 0.0

    @precondition(lambda self: len(self.waiting) < self.SLOTS)
    @rule(idempotent=st.booleans())
    def request(self, idempotent: bool) -> None:
        """Choose a connection for a request and send it."""
        self.pool, decision = self.pool.choose(idempotent, self.now)
        if decision.choice is ConnectionChoice.QUARANTINED:
            assert (
                0 < decision.retry_after <= max(TERMS.max_quarantine_seconds, TERMS.silence_seconds)
            )
            return
        connection = decision.connection_id
        if connection is None:
            self.newest += 1
            connection = ConnectionId(self.newest)
            self.pool = self.pool.opened()
        assert connection not in self.waiting
        self.waiting[connection] = self.now
        if self.drops_traffic:
            self.silent_ids.add(connection)
        if connection in self.silent_ids:
            self.lost += 1

    @precondition(lambda self: set(self.waiting) - self.silent_ids)
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """One request is answered, in any order."""
        connection = data.draw(st.sampled_from(sorted(set(self.waiting) - self.silent_ids)))
        del self.waiting[connection]
        self.pool, _ = self.pool.answered(connection, self.now)
        if not self.drops_traffic:
            assert connection <= self.pool.suspected_up_to or self.pool.failures == 0

    @rule(seconds=st.sampled_from([0.1, 0.5, TERMS.trusted_seconds, TERMS.silence_seconds, 30.0]))
    def time_passes(self, seconds: float) -> None:
        """Advance the clock and report requests that time out, oldest first."""
        end = self.now + seconds
        for connection, sent_at in sorted(self.waiting.items(), key=lambda item: item[1]):
            if sent_at + TERMS.silence_seconds <= end and connection in self.silent_ids:
                self.now = max(self.now, sent_at + TERMS.silence_seconds)
                del self.waiting[connection]
                newest = ConnectionId(self.newest)
                self.pool, _ = self.pool.silent(connection, newest, self.now)
        self.now = end
        if self.drops_traffic:
            self.allowed_to_lose += seconds / TERMS.silence_seconds

    @precondition(lambda self: not self.drops_traffic)
    @rule()
    def go_silent(self) -> None:
        """From now on the path drops all traffic except handshakes."""
        self.drops_traffic = True
        self.silent_ids = {ConnectionId(number) for number in range(1, self.newest + 1)}
        self.lost = len(self.waiting)
        self.allowed_to_lose = 2.0 * self.SLOTS + 1

    @precondition(lambda self: self.drops_traffic)
    @rule()
    def new_connections_work(self) -> None:
        """New connections work from now on; the open connections stay silent."""
        self.drops_traffic = False

    @precondition(lambda self: not self.waiting)
    @rule()
    def burst(self) -> None:
        """Send requests on all slots at once, and answer the ones on working connections."""
        for _ in range(self.SLOTS):
            self.request(idempotent=False)
        for connection in set(self.waiting) - self.silent_ids:
            del self.waiting[connection]
            self.pool, _ = self.pool.answered(connection, self.now)

    @rule()
    def steady_load(self) -> None:
        """Send requests continuously, regardless of the outcome of earlier ones."""
        for _ in range(40):
            if len(self.waiting) < self.SLOTS:
                self.request(idempotent=False)
            self.time_passes(0.5)
            for connection in set(self.waiting) - self.silent_ids:
                del self.waiting[connection]
                self.pool, _ = self.pool.answered(connection, self.now)

    @invariant()
    def as_many_connections_as_slots(self) -> None:
        """The pool never needs more connections than there are slots."""
        assert len(self.pool.idle) + len(self.waiting) <= self.SLOTS

    @invariant()
    def lost_requests_are_bounded(self) -> None:
        """The number of requests lost to a silence never exceeds the bound."""
        if self.drops_traffic:
            assert self.lost <= self.allowed_to_lose, (self.lost, self.allowed_to_lose)


ConnectionPoolMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=20)
ConnectionPoolMachineTest = ConnectionPoolMachine.TestCase

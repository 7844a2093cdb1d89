"""Each check of histories reports the fault that it is meant to detect."""

import unittest
from collections.abc import Iterator
from dataclasses import replace

from ... import IdempotencyKey, TargetId
from .history_checks import (
    Call,
    CallEnd,
    ExecutorRun,
    Freeze,
    History,
    cut_off,
    runs_after,
    violations,
)

KEY = IdempotencyKey("k")
TARGET = TargetId("t")
GOOD = Call(KEY, "e1", 0.0, 0.5, 1.0, CallEnd.ANSWERED, 200, "answered", None, "mine", "mine")
REFUSED = replace(GOOD, status=503, verdict="not-run", retry_after="1", body="")
LOST = replace(GOOD, status=502, verdict="may-have-run", retry_after="1", body="")
RUN = ExecutorRun(TARGET, KEY, 0.1)


def history(*calls: Call, runs: tuple[ExecutorRun, ...] = (RUN,), busy: int = 1) -> History:
    """A history with one executor of one slot."""
    return History(calls, runs, {TARGET: busy}, slots=1)


def broken_histories() -> Iterator[tuple[str, History, str]]:
    """Yield histories with one fault each: a name, the history and a part of the report."""
    yield "second run", history(GOOD, runs=(RUN, RUN)), "ran 2 times"
    yield "false not run", history(REFUSED), "ran at"
    yield "false not connected", history(replace(REFUSED, end=CallEnd.NOT_CONNECTED)), "ran at"
    yield "answer out of nothing", history(GOOD, runs=()), "never ran"
    yield "another's answer", history(replace(GOOD, body="yours")), "wrong or incomplete"
    yield "truncated answer", history(replace(GOOD, body="mi")), "wrong or incomplete"
    yield "no verdict", history(replace(GOOD, verdict="")), "no verdict"
    yield "no retry after", history(
        replace(REFUSED, retry_after=None), runs=()
    ), "no Retry-After header"
    yield "past the deadline", history(replace(GOOD, ended_at=9.0)), "took 9.0 s"
    crowded = replace(history(GOOD), most_connections={TARGET: 3}, connections=2)
    yield "over connections", crowded, "3 connections open"
    yield "over slots", history(GOOD, busy=2), "2 at a time"


class HistoryChecksTest(unittest.TestCase):
    """Guards against checks that pass because they detect nothing."""

    def test_faults_are_found(self) -> None:
        """A history with one fault yields exactly one violation, which describes the fault."""
        for name, broken, expected in broken_histories():
            with self.subTest(name):
                reported = violations(broken)
                self.assertEqual(len(reported), 1, reported)
                self.assertIn(expected, reported[0])

    def test_good_histories_pass(self) -> None:
        """Refusals, and calls that may have run whether or not they ran, are no violations."""
        late = replace(GOOD, ended_at=9.0)
        frozen = replace(history(late), freezes=(Freeze("e1", 0.4, 8.0),))
        for good in (
            history(GOOD),
            history(REFUSED, runs=()),
            history(LOST),
            history(LOST, runs=()),
            history(LOST, REFUSED),
            history(replace(LOST, end=CallEnd.BROKEN), REFUSED),
            frozen,
        ):
            with self.subTest(good=good):
                self.assertEqual(violations(good), [])

    def test_leaving_and_planned_stops(self) -> None:
        """Late runs on a leaving target and broken calls are reported."""
        self.assertEqual(len(list(runs_after(history(GOOD), TARGET, 0.05))), 1)
        self.assertEqual(list(runs_after(history(GOOD), TARGET, 0.2)), [])
        self.assertEqual(len(list(cut_off([GOOD, replace(LOST, end=CallEnd.BROKEN)]))), 1)

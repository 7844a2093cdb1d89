"""Takeovers while executors are leaving.

Load: all instances restart while some of many executors, already emptied, are being taken away.
"""

import unittest
from collections.abc import Iterable
from dataclasses import replace

from ....._ids import ExecutorId
from ... import (
    ExecutorRegistration,
    OwnershipSettings,
    PolicySettings,
    Scheduler,
)
from ...tests.builders_jobs import START_MS, TERMS, OwnerUnderTest, job, registration, table

A = "00000000000000aa"
NAMES = ("i-0", "i-1", "i-2")
LEAVING = "i-2"


def _owner(*executors: str) -> OwnerUnderTest:
    """Return an owner with these executors that leaves emptied ones out of its list."""
    owner = OwnerUnderTest()
    policies = PolicySettings(ownership=OwnershipSettings(leave_out_emptied=True))
    owner.scheduler = Scheduler(replace(TERMS, policies=policies))
    owner.scheduler.configure(table())
    for name in executors:
        owner.scheduler.register(registration(name), owner.now)
    owner.store()
    for name in executors:
        owner.poll(name)
    return owner


def _drain(owner: OwnerUnderTest, name: str) -> None:
    owner.scheduler.register(replace(registration(name), draining=True), owner.now)
    owner.tick(0.1)


def _stored(owner: OwnerUnderTest) -> set[str]:
    """Store the list of executors, and return the names in it."""
    executors = owner.scheduler.take_changed_executors()
    assert executors is not None
    owner.scheduler.executors_stored(executors)
    return {str(each.executor) for each in executors}


class EmptiedExecutorsTest(unittest.TestCase):
    """Successors don't wait for executors on which nothing can run."""

    def _successor(
        self, stored: Iterable[str], registered: Iterable[ExecutorRegistration]
    ) -> OwnerUnderTest:
        successor = _owner()
        successor.scheduler.recover(
            [(job(A), None)],
            list(registered),
            [registration(name) for name in stored],
            successor.now,
            START_MS,
        )
        return successor

    def test_a_silent_executor_that_was_emptied_holds_no_task(self) -> None:
        """Guards against all tasks waiting eight seconds for executors that have left."""
        owner = _owner(*NAMES)
        _drain(owner, LEAVING)
        stored = _stored(owner)
        self.assertEqual(stored, {"i-0", "i-1"})
        successor = self._successor(stored, map(registration, ("i-0", "i-1")))
        successor.poll("i-0")
        successor.poll("i-1")
        self.assertEqual(len(successor.place()), 1)

    def test_an_emptied_executor_that_is_still_registered_holds_no_task(self) -> None:
        """Guards against waiting for the registration of an executor that has just left."""
        gone = replace(registration(LEAVING), draining=True)
        successor = self._successor(("i-0",), (registration("i-0"), gone))
        successor.poll("i-0")
        self.assertEqual(len(successor.place()), 1)

    def test_without_a_stored_list_every_executor_is_waited_for(self) -> None:
        """Guards against a second run of a task on a leaving executor that was never listed."""
        gone = replace(registration(LEAVING), draining=True)
        successor = self._successor((), (registration("i-0"), gone))
        successor.poll("i-0")
        self.assertEqual(successor.place(), [])

    def test_a_leaving_executor_with_a_run_stays_listed(self) -> None:
        """Guards against a second run of a task whose first run a leaving executor still has."""
        owner = _owner(LEAVING)
        owner.scheduler.accept(job(A), START_MS)
        self.assertEqual(len(owner.place()), 1)
        _drain(owner, LEAVING)
        self.assertIsNone(owner.scheduler.take_changed_executors())

    def test_an_unanswered_start_keeps_a_leaving_executor_listed(self) -> None:
        """Guards against a start that arrives late at an executor that nobody waits for."""
        owner = _owner(LEAVING)
        owner.scheduler.accept(job(A), START_MS)
        self.assertEqual(len(owner.send()), 1)
        _drain(owner, LEAVING)
        self.assertIsNone(owner.scheduler.take_changed_executors())

    def test_an_executor_that_returns_gets_work_only_once_it_is_stored(self) -> None:
        """Guards against runs on an executor that no successor would wait for."""
        owner = _owner(LEAVING)
        _drain(owner, LEAVING)
        self.assertEqual(_stored(owner), set())
        owner.scheduler.accept(job(A), START_MS)
        owner.scheduler.register(registration(LEAVING), owner.now)
        owner.store_answers = False
        self.assertEqual(owner.place(), [])
        owner.store_answers = True
        self.assertEqual(len(owner.place()), 1)

    def test_an_executor_that_this_owner_has_not_reached_stays_listed(self) -> None:
        """Guards against leaving out an executor that may run tasks of an earlier owner."""
        leaving = replace(registration(LEAVING), draining=True)
        successor = self._successor((LEAVING,), (leaving,))
        successor.tick(0.1)
        self.assertEqual(_stored(successor), {LEAVING})
        self.assertIn(ExecutorId(LEAVING), successor.scheduler.executors)

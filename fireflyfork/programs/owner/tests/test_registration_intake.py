"""Starts of an owner whose knowledge of its executors' registrations is old.

Load: a takeover of thousands of executors, whose recovery takes seconds, and an outage of the store.
"""

import unittest
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ....decisions.jobs import Scheduler
from ....decisions.jobs.tests.builders_jobs import SERVICE, TERMS
from ..._metrics import Metrics
from .._registration_intake import RegistrationIntake
from .builders_owner import NODE

OLD_SECONDS = 4.0
"""Age of the listing of registrations, from which a recovery has continued."""


class _Stage:
    """An owner that has just recovered from an old listing of registrations."""

    def __init__(self) -> None:
        self.store = StandInStore(Random(1))
        self.clock = VirtualClock()
        self.scheduler = Scheduler(TERMS)
        self.metrics = Metrics()
        self.intake = RegistrationIntake(
            self.store.client(NODE),
            self.scheduler,
            SERVICE,
            self.clock,
            lambda _: None,
            lambda: None,
            self.metrics,
        )

    def may_start(self) -> bool:
        """Whether the owner may start tasks now."""
        self.intake.update_age()
        return self.scheduler.start_validity_ms(self.clock.now()) > 0

    async def starts_allowed_after(self, store_silent: bool) -> list[tuple[float, bool]]:
        """Return whether starts are allowed some seconds after the owner began to follow changes."""
        allowed = []
        if store_silent:
            self.store.trouble.silent.add(NODE)
        async with trio.open_nursery() as nursery:
            listed_at = self.clock.now() - OLD_SECONDS
            nursery.start_soon(self.intake.follow, listed_at, self.store.revision)
            for seconds in (0.001, 0.2, 1.0, 5.0):
                await trio.sleep(seconds)
                allowed.append((seconds, self.may_start()))
            nursery.cancel_scope.cancel()
        return allowed


def _play(store_silent: bool) -> list[tuple[float, bool]]:
    return trio.run(
        _Stage().starts_allowed_after, store_silent, clock=MockClock(autojump_threshold=0)
    )


class RegistrationIntakeTest(unittest.TestCase):
    """An owner starts nothing on executors that may have announced their shutdown long ago."""

    def test_an_owner_waits_for_the_changes_since_an_old_listing(self) -> None:
        """Guards against starts on executors that began to leave during a long recovery."""
        allowed = _play(store_silent=False)
        self.assertEqual(allowed, [(0.001, False), (0.2, True), (1.0, True), (5.0, True)])

    def test_an_owner_does_not_wait_for_a_store_that_is_away(self) -> None:
        """Guards against a service that an outage of the store stops."""
        allowed = _play(store_silent=True)
        self.assertEqual(allowed, [(0.001, False), (0.2, False), (1.0, True), (5.0, True)])

"""Tests with two instances that both consider themselves the owner, each with executors that only it
can reach."""

import unittest

from fireflyfork.decisions.jobs.tests.builders_jobs import job, step

from .builders_split import play_split

A = "00000000000000aa"


class SplitTest(unittest.TestCase):
    """An owner is cut off from the store and some executors, and only it can reach the others."""

    def test_tasks_that_the_successor_keeps_alive_are_not_started_again(self) -> None:
        """The network between two regions is partitioned, and the owner is cut off from the store. Its
        successor takes over the executors on the store's side, renews their leases and receives their
        ends. An owner that ignores renewals by a successor considers the leases that it granted itself
        as the last ones. It starts all of these tasks again when those leases would have expired.
        """
        for seed in range(6):
            with self.subTest(seed):
                spec = job(A, step(count=12, estimate_ms=1500))
                history = play_split(seed, spec, split_seconds=8.0, after_seconds=20.0)
                self.assertEqual(history.violations, [])
                self.assertEqual(len(history.done_tasks(spec.job)), 12)

    def test_nothing_runs_twice_however_long_the_split_lasts(self) -> None:
        """Tasks take longer than a lease. The successor waits until the leases of the executors that it
        can't reach must have expired, and starts their tasks elsewhere. A former owner that keeps
        starting tasks on its side runs the same ones again, each for the second that a start is valid
        without a renewal.
        """
        for seed in range(6):
            with self.subTest(seed):
                spec = job(A, step(count=4, estimate_ms=20_000))
                history = play_split(seed, spec, split_seconds=30.0, after_seconds=60.0)
                self.assertEqual(history.violations, [])
                self.assertEqual(len(history.done_tasks(spec.job)), 4)

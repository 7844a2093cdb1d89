"""Two instances that both take themselves for the owner, each with executors that only it reaches."""

import unittest

from fireflyfork.decisions.jobs.tests.builders_jobs import job, step

from .builders_split import play_split

A = "00000000000000aa"


class SplitTest(unittest.TestCase):
    """An owner is cut off from the store and from some executors, and keeps the others to itself."""

    def test_tasks_that_the_successor_keeps_alive_are_not_started_again(self) -> None:
        """Two regions lose each other. The owner is cut off from the store; its successor takes over the
        executors on the store's side, renews their leases and hears of their ends. The owner took the
        leases that it had granted itself for the last ones, and started all of their tasks a second time
        when those would have lapsed.
        """
        for seed in range(6):
            with self.subTest(seed):
                spec = job(A, step(count=12, estimate_ms=1500))
                history = play_split(seed, spec, split_seconds=8.0, after_seconds=20.0)
                self.assertEqual(history.violations, [])
                self.assertEqual(len(history.done_tasks(spec.job)), 12)

    def test_nothing_runs_twice_however_long_the_split_lasts(self) -> None:
        """The same with tasks that take longer than a lease: the successor waits until the leases on the
        executors that it can't reach must be over, and starts their tasks elsewhere. The owner went on
        starting the same ones there, each for the second that a start is valid by itself.
        """
        for seed in range(6):
            with self.subTest(seed):
                spec = job(A, step(count=4, estimate_ms=20_000))
                history = play_split(seed, spec, split_seconds=30.0, after_seconds=60.0)
                self.assertEqual(history.violations, [])
                self.assertEqual(len(history.done_tasks(spec.job)), 4)

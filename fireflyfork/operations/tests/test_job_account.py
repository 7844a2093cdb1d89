"""Tests of the accounts of late jobs."""

import unittest

from ..._job_samples import in_sample
from .. import Cause, account_jobs, late_jobs_by_phase, summarize
from .builders_job_logs import accepted, ended, line, over, sent

OWNED = line(0.0, "took ownership")


class AccountTest(unittest.TestCase):
    """The split of a job's time by cause."""

    def test_each_cause(self) -> None:
        for name, lines, expected in (
            (
                "found a place at once",
                (sent(1.1), ended(3.1), over(3.2, 2.2, 1.0)),
                {Cause.WAITED: 0.1, Cause.RAN: 2.0, Cause.STORED: 0.1},
            ),
            (
                "waited beside services that it would slow",
                (sent(5.0, waited_for="would disturb services"), ended(6.0), over(6.0, 5.0, 1.0)),
                {Cause.DISTURBS: 4.0, Cause.RAN: 1.0},
            ),
            (
                "waited for the rack of its data",
                (sent(2.0, waited_for="executors near its data"), ended(3.0), over(3.0, 2.0, 1.0)),
                {Cause.NEAR_DATA: 1.0, Cause.RAN: 1.0},
            ),
            (
                "waited while few tasks of its step were tried",
                (
                    sent(2.0, waited_for="few tasks of its step are tried"),
                    ended(3.0),
                    over(3.0, 2.0, 1.0),
                ),
                {Cause.TRIAL: 1.0, Cause.RAN: 1.0},
            ),
            (
                "ran at a lower pace",
                (sent(1.0), ended(6.0, pace=30), over(6.0, 5.0, 1.0)),
                {Cause.PACED: 5.0},
            ),
            (
                "its first run failed",
                (
                    sent(1.0),
                    ended(2.0, reason="failed"),
                    sent(2.5, attempt=2, waited_for="no memory"),
                    ended(4.0, attempt=2),
                    over(4.0, 3.0, 1.0),
                ),
                {Cause.REPEATED: 1.0, Cause.MEMORY: 0.5, Cause.RAN: 1.5},
            ),
            (
                "the slowest task of each step counts",
                (
                    sent(1.0),
                    sent(1.0, "a1.0.0.1"),
                    ended(2.0),
                    ended(3.0, "a1.0.0.1"),
                    sent(3.0, "a1.0.1.0"),
                    ended(4.0, "a1.0.1.0"),
                    over(4.0, 3.0, 1.0),
                ),
                {Cause.RAN: 3.0},
            ),
        ):
            with self.subTest(name):
                (account,) = account_jobs((OWNED, accepted(1.0), *lines)).jobs
                split = {cause: round(time, 3) for cause, time in account.seconds.items()}
                self.assertEqual(split, expected)
                self.assertTrue(account.late)
                self.assertAlmostEqual(sum(split.values()), account.age_seconds)

    def test_time_without_an_owner(self) -> None:
        """Guards against time without an owner that is attributed to the last reason to wait."""
        lines = (
            OWNED,
            accepted(0.5, job="b2"),
            sent(1.0, "b2.0.0.0"),
            accepted(1.2),
            line(3.0, "took ownership"),
            sent(3.1),
            ended(4.0),
            over(4.0, 2.8, 1.0),
        )
        account = next(account for account in account_jobs(lines).jobs if account.job == "a1")
        self.assertAlmostEqual(account.seconds[Cause.NO_OWNER], 1.8)
        self.assertAlmostEqual(account.seconds[Cause.WAITED], 0.1)

    def test_a_job_that_was_never_placed_is_late(self) -> None:
        (account,) = account_jobs((OWNED, accepted(1.0), line(9.0, "serving"))).jobs
        self.assertTrue(account.late)
        self.assertEqual(account.main_cause, Cause.NEVER_PLACED)
        self.assertAlmostEqual(account.seconds[Cause.NEVER_PLACED], 8.0)

    def test_long_running_jobs_are_left_out(self) -> None:
        lines = (OWNED, accepted(1.0), sent(1.1), ended(5.0, reason="stopped"), line(9.0, "x"))
        self.assertEqual(account_jobs(lines).jobs, ())

    def test_other_lines_are_skipped(self) -> None:
        lines = ("starting", "{broken", "12.3 n-1 " + accepted(1.0), '{"time": "x", "message": ""}')
        self.assertEqual([account.job for account in account_jobs(lines).jobs], ["a1"])


class SampleTest(unittest.TestCase):
    """Logs of an owner that was too busy to log all its decisions."""

    def test_only_jobs_that_were_logged_whole_are_accounted_for(self) -> None:
        """Guards against jobs reported as never placed because lines of their tasks are missing."""
        jobs = [f"a{number}" for number in range(64)]
        busy = (line(0.5, "decisions not logged", lines=900, share=share) for share in (0.5, 0.25))
        accounts = account_jobs((OWNED, *(accepted(1.0, job) for job in jobs), *busy))
        self.assertEqual(accounts.share, 0.25)
        expected = [job for job in jobs if in_sample(job, 0.25)]
        self.assertEqual([account.job for account in accounts.jobs], expected)


class SummaryTest(unittest.TestCase):
    """Tests of the sums over late jobs."""

    def test_late_jobs_by_queue_and_cause_and_by_phase(self) -> None:
        lines = [OWNED]
        for number, begin in enumerate((1.0, 2.0, 7.0)):
            job = f"a{number}"
            task = f"{job}.0.0.0"
            lines += [accepted(begin, job), sent(begin + 3, task, waited_for="no memory")]
            lines += [
                ended(begin + 4, task),
                over(begin + 4, 4.0, 5.0 if number == 1 else 1.0, job),
            ]
        accounts = account_jobs(lines).jobs
        (row,) = summarize(accounts)
        self.assertEqual((row.queue, row.cause, row.jobs), ("quotes", Cause.MEMORY, 2))
        self.assertAlmostEqual(row.seconds, 6.0)
        self.assertEqual(
            late_jobs_by_phase(accounts), {0.0: {Cause.MEMORY: 1}, 5.0: {Cause.MEMORY: 1}}
        )

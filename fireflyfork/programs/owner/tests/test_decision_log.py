"""Log lines and metrics of the owner's decisions."""

import unittest

from loguru import logger

from ...._ids import ExecutorId, JobId, TaskName
from ....decisions.jobs import (
    EndReason,
    ExecutorGivenUp,
    FailureSuspicion,
    JobOver,
    JobState,
    Note,
    ReservationDropped,
    ReservationMade,
    ReservationOutcome,
    RunEnded,
    RunEndEvidence,
    RunStraggling,
    ShareId,
    ShareWaits,
    StepOnTrial,
    TaskSent,
    WaitReason,
)
from ..._clocks import Clock
from ..._metrics import Metrics
from .._decision_log import MAX_LINES_PER_SECOND, DecisionLog

TASK = TaskName("00000000000000aa.0.0.0")
EXECUTOR = ExecutorId("i-0")


class _ManualClock(Clock):
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        return self.seconds

    def unix_ms(self) -> int:
        return 0


class DecisionLogTest(unittest.TestCase):
    """Lines are limited, counters are not."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        logger.remove()
        logger.add(self.lines.append, format="{message} {extra}")
        self.clock, self.metrics = _ManualClock(), Metrics()
        self.log = DecisionLog(self.clock, "desk", self.metrics)

    def test_each_kind_is_counted(self) -> None:
        for note, line in (
            (
                TaskSent(
                    TASK, 1, EXECUTOR, 7, 40, 10, 0, WaitReason.NOTHING, RunEndEvidence.NO_RUN
                ),
                'fireflyfork_tasks_sent_total{again="false"} 1',
            ),
            (
                RunEnded(TASK, 1, EXECUTOR, EndReason.DONE, 100),
                'fireflyfork_runs_ended_total{reason="done"} 1',
            ),
            (
                JobOver(JobId("00000000000000aa"), JobState.COMPLETED, 900, 1000),
                'fireflyfork_jobs_over_total{in_time="true",state="completed"} 1',
            ),
            (
                ExecutorGivenUp(EXECUTOR, 7, 3, RunEndEvidence.LEASE_LAPSED),
                "fireflyfork_runs_given_up_total 3",
            ),
            (
                FailureSuspicion("rack", "suva/r0", True, 0.6, 0.05),
                'fireflyfork_avoided_for_failures_total{kind="rack"} 1',
            ),
            (
                StepOnTrial(JobId("00000000000000aa"), 0, 0.7),
                "fireflyfork_steps_on_trial_total 1",
            ),
            (
                RunStraggling(TASK, 1, EXECUTOR, 20, 1000, True, True, 0.2),
                'fireflyfork_stragglers_total{judged_by="peers"} 1',
            ),
            (
                JobOver(JobId("00000000000000aa"), JobState.COMPLETED, 1900, 1000, "q", 10),
                'fireflyfork_jobs_by_size_total{outcome="late",queue="q",size="largest_tenth"} 1',
            ),
            (
                ReservationMade(JobId("00000000000000aa"), EXECUTOR, 1, 900, 100),
                "fireflyfork_reservations_made_total 1",
            ),
            (
                ReservationDropped(JobId("00000000000000aa"), EXECUTOR, ReservationOutcome.USED),
                'fireflyfork_reservations_dropped_total{reason="used"} 1',
            ),
            (
                ShareWaits(ShareId("q"), 0.5, 3, 900),
                'fireflyfork_share_longest_wait_seconds_count{share="q"} 1',
            ),
        ):
            with self.subTest(line):
                self.log.write([note])
                self.assertIn(line, self.metrics.text())

    def test_many_decisions_are_all_counted_and_partly_logged(self) -> None:
        """Guards against a flood of log lines, and against lines that are left out without notice.

        When many jobs are cancelled at once, a line for each would use up the processor time that
        their callers need. Without a line about the missing ones, readers would take the log for
        complete.
        """
        notes: list[Note] = [RunEnded(TASK, 1, EXECUTOR, EndReason.STOPPED, 100)] * (
            MAX_LINES_PER_SECOND + 50
        )
        self.log.write(notes)
        self.assertEqual(len(self.lines), MAX_LINES_PER_SECOND)
        self.clock.seconds += 1.0
        self.log.write(notes[:1])
        self.assertIn("'lines': 50", self.lines[MAX_LINES_PER_SECOND])
        total = f'fireflyfork_runs_ended_total{{reason="stopped"}} {len(notes) + 1}'
        self.assertIn(total, self.metrics.text())

    def test_a_busy_owner_logs_some_jobs_whole(self) -> None:
        """Guards against logs with a part of every job, which explain none."""
        jobs = [f"{number:016x}" for number in range(4 * MAX_LINES_PER_SECOND)]
        self._play(jobs, seconds=5)
        self.lines.clear()
        self._play(jobs, seconds=1)
        logged = [sum(job in line for line in self.lines) for job in jobs]
        self.assertGreater(logged.count(2), MAX_LINES_PER_SECOND / 8)
        self.assertEqual(logged.count(1), 0)

    def test_once_it_is_calm_again_all_jobs_are_logged(self) -> None:
        """Guards against one busy moment after which an owner logs hardly anything."""
        self._play([f"{number:016x}" for number in range(4 * MAX_LINES_PER_SECOND)], seconds=5)
        few = [f"{number:016x}" for number in range(10)]
        self._play(few, seconds=200)
        self.lines.clear()
        self._play(few, seconds=1)
        self.assertEqual(len(self.lines), 2 * len(few))

    def _play(self, jobs: list[str], seconds: int) -> None:
        """End a task of each job and then the job, once in each second."""
        for _ in range(seconds):
            self.clock.seconds += 1.0
            for job in jobs:
                task = TaskName(f"{job}.0.0.0")
                self.log.write([RunEnded(task, 1, EXECUTOR, EndReason.DONE, 100)])
                self.log.write([JobOver(JobId(job), JobState.COMPLETED, 900, 1000)])

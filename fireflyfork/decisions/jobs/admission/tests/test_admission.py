"""Which jobs are refused for given figures, and when their callers should return.

The load: several times as much work as can be done while it is of use, with 64 cores.
"""

import unittest
from dataclasses import replace

from ...tests.builders_jobs import START_MS, step
from .. import Admission, RoomRow, WorkFigures, WorkRow, decode_figures, encode_figures
from .._figures import MAX_ROOM_ROWS, largest_rooms
from .._refused_jobs import MAX_JOBS, RefusedJob, RefusedJobs
from .builders_admission import (
    LARGE,
    MARGIN,
    MAX_AGE_MS,
    URGENT,
    figures_of,
    large_job,
    queue_of,
    urgent_job,
)

BACKLOG = figures_of((40, large_job(900)))
"""25 s of work for all cores, where a large job is of use for 15 s."""


def _decide(figures: WorkFigures | None, age_ms: float = 0.0, **changes: object) -> bool:
    spec = replace(large_job(1), **changes)  # type: ignore[arg-type]
    admission = Admission(MARGIN, MAX_AGE_MS)
    return admission.decide(spec, queue_of(spec), figures, age_ms, START_MS).admitted


class AdmissionTest(unittest.TestCase):
    """A job is refused only if figures show that it can't be of use."""

    def test_a_job_behind_too_much_work_is_refused(self) -> None:
        self.assertFalse(_decide(BACKLOG))
        self.assertTrue(_decide(figures_of((12, large_job(900)))))

    def test_missing_and_old_figures_let_in(self) -> None:
        """Guards against refusals for load that is over, when the owner or the store is gone."""
        self.assertTrue(_decide(None))
        self.assertTrue(_decide(BACKLOG, age_ms=MAX_AGE_MS + 1))

    def test_a_service_without_executors_lets_in(self) -> None:
        """Guards against refusing everything after a change of owner or while none answers."""
        self.assertTrue(_decide(replace(BACKLOG, rate=0.0)))

    def test_room_for_a_first_task_lets_in(self) -> None:
        self.assertTrue(_decide(replace(BACKLOG, room=(RoomRow(2000, 1000, 0),))))
        self.assertFalse(_decide(replace(BACKLOG, room=(RoomRow(1999, 1000, 0),))))

    def test_long_running_and_scheduled_jobs_are_let_in(self) -> None:
        """Guards against refusing a service, which waits for its room."""
        self.assertTrue(_decide(BACKLOG, steps=(step(long_running=True),)))
        self.assertTrue(_decide(BACKLOG, repetitions=3))

    def test_jobs_on_cores_that_others_leave_idle_are_let_in(self) -> None:
        """Guards against refusing work that takes no room from anything."""
        self.assertTrue(_decide(BACKLOG, steps=(step(uses_leftover_cpu=True),)))

    def test_a_step_wider_than_the_fleet_is_not_refused_for_its_own_turns(self) -> None:
        """Guards against refusing a job by a time that its objective allows for."""
        wide = step(count=500, cpu_millis=1000, estimate_ms=2000)
        self.assertTrue(_decide(figures_of((1, large_job(900))), steps=(wide,)))

    def test_work_done_since_the_figures_does_not_count(self) -> None:
        """Guards against refusals while executors are free, by work that is done by now."""
        five_seconds = figures_of((8, large_job(900)))
        short = replace(LARGE, stretch_factor=1.0, target_latency_ms=100)
        decide = Admission(MARGIN, MAX_AGE_MS).decide
        self.assertFalse(decide(large_job(1), short, five_seconds, 0.0, START_MS).admitted)
        self.assertTrue(decide(large_job(1), short, five_seconds, 1_900.0, START_MS).admitted)

    def test_less_urgent_work_does_not_count(self) -> None:
        admission = Admission(MARGIN, MAX_AGE_MS)
        self.assertTrue(admission.decide(urgent_job(1), URGENT, BACKLOG, 0, START_MS).admitted)

    def test_running_tasks_of_less_urgent_jobs_count(self) -> None:
        """Guards against counting on room that running tasks hold."""
        row = WorkRow("large", LARGE.priority, 26, 900e6, 640e6, 0.0)
        figures = replace(BACKLOG, rows=(row,))
        admission = Admission(MARGIN, MAX_AGE_MS)
        self.assertFalse(admission.decide(urgent_job(1), URGENT, figures, 0, START_MS).admitted)

    def test_a_late_job_is_placed_behind_what_arrives(self) -> None:
        """Guards against counting on a place in the queue that newer jobs take.

        The work ahead takes 12 s, but jobs that can still be in time arrive as fast as they are
        done and are placed first.
        """
        waiting = figures_of((18, large_job(900)))
        self.assertTrue(_decide(waiting))
        arriving = (waiting.rows[0]._replace(arriving=60_000.0),)
        self.assertFalse(_decide(replace(waiting, rows=arriving)))

    def test_jobs_let_in_since_the_figures_count(self) -> None:
        """Guards against letting all jobs of a burst into the room of one.

        Behind 10 + 10 jobs, 12.5 s of work, the eleventh ends after 14.5 s; a twelfth would be late.
        """
        admission = Admission(MARGIN, MAX_AGE_MS)
        admitted = 0
        for number in range(100):
            spec = large_job(number)
            if admission.decide(
                spec, LARGE, figures_of((10, large_job(900))), 0, START_MS
            ).admitted:
                admission.admit(spec, LARGE)
                admitted += 1
        self.assertEqual(admitted, 11)

    def test_a_newer_version_contains_the_jobs_let_in_before(self) -> None:
        admission = Admission(MARGIN, MAX_AGE_MS)
        figures = figures_of((10, large_job(900)))
        for number in range(20):
            admission.decide(large_job(number), LARGE, figures, 0, START_MS)
            admission.admit(large_job(number), LARGE)
        newer = replace(figures, number=2)
        self.assertTrue(admission.decide(large_job(99), LARGE, newer, 0, START_MS).admitted)


class ReturnTest(unittest.TestCase):
    """Callers return when room comes free, those who came first before newer ones."""

    def test_retry_after_is_when_enough_work_is_done(self) -> None:
        admission = Admission(MARGIN, MAX_AGE_MS)
        decision = admission.decide(large_job(1), LARGE, BACKLOG, 0, START_MS)
        self.assertEqual(decision.retry_seconds, 12)
        self.assertLess(decision.retry_seconds * 1000, decision.left_ms)

    def test_a_returning_caller_keeps_its_first_arrival(self) -> None:
        """Guards against jobs of no use that are placed before jobs that can be in time."""
        admission = Admission(MARGIN, MAX_AGE_MS)
        decision = admission.decide(large_job(1), LARGE, BACKLOG, 0, START_MS)
        admission.record_refusal(large_job(1), LARGE, decision, START_MS)
        returned = large_job(1, accepted_ms=START_MS + 12_000)
        self.assertEqual(admission.admit(returned, LARGE).accepted_ms, START_MS)

    def test_room_is_kept_for_who_came_first(self) -> None:
        """Guards against newer callers who take the room that others were told to return for."""
        admission = Admission(MARGIN, MAX_AGE_MS)
        for number in range(20):
            full = figures_of((22, large_job(900)))
            decision = admission.decide(large_job(number), LARGE, full, 0, START_MS)
            self.assertEqual(decision.retry_seconds, 1)
            admission.record_refusal(large_job(number), LARGE, decision, START_MS)
        now_ms = START_MS + 1_000
        figures = replace(figures_of((10, large_job(900))), number=2)
        newer = large_job(99, accepted_ms=now_ms)
        self.assertFalse(admission.decide(newer, LARGE, figures, 0, now_ms).admitted)
        first = large_job(0, accepted_ms=now_ms)
        self.assertTrue(admission.decide(first, LARGE, figures, 0, now_ms).admitted)

    def test_memory_is_bounded(self) -> None:
        jobs = RefusedJobs()
        for number in range(MAX_JOBS + 10):
            entry = RefusedJob(START_MS, 0, 10, 1.0, START_MS + 1000, START_MS + 5000)
            jobs.record(large_job(number).job, entry, START_MS)
        self.assertEqual(len(jobs), MAX_JOBS)
        late = RefusedJob(START_MS, 0, 10, 1.0, START_MS + 99_000, START_MS + 99_000)
        jobs.record(large_job(1).job, late, START_MS + 90_000)
        self.assertEqual(len(jobs), 1)


class FiguresTest(unittest.TestCase):
    """The form in which figures are stored."""

    def test_encoding(self) -> None:
        figures = replace(BACKLOG, room=(RoomRow(1, 2, 3),))
        self.assertEqual(decode_figures(encode_figures(figures)), figures)

    def test_many_different_rooms_never_hide_room(self) -> None:
        rooms = [RoomRow(1000 * n, 1000 * (40 - n), 0) for n in range(40)]
        rows = largest_rooms(rooms)
        self.assertEqual(len(rows), MAX_ROOM_ROWS)
        for room in rooms:
            task = step(cpu_millis=room.cpu_millis, memory_mb=room.memory_mb)
            self.assertTrue(any(row.fits(task) for row in rows))

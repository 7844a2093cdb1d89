"""Whole days of the scheduler's real code on the stand-in of the platform, judged by histories."""

import unittest
from unittest.mock import patch

from fireflyfork.decisions.jobs import ExecutorState, Scheduler
from fireflyfork.programs._job_requests import JobRequests
from fireflyfork_standins.scheduling import TROUBLES, Profile, Report, run_world

FAILED_BEFORE = (
    # An executor's clock was taken to be hours ahead, so its tasks were given away too early.
    (4, ("executor_cut",)),
    (5, ("executor_cut",)),
    # A poll still out removed the next life of an executor that had been given up.
    (2, ("executor_crash",)),
    (6, ("executor_crash",)),
    (105, ("freeze", "executor_crash")),
    # The stand-in took runs of two lives for one, and carried an order out in a process that was gone.
    (1139, TROUBLES),
    (1182, TROUBLES),
)


def _play(seed: int, troubles: tuple[str, ...] = ()) -> Report:
    return run_world(seed, Profile(troubles=troubles))


class DaysTest(unittest.TestCase):
    """No promise is broken, whatever happens."""

    def test_a_calm_day(self) -> None:
        report = _play(1)
        self.assertEqual(report.violations, [])
        self.assertEqual((report.refused, report.unsure), (0, 0))
        self.assertGreater(report.starts, 100)

    def test_each_kind_of_trouble(self) -> None:
        """Processes are killed, frozen and stopped, the store fails in its ways, and executors crash,
        hang, vanish or answer late. Callers still get what they were promised.
        """
        for kind in TROUBLES:
            with self.subTest(kind):
                report = _play(11, (kind,))
                self.assertEqual(report.violations, [])
                self.assertTrue(report.troubles)

    def test_all_kinds_together(self) -> None:
        """Several things go wrong at once, and again while the first is being mended."""
        for seed in range(20, 26):
            with self.subTest(seed):
                self.assertEqual(_play(seed, TROUBLES).violations, [])

    def test_jobs_that_are_long_over_leave_the_store(self) -> None:
        """Nothing removed jobs that had ended, so the store filled up, and each new owner read all
        jobs there ever were before it placed the first task.
        """
        kept = run_world(3, Profile())
        self.assertEqual(kept.keys_left, kept.accepted)
        removed = run_world(3, Profile(retention_seconds=-180.0, troubles=("kill",)))
        self.assertGreater(removed.accepted, 10)
        self.assertEqual(removed.keys_left, 0)

    def test_a_store_that_forgets_its_history_is_not_asked_in_a_loop(self) -> None:
        """The store drops its history. Candidates that go on asking for changes since the owner took
        over, long before that, are told each time that they are gone, and ask again at once: the
        store is busy with that, and its operators pay for every call.
        """
        calm, forgetful = _play(3), _play(3, ("store_forgets",))
        self.assertLess(forgetful.store_calls, calm.store_calls * 1.3)

    def test_days_that_broke_a_promise_once(self) -> None:
        """Each of these days showed a fault, in the scheduler or in the stand-in."""
        for seed, troubles in FAILED_BEFORE:
            with self.subTest(seed, troubles=troubles):
                self.assertEqual(_play(seed, troubles).violations, [])

    def test_a_seed_plays_the_same_day_again(self) -> None:
        self.assertEqual(_play(3, TROUBLES), _play(3, TROUBLES))


class ChecksTest(unittest.TestCase):
    """Each check finds the fault that it is for, when the fault is put in on purpose."""

    def _broken(self, seeds: range, troubles: tuple[str, ...]) -> set[str]:
        return {one.promise for seed in seeds for one in _play(seed, troubles).violations}

    def test_giving_tasks_away_before_a_lease_has_lapsed_runs_them_twice(self) -> None:
        with patch.object(ExecutorState, "lease_has_lapsed", lambda *_: True):
            self.assertIn("one at a time", self._broken(range(1, 6), ("executor_cut",)))

    def test_a_successor_that_waits_for_nobody_runs_tasks_twice(self) -> None:
        def recover(self: Scheduler, jobs, registrations, last_known, now, now_ms):  # type: ignore[no-untyped-def]
            real(self, jobs, registrations, last_known, now, now_ms)
            self._work.unreached.clear()
            self._work.release_held(now)

        real = Scheduler.recover
        with patch.object(Scheduler, "recover", recover):
            self.assertIn("one at a time", self._broken(range(1, 9), ("kill", "executor_cut")))

    def test_giving_room_away_before_an_end_is_listed_overfills_executors(self) -> None:
        def fits(self: ExecutorState, cpu_millis: int, memory_mb: int, accelerators: int) -> bool:
            free = self.registration.room.cpu_millis * 1.2 - self.used_cpu_millis
            return free >= cpu_millis

        with patch.object(ExecutorState, "fits", fits):
            self.assertIn("room", self._broken(range(1, 4), ()))

    def test_forgetting_ends_that_are_not_stored_runs_tasks_again(self) -> None:
        def forget(self: Scheduler) -> None:
            for executor in self.executors.values():
                executor.unstored_ends.clear()
                executor.forgettable_end = executor.seen_end

        def poll(self, executor, sent_at, answer, now, now_ms):  # type: ignore[no-untyped-def]
            real(self, executor, sent_at, answer, now, now_ms)
            forget(self)

        real = Scheduler.poll_answered
        with patch.object(Scheduler, "poll_answered", poll):
            broken = self._broken(range(1, 9), ("store_down", "kill"))
        self.assertIn("once", broken)

    def test_a_refusal_after_a_write_without_an_answer_is_not_true(self) -> None:
        from fireflyfork._errors import StoreRefusedError, StoreUnavailableError

        async def submit(self: JobRequests, spec) -> None:  # type: ignore[no-untyped-def]
            try:
                await real(self, spec)
            except StoreUnavailableError as error:
                raise StoreRefusedError(str(error)) from error

        real = JobRequests.submit
        with patch.object(JobRequests, "submit", submit):
            broken = self._broken(range(1, 12), ("store_lost", "kill_all", "store_down"))
        self.assertIn("not run", broken)

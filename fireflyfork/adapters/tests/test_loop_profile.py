"""Tests of the profile of the event loop's processor time."""

import unittest

import trio

from .. import LoopProfile


class _Worker:
    """Uses processor time of a simulated clock."""

    def __init__(self) -> None:
        self.used = 0.0
        self.profile = LoopProfile(lambda: self.used)

    def work(self, seconds: float) -> None:
        self.used += seconds

    async def poll(self) -> None:
        for _ in range(3):
            self.work(1.0)
            await trio.lowlevel.checkpoint()

    async def place(self) -> None:
        self.work(2.0)
        with self.profile.section("pricing"):
            self.work(5.0)
        await trio.lowlevel.checkpoint()
        self.work(3.0)


async def _run_all(worker: _Worker) -> None:
    with worker.profile.recording():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.poll)
            nursery.start_soon(worker.poll)
            nursery.start_soon(worker.place)
    await worker.place()


class LoopProfileTest(unittest.TestCase):
    """Which activity each period of time is charged to."""

    def setUp(self) -> None:
        self.worker = _Worker()
        trio.run(_run_all, self.worker)

    def test_time_is_charged_to_the_function_that_a_task_began_with(self) -> None:
        self.assertEqual(self.worker.profile.seconds_by_activity["_Worker.poll"], 6.0)

    def test_a_section_is_charged_separately_from_its_task(self) -> None:
        spent = self.worker.profile.seconds_by_activity
        self.assertEqual((spent["pricing"], spent["_Worker.place"]), (5.0, 5.0))

    def test_all_time_is_charged_once(self) -> None:
        unwatched = 10.0
        self.assertEqual(
            sum(self.worker.profile.seconds_by_activity.values()), self.worker.used - unwatched
        )

    def test_time_is_charged_only_while_recording(self) -> None:
        """Guards against the overhead of recording each step permanently."""
        self.assertEqual(self.worker.profile.seconds_by_activity["_Worker.place"], 5.0)
        self.assertEqual(self.worker.profile.seconds_by_activity["_run_all"], 0.0)

    def test_waiting_is_charged_to_no_activity(self) -> None:
        """Guards against an idle instance that appears busy with a clock that advances while it waits."""

        before = sum(self.worker.profile.seconds_by_activity.values())

        async def main() -> None:
            with self.worker.profile.recording():
                self.worker.profile.before_io_wait(1.0)
                self.worker.work(7.0)
                self.worker.profile.after_io_wait(1.0)

        trio.run(main)
        self.assertEqual(sum(self.worker.profile.seconds_by_activity.values()), before)

    def test_a_section_that_raises_is_charged_and_ended(self) -> None:
        """Guards against an error after which all later time is charged to the wrong activity."""

        async def main() -> None:
            with self.worker.profile.recording():
                with self.assertRaises(ValueError), self.worker.profile.section("pricing"):
                    self.worker.work(1.0)
                    raise ValueError
                self.worker.work(1.0)

        trio.run(main)
        self.assertEqual(self.worker.profile.seconds_by_activity["pricing"], 6.0)

"""Tests of PartitionRunner with an in-memory store and platform in simulated time."""

import unittest

import trio

from fireflyfork_standins import SimulatedWorkers

from ... import JobId
from ...decisions import TaskState
from .._batch_views import job_status
from .builders_planner import (
    MemoryStore,
    SimulatedPlatform,
    make_runner,
    make_submission,
    make_workers,
    run_simulated,
    until,
)


class JobLifecycleTest(unittest.TestCase):
    """A job without faults."""

    def test_a_job_runs_and_its_end_is_visible(self) -> None:
        """A job with more tasks than the workers can hold at once finishes completely."""

        async def body() -> None:
            store = MemoryStore()
            workers = SimulatedWorkers(make_workers(2))
            runner = make_runner(store, SimulatedPlatform(workers))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runner.run)
                await until(lambda: runner.state is not None and bool(runner.state.workers))
                self.assertIsNone(await runner.submit(make_submission(tasks=20)))
                assert runner.state is not None
                job = runner.state.table.jobs[JobId("night")]
                self.assertEqual(job_status(runner.state, job).state, "open")

                def is_over() -> bool:
                    assert runner.state is not None
                    return runner.state.table.jobs[JobId("night")].open_count == 0

                await until(is_over)
                job = runner.state.table.jobs[JobId("night")]
                status = job_status(runner.state, job)
                self.assertEqual(status.states, {TaskState.FINISHED.value: 20})
                self.assertEqual(status.state, "finished")
                runner.stop()

        run_simulated(body)

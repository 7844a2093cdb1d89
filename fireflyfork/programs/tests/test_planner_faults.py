"""Planners under faults: whatever happens, the history of what ran stays right."""

import unittest
from collections.abc import Callable

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyfork_standins import history_problems

from ... import JobId, Resources
from ...decisions import FirstFitPolicy, PlacementPolicy
from ...decisions.placement import InterferenceAwarePolicy
from .builders_faults import Fault, FaultKind, Planners
from .builders_planner import TEAM, make_submission, run_simulated, until

NO_RESOURCES = Resources()
TASKS = 16

FAULTS = st.lists(
    st.builds(
        Fault,
        st.sampled_from(FaultKind),
        st.floats(0.0, 6.0),
        st.floats(0.5, 40.0),
        st.integers(0, 2),
    ),
    max_size=8,
)


def problems_after(
    faults: list[Fault], new_policy: Callable[[], PlacementPolicy] = FirstFitPolicy
) -> list[str]:
    """Run a job of letters under ``faults`` and say what went wrong."""
    problems: list[str] = []

    async def body() -> None:
        async with trio.open_nursery() as nursery:
            planners = Planners(nursery, new_policy=new_policy)
            nursery.start_soon(planners.submit, make_submission(tasks=TASKS, run_seconds=6.0))
            for fault in faults:
                await planners.apply(fault)
            await trio.sleep(45.0)
            await until(lambda: planners.is_over(JobId("night")), 900.0)
            state = planners.runner.state
            assert state is not None
            job = state.table.jobs[JobId("night")]
            workers = planners.workers
            problems.extend(history_problems(workers.history, workers.in_region("viti")))
            if job.failed_count and not any(f.kind is FaultKind.WORKER_FAILS for f in faults):
                problems.append(f"failed for no reason: {job.failures}")
            if job.cancelled_count > len(planners.cancelled):
                problems.append("more tasks are cancelled than anybody asked for")
            if state.table.reserved or state.table.team_reserved != {TEAM: NO_RESOURCES}:
                problems.append(f"reservations are left: {state.table.reserved}")
            nursery.cancel_scope.cancel()

    run_simulated(body)
    return problems


class FaultsTest(unittest.TestCase):
    """Generated faults, several at a time."""

    @settings(max_examples=25)
    @given(FAULTS)
    def test_history_stays_right_with_learned_placement(self, faults: list[Fault]) -> None:
        """The same while sizes and interference are learned and bad workers are avoided."""
        self.assertEqual(problems_after(faults, InterferenceAwarePolicy), [])

    @settings(max_examples=40)
    @given(FAULTS)
    def test_history_stays_right(self, faults: list[Fault]) -> None:
        """Guards against tasks that run in two places, or are lost, when anything fails."""
        self.assertEqual(problems_after(faults), [])

    def test_planner_paused_while_it_recovers(self) -> None:
        """Guards against a takeover that a paused planner overwrites, so that nobody runs the partition."""
        self.assertEqual(problems_after([Fault(FaultKind.PLANNER_PAUSED, 0.0, 1.0, 0)]), [])

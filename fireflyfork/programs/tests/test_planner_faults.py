"""Tests of the history of runs while faults are injected into planners."""

import unittest
from collections.abc import Callable

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyfork_standins import history_problems

from ... import JobId, Resources
from ...decisions import FirstFitPolicy, PlacementPolicy
from ...decisions.placement import InterferenceAwarePolicy
from .builders_faults import Fault, FaultKind, PlannerSequence
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
    """Run a job under ``faults`` and return the problems found."""
    problems: list[str] = []

    async def body() -> None:
        async with trio.open_nursery() as nursery:
            planners = PlannerSequence(nursery, new_policy=new_policy)
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
    """Generated combinations of faults."""

    @settings(max_examples=25)
    @given(FAULTS)
    def test_history_stays_right_with_learned_placement(self, faults: list[Fault]) -> None:
        """Like ``test_history_stays_right``, with the policy that learns sizes and interference."""
        self.assertEqual(problems_after(faults, InterferenceAwarePolicy), [])

    @settings(max_examples=40)
    @given(FAULTS)
    def test_history_stays_right(self, faults: list[Fault]) -> None:
        """Guards against tasks that run on two workers at once or are lost during faults."""
        self.assertEqual(problems_after(faults), [])

    def test_planner_paused_while_it_recovers(self) -> None:
        """A planner that is paused during recovery must not undo a later planner's takeover.

        Otherwise no planner would run the partition.
        """
        self.assertEqual(problems_after([Fault(FaultKind.PLANNER_PAUSED, 0.0, 1.0, 0)]), [])

"""Finding executors for the tasks of a step gives what asking all of them each time would."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import AttemptNumber
from .. import Run, RunPhase
from .._candidates import Candidates
from .._interference import InterferenceModel
from .._placing import choose
from .builders_jobs import START_MS, OwnerUnderTest, job, step

_LOADS = st.lists(st.integers(0, 15), min_size=1, max_size=6)
_SIZES = st.sampled_from([500, 1500, 4000])


class CandidatesTest(unittest.TestCase):
    """Against the plain choice."""

    @given(_LOADS, _SIZES, st.booleans(), st.integers(0, 2))
    def test_the_same_executors_are_chosen(
        self, loads: list[int], cpu_millis: int, fills: bool, limit: int
    ) -> None:
        owner = OwnerUnderTest(*(f"i-{number}" for number in range(len(loads))))
        executors = list(owner.scheduler.executors.values())
        for number, load in enumerate(loads):
            busy = job(f"{number + 10:016x}", step(cpu_millis=load * 1000))
            owner.scheduler.accept(busy, START_MS)
            other = next(iter(owner.scheduler.jobs.live_tasks()))
            one = executors[number]
            one.add(Run(other, AttemptNumber(1), one, RunPhase.RUNNING, 0.0))
        spec = step(
            count=12, cpu_millis=cpu_millis, uses_leftover_cpu=fills, per_executor_limit=limit
        )
        owner.scheduler.accept(job("00000000000000aa", spec), START_MS)
        known = owner.scheduler.jobs.get(job("00000000000000aa").job)
        assert known is not None
        tasks = list(known.tasks.values())
        model = InterferenceModel()
        candidates = Candidates(tasks[0], executors, model, 2.0)
        for task in tasks:
            expected = choose(task, executors, model, 2.0)
            found = candidates.best(task)
            self.assertIs(found, expected)
            if found is None:
                return
            found.add(Run(task, AttemptNumber(1), found, RunPhase.RUNNING, 0.0))

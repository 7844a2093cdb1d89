"""Costs that are cached while nothing changes.

A backlog of best-effort work of many shapes is retried ten times a second on hundreds of executors.
"""

import unittest
from dataclasses import replace
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import AttemptNumber
from .. import ExecutorState, Run, RunPhase, Task, _cost_caches
from .._cost_caches import CostCache
from .._pacing import adjust_pace
from .._placement_costs import placement_cost
from .builders_jobs import START_MS, OwnerUnderTest, job, registration, row, step

EXECUTORS, SHAPES = 60, 8


class _Place:
    """An executor whose state is changed by events."""

    def __init__(self) -> None:
        """Set up an executor with a serving task and free resources."""
        self.owner = OwnerUnderTest("i-0")
        self.executor: ExecutorState = self.owner.executor("i-0")
        self._started = 0
        self.start(step(cpu_millis=3000, image="web", tail_target_ms=10, long_running=True))
        self.report()

    def start(self, spec: object = None) -> None:
        """Add a run."""
        self._started += 1
        start_spec = spec or step(cpu_millis=700, image="noisy", uses_leftover_cpu=True)
        run = Run(
            _task(self.owner, self._started + 100, start_spec),
            AttemptNumber(1),
            self.executor,
            RunPhase.RUNNING,
            0.0,
        )
        self.executor.add(run)

    def end(self) -> None:
        """Remove the newest run."""
        self.executor.remove(next(reversed(self.executor.runs.values())))

    def report(self) -> None:
        """Report the tail latencies of its services."""
        self.owner.now += 0.5
        rows = tuple(row(run, 100, 9.0) for run in self.executor.runs.values())
        list(
            adjust_pace(
                self.executor, rows, self.owner.scheduler._state.interference, self.owner.now
            )
        )

    def fail(self) -> None:
        """Record a failure."""
        self.executor.consecutive_failures += 1

    def promise(self) -> None:
        """Reserve resources for a moved task."""
        self.executor.incoming_cpu_millis += 2000

    def register_again(self) -> None:
        """Register with other labels and less room."""
        room = replace(self.executor.registration.room, cpu_millis=12_000)
        self.executor.registration = registration(labels=frozenset({"b"}), room=room)

    def go_down_for_upkeep(self) -> None:
        """Mark its machine as due for upkeep."""
        self.executor.upkeep_due = True


_EVENTS = st.sampled_from(
    [
        _Place.start,
        _Place.end,
        _Place.report,
        _Place.fail,
        _Place.promise,
        _Place.register_again,
        _Place.go_down_for_upkeep,
    ]
)
_SHAPES = st.sampled_from(
    [
        step(cpu_millis=3000, uses_leftover_cpu=True, image="noisy"),
        step(cpu_millis=3000, image="noisy"),
        step(cpu_millis=3000, image="web", tail_target_ms=10, long_running=True),
        step(cpu_millis=3000, required_label="a"),
    ]
)


def _task(owner: OwnerUnderTest, number: int, spec: object) -> Task:
    job_spec = job(f"{number:016x}", spec)  # type: ignore[arg-type]
    owner.scheduler.accept(job_spec, START_MS)
    accepted = owner.scheduler.jobs.get(job_spec.job)
    assert accepted is not None
    return next(iter(accepted.tasks.values()))


class CostCacheTest(unittest.TestCase):
    """Compares cached costs with newly computed ones."""

    @given(_SHAPES, st.lists(_EVENTS, max_size=12))
    def test_a_cached_cost_equals_the_computed_cost(
        self, spec: object, events: list[object]
    ) -> None:
        """Guards against work sent by an outdated state of an executor, which may be full by
        now."""
        place = _Place()
        model = place.owner.scheduler._state.interference
        task = _task(place.owner, 1, spec)
        cache = CostCache(task, model)
        for event in events:
            cache.cost(place.executor)
            if event is _Place.end and not place.executor.runs:
                continue
            event(place)  # type: ignore[operator]
            self.assertEqual(
                cache.cost(place.executor), placement_cost(task, place.executor, model)
            )

    def test_retrying_a_backlog_recomputes_only_changed_costs(self) -> None:
        """Guards against an owner that falls behind because of a backlog."""
        owner = OwnerUnderTest(*(f"i-{number}" for number in range(EXECUTORS)))
        for number in range(SHAPES):
            wide = step(
                count=20 * EXECUTORS, memory_mb=9000, image=f"b{number}", uses_leftover_cpu=True
            )
            owner.scheduler.accept(job(f"{number:016x}", wide), START_MS)
        owner.place()
        owner.tick(0.1)
        owner.place()
        changed = owner.executor("i-7")
        owner.tick(0.1)
        changed.consecutive_failures += 1
        with patch.object(
            _cost_caches, "placement_cost", wraps=placement_cost
        ) as placement_cost_mock:
            owner.place()
        self.assertLessEqual(placement_cost_mock.call_count, SHAPES)

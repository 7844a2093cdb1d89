"""A successor decides as the owner before it, after any history of a service.

What may differ is listed in docs/design/what-an-owner-knows.md.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from ...._ids import AttemptNumber, TaskName
from .. import JobSpec
from .._gangs import failed_attempt_count
from .._queue_terms import QueueTerms
from .builders_histories import EXECUTORS, NAMES, ServiceHistory, ServiceUnderTest

View = dict[str, object]


def _job_view(service: ServiceUnderTest, spec: JobSpec) -> View | None:
    """Return what an owner knows of a job, as far as decisions depend on it."""
    known = service.scheduler.jobs.get(spec.job)
    if known is None or known.state.is_final:
        return None
    terms = known.queue.terms
    return {
        "state": known.state,
        "terms": QueueTerms(0, *(getattr(terms, name) for name in terms.__struct_fields__[1:])),
        "allowed_ms": known.allowed_ms(),
        "remaining": {key: count for key, count in known.remaining_tasks.items() if count},
        "failures": {key: failed_attempt_count(task) for key, task in known.tasks.items()},
        "attempts": {key: task.attempt for key, task in known.tasks.items() if task.attempt},
        "checkpoints": {
            key: task.checkpoint for key, task in known.tasks.items() if task.spec.checkpointing
        },
    }


def _views(service: ServiceUnderTest) -> dict[str, View]:
    views = ((name, _job_view(service, spec)) for name, spec in service.jobs.items())
    return {name: view for name, view in views if view is not None}


class SuccessionMachine(ServiceHistory):
    """Any history, with a planned change of owner at any time."""

    @rule(name=NAMES, number=st.integers(0, 9), attempt=st.integers(1, 3))
    def adopt(self, name: str, number: int, attempt: int) -> None:
        """List a run of a job that no owner knows; an owner starts no job before it is stored."""
        key = TaskName(f"{'f' * 15}{number}.0.0.0"), AttemptNumber(attempt)
        self.service.executors[name].running.add(key)
        self.service.poll(name)

    @rule()
    def hand_over(self) -> None:
        """Store all changes, change the owner, and compare what both know."""
        for run in tuple(self.service.starts):
            self.accept_starts()
            assert run not in self.service.starts
        for name in EXECUTORS:
            self.service.poll(name)
        self.service.store()
        before = _views(self.service)
        self.service.change_owner()
        after = _views(self.service)
        assert after == before
        for name in EXECUTORS:
            state = next((each for each in self.service.states() if each.executor == name), None)
            if state is not None:
                assert state.runs.keys() >= self.service.executors[name].running


SuccessionTest = SuccessionMachine.TestCase
"""Guards against a decision that rests on the memory of the present owner alone."""
SuccessionTest.settings = settings(max_examples=250, stateful_step_count=50, deadline=None)

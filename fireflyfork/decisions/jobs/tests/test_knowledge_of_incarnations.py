"""What was learned of an executor, or promised on it, before it restarted."""

import unittest
from dataclasses import replace

from ...._ids import ExecutorId, MachineId
from .. import EndReason, MachineListing, MachineState, UpkeepWave, WaveView
from .._policy_settings import EstimateSettings, PolicySettings
from .builders_jobs import SERVICE, START_MS, TERMS, OwnerUnderTest, job, queue, registration, step
from .builders_jobs import table as configuration


class KnowledgeOfIncarnationsTest(unittest.TestCase):
    """What was learned or promised for an earlier incarnation."""

    def _restart(self, owner: OwnerUnderTest, name: str = "i-0", **changes: object) -> None:
        owner.now += 0.5
        owner.poll(name, incarnation=2)
        owner.scheduler.register(registration(name, incarnation=2, **changes), owner.now)

    def test_an_executor_that_the_advisor_refused_is_asked_about_again(self) -> None:
        """Guards against a step that never starts on the only executor that may run it."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.configure(configuration(queue(needs_tickets=True)))
        owner.scheduler.accept(job(), START_MS)
        self.assertEqual(self._ask(owner, {}), ("i-0",))
        owner.tick(2.0)
        owner.send()
        self.assertIsNone(owner.scheduler.next_question(owner.now, START_MS))
        self._restart(owner)
        owner.tick(2.0)
        owner.send()
        self.assertEqual(self._ask(owner, {ExecutorId("i-0"): "ticket"}), ("i-0",))
        self.assertEqual(len(owner.send()), 1)

    def _ask(
        self, owner: OwnerUnderTest, tickets: dict[ExecutorId, str]
    ) -> tuple[ExecutorId, ...] | None:
        owner.send()
        question = owner.scheduler.next_question(owner.now, START_MS)
        if question is None:
            return None
        owner.scheduler.question_sent(question, owner.now + 1.0)
        owner.scheduler.handle_advice(question, tickets, 10.0, owner.now, START_MS)
        return question.executors

    def test_failures_in_a_row_are_those_of_one_incarnation(self) -> None:
        """Guards against an executor that is avoided for what its last process did."""
        owner = OwnerUnderTest("i-0")
        for name in ("a" * 16, "b" * 16, "c" * 16):
            owner.scheduler.accept(job(name), START_MS)
        for run in owner.place():
            owner.end("i-0", run.task.name, run.attempt, EndReason.FAILED)
        owner.poll()
        self.assertEqual(owner.send(), [])
        owner.ends.clear()
        self._restart(owner)
        self.assertEqual(len(owner.send()), 3)

    def test_estimates_are_those_of_one_incarnation(self) -> None:
        """Guards against a sound executor that is the last choice for what its last process did."""
        policies = PolicySettings(estimates=EstimateSettings(True, True, True, True))
        owner = OwnerUnderTest("i-0", "i-1", terms=replace(TERMS, policies=policies))
        estimates = owner.scheduler._state.policies.estimates
        for number in range(4):
            owner.scheduler.accept(job(f"{number:016x}", step(required_label="a")), START_MS)
        for run in owner.place():
            owner.end(run.executor.executor, run.task.name, run.attempt, EndReason.FAILED)
        owner.poll("i-0")
        (task,) = list(owner.scheduler.jobs.live_tasks())[:1]
        self.assertGreater(estimates.extra_cost(task, owner.executor()), 0)
        owner.ends.clear()
        self._restart(owner)
        self.assertEqual(estimates.extra_cost(task, owner.executor()), 0)
        self.assertIsNone(estimates.to_stored())

    def test_a_cordon_outlives_an_incarnation(self) -> None:
        """Guards against work that is started on a machine just before it goes down for upkeep."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.next_upkeep((_view("i-0"),), owner.now)
        self._restart(owner)
        owner.scheduler.accept(job(), START_MS)
        self.assertEqual(owner.send(), [])

    def test_a_machine_that_came_back_under_another_id_is_cordoned(self) -> None:
        """Guards against a cordon that stays with the executor that the machine had before."""
        owner = OwnerUnderTest("i-0", "i-9")
        owner.scheduler.next_upkeep((_view("i-0"),), owner.now)
        owner.scheduler.next_upkeep((_view("i-9"),), owner.now)
        self.assertEqual(
            (owner.executor("i-0").cordoned, owner.executor("i-9").cordoned), (False, True)
        )


def _view(executor: str) -> WaveView:
    """Return a wave of two machines, of which the first is up and the second is down."""
    up = MachineListing(MachineId("m-0"), SERVICE, MachineState.UP, ExecutorId(executor))
    down = MachineListing(MachineId("m-1"), SERVICE, MachineState.UPKEEP, None)
    wave = UpkeepWave(1, (up.machine, down.machine), 1)
    return WaveView(wave, {up.machine: up, down.machine: down}, {})

"""Tests of the choice of questions to the advisor."""

from __future__ import annotations

import unittest

from ...._ids import ExecutorId, JobId, QueueName
from .. import AdviceTerms, AskAdvice, CallOutcome, QueueConfiguration, StepSpec
from .._advice_requests import OLDEST_FIRST_INTERVAL
from .builders_jobs import START_MS, OwnerUnderTest, job, queue, registration, step, table

TERMS = AdviceTerms(0.05, 0.005, 3.0)
FLEET = tuple(f"i-{number}" for number in range(40))


def _queue(**changes: object) -> QueueConfiguration:
    return queue(needs_tickets=True, advice=TERMS, **changes)


class QuestionsTest(unittest.TestCase):
    """Which step the advisor is asked about, and which executors."""

    def setUp(self) -> None:
        """Set up a fleet whose queue needs tickets."""
        self.owner = OwnerUnderTest(*FLEET)
        self.owner.scheduler.configure(table(_queue()))

    def _accept(self, number: int, *steps: StepSpec, accepted_ms: int = START_MS) -> JobId:
        spec = job(f"{number:016x}", *steps, accepted_ms=accepted_ms)
        self.owner.scheduler.accept(spec, START_MS)
        return spec.job

    def _next(self) -> AskAdvice | None:
        self.owner.send()
        question = self.owner.scheduler.next_question(self.owner.now, START_MS)
        if question is not None:
            self.owner.scheduler.question_sent(question, self.owner.now + 1.0)
        return question

    def _ask(self) -> AskAdvice:
        question = self._next()
        assert question is not None
        return question

    def _answer(self, question: AskAdvice, *permitted: str) -> None:
        tickets = {ExecutorId(name): "t" for name in permitted}
        self.owner.scheduler.handle_advice(question, tickets, 3.0, self.owner.now, START_MS)

    def test_a_question_names_no_more_executors_than_its_step_needs(self) -> None:
        """Guards against time that the advisor spends on executors without use."""
        self._accept(1, step(count=2))
        question = self._ask()
        self.assertLess(len(question.executors), len(FLEET) / 3)
        self.assertAlmostEqual(question.cost_seconds, 0.05 + 0.005 * len(question.executors))

    def test_more_executors_are_named_where_few_are_permitted(self) -> None:
        self._accept(1, step(count=2))
        few = len(self._ask().executors)
        for number in range(2, 12):
            self._accept(number, step(count=2))
            self._answer(self._ask())
        self._accept(12, step(count=2))
        self.assertGreater(len(self._ask().executors), 2 * few)

    def test_executors_that_are_known_to_be_permitted_are_asked_about_first(self) -> None:
        """Guards against asking the whole question again when tickets expire."""
        self._accept(1, step(count=1, cpu_millis=16000))
        self._answer(self._ask(), "i-7", "i-8", "i-9")
        self.owner.tick(4.0)
        self.assertEqual(set(self._ask().executors), {"i-7", "i-8", "i-9"})

    def test_a_step_whose_tickets_are_for_full_executors_is_asked_about_again(self) -> None:
        """Guards against a step that waits for its tickets to expire while executors are idle."""
        self._accept(1, step(count=2, cpu_millis=16000))
        self._answer(self._ask(), "i-0")
        self.assertEqual(len(self.owner.place()), 1)
        self.assertNotIn("i-0", self._ask().executors)

    def test_executors_without_the_label_or_room_are_not_asked_about(self) -> None:
        """Guards against tickets that can't be used while other steps wait."""
        self.owner.scheduler.register(
            registration("i-40", labels=frozenset({"b", "r1"})), self.owner.now
        )
        self.owner.store()
        self.owner.poll("i-40")
        self._accept(1, step(required_label="b"))
        self.assertEqual(self._ask().executors, ("i-40",))

    def test_the_most_urgent_step_comes_first(self) -> None:
        self.owner.scheduler.configure(table(_queue(priority=1), _queue(name="urgent")))
        self._accept(1)
        self.owner.scheduler.accept(
            job(f"{2:016x}", queue=QueueName("urgent"), accepted_ms=START_MS + 1), START_MS
        )
        self.assertEqual(self._ask().step[0], f"{2:016x}")

    def test_the_oldest_job_is_asked_about_while_urgent_ones_keep_coming(self) -> None:
        """Guards against urgent steps that keep the advisor from all others for good."""
        self.owner.scheduler.configure(table(_queue(priority=1), _queue(name="urgent")))
        oldest = self._accept(1, accepted_ms=START_MS - 60_000)
        asked = []
        for number in range(2, 3 * OLDEST_FIRST_INTERVAL):
            spec = job(f"{number:016x}", queue=QueueName("urgent"))
            self.owner.scheduler.accept(spec, START_MS)
            asked.append(self._ask().step[0])
        self.assertIn(oldest, asked[:OLDEST_FIRST_INTERVAL])

    def test_no_question_is_sent_while_one_about_the_step_is_open(self) -> None:
        self._accept(1)
        question = self._ask()
        self.owner.tick(0.5)
        self.assertIsNone(self._next())
        self.owner.tick(0.6)
        self.assertEqual(self._ask().step, question.step)

    def test_an_answer_that_comes_after_its_question_was_repeated_is_used(self) -> None:
        """Guards against answers that are thrown away and asked for again."""
        self._accept(1)
        question = self._ask()
        self.owner.tick(1.1)
        self._ask()
        self._answer(question, "i-3")
        self.assertEqual([run.executor.executor for run in self.owner.place()], ["i-3"])

    def test_an_answer_about_a_job_that_is_over_leaves_nothing_behind(self) -> None:
        """Guards against memory that late answers take for good."""
        name = self._accept(1)
        question = self._ask()
        self.owner.scheduler.cancel(name, self.owner.now, START_MS)
        self.owner.tick(0.1)
        self._answer(question, "i-3")
        self.assertEqual(self.owner.scheduler._state.tickets.holders(question.step), [])

    def test_an_executor_that_was_away_when_the_answer_came_is_asked_about_again(self) -> None:
        """Guards against a permitted executor that counts as refused for good."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.configure(table(_queue()))
        owner.scheduler.accept(job(), START_MS)
        owner.send()
        question = owner.scheduler.next_question(owner.now, START_MS)
        assert question is not None
        gone = owner.scheduler.executors.pop(ExecutorId("i-0"))
        owner.scheduler.handle_advice(question, {ExecutorId("i-0"): "t"}, 3.0, owner.now, START_MS)
        owner.scheduler.executors[ExecutorId("i-0")] = gone
        owner.tick(2.0)
        owner.send()
        again = owner.scheduler.next_question(owner.now, START_MS)
        self.assertEqual(again and again.executors, ("i-0",))

    def test_all_tickets_of_an_answer_that_came_too_late_are_dropped(self) -> None:
        """Guards against starts that are rejected one after the other for expired tickets."""
        self._accept(1)
        self._answer(self._ask(), "i-1", "i-2", "i-3")
        (run,) = self.owner.send()
        self.owner.answer_start(run, CallOutcome.NO_TICKET)
        self.assertEqual(self.owner.send(), [])

    def test_tickets_are_used_that_are_valid_for_a_short_time_only(self) -> None:
        """Guards against a margin that is longer than the validity of a ticket."""
        self._accept(1)
        question = self._ask()
        self.owner.scheduler.handle_advice(
            question, {ExecutorId("i-1"): "t"}, 0.2, self.owner.now, START_MS
        )
        self.assertEqual(len(self.owner.place()), 1)

    def test_a_gang_is_asked_about_until_it_fits(self) -> None:
        self._accept(1, step(count=3, cpu_millis=16000, gang=True))
        question = self._ask()
        self._answer(question, *question.executors[:2])
        self.assertEqual(self.owner.place(), [])
        second = self._ask()
        self._answer(second, second.executors[0])
        self.assertEqual(len(self.owner.place()), 3)

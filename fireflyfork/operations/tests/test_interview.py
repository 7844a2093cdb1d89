"""Tests of the interactive questionnaire."""

import unittest
from collections.abc import Iterable

from hypothesis import given, settings

from .. import Answers, Prompt, interview
from .builders_answers import example_answers, valid_answers
from .builders_replies import replies_for


def run_interview(replies: Iterable[str]) -> tuple[Answers, list[Prompt]]:
    """Send ``replies`` to an interview and return its answers and all its prompts."""
    conversation = interview()
    prompts = [next(conversation)]
    for reply in replies:
        try:
            prompts.append(conversation.send(reply))
        except StopIteration as end:
            answers = end.value
            assert isinstance(answers, Answers)
            return answers, prompts
    raise AssertionError(f"still asking {prompts[-1]}")


class InterviewTest(unittest.TestCase):
    """Prompts of the interview and the parsing of replies."""

    @settings(max_examples=30)
    @given(valid_answers())
    def test_replies_become_the_answers(self, answers: Answers) -> None:
        """Guards against replies that are parsed as other answers than the team typed."""
        # Replies are stripped, and an empty reply without a default is asked for again.
        if answers.organisation.strip() != answers.organisation or not answers.organisation:
            return
        given_back, _ = run_interview(replies_for(answers))
        self.assertEqual(given_back, answers)

    def test_every_question_says_why(self) -> None:
        """Guards against a prompt without an explanation for teams that don't know the system."""
        _, prompts = run_interview(replies_for(example_answers("naidu")))
        for prompt in prompts:
            self.assertTrue(prompt.text and prompt.why, prompt)

    def test_misunderstood_replies_are_asked_again(self) -> None:
        """Guards against a typing error that ends the interview; the question is asked again."""
        replies = list(replies_for(example_answers("naidu")))
        cases = [
            ("20ms", "20", "with one of the units"),
            ("15Mbit/s", "fast", "with one of the units"),
            ("8", "eight", "whole number"),
            ("viti vanua", "viti", "2 words"),
            ("tail_latency evictions throughput", "speed", "one of tail_latency"),
            ("yes", "perhaps", "yes or no"),
        ]
        for good, bad, complaint in cases:
            with self.subTest(bad=bad):
                place = replies.index(good)
                answers, prompts = run_interview([*replies[:place], bad, *replies[place:]])
                self.assertEqual(answers, example_answers("naidu"))
                (asked_again,) = [prompt for prompt in prompts if prompt.error]
                self.assertIn(complaint, asked_again.error)

    def test_empty_replies_take_the_default(self) -> None:
        """An empty reply selects the default that the prompt shows."""
        replies = list(replies_for(example_answers("naidu")))
        place = replies.index("tail_latency evictions throughput")
        answers, _ = run_interview([*replies[:place], "", *replies[place + 1 :]])
        self.assertEqual(answers, example_answers("naidu"))

"""Reports of errors that nobody foresaw, and the parts that run again after them."""

import unittest

import trio
from loguru import logger
from trio.testing import MockClock

from ...._errors import DecisionError
from ...._ids import ExecutorId, FencingToken
from ...._links import Address
from ....adapters import ExecutorEndpoint
from ....adapters.tests.builders_executor_calls import AcceptingExecutors
from ....decisions.jobs import CallOutcome, PollAnswer, PollRequest
from ..._metrics import Metrics
from .._contained_calls import PART, ContainedExecutorCalls
from .._retry_delay import RetryDelay
from .._unexpected_errors import INTERNAL_ERRORS, MAX_RETRY_SECONDS, UnexpectedErrors

PLAY_SECONDS = 60.0


class _FailingPart:
    """A part that raises the given errors, one each time that it runs, and then returns."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.runs = 0

    async def run(self) -> None:
        self.runs += 1
        await trio.sleep(0.0)
        if self.errors:
            raise self.errors.pop(0)


class _FailingExecutors(AcceptingExecutors):
    """A client that raises an error for one of its executors."""

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        if endpoint.executor == "i-0":
            raise UnicodeError("label too long")
        return await super().poll(endpoint, token, request, fresh)


class KeepRunningTest(unittest.TestCase):
    """A part that raises an error runs again."""

    def _play(self, part: _FailingPart) -> Metrics:
        metrics = Metrics()
        errors = UnexpectedErrors(metrics)

        async def main() -> None:
            with trio.move_on_after(PLAY_SECONDS):
                await errors.keep_running("part", part.run, (DecisionError,))

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return metrics

    def test_a_part_runs_again_and_each_error_is_counted(self) -> None:
        """Guards against an error that ends the process, and against one that nobody notices."""
        group = ExceptionGroup(
            "", [ValueError(), ExceptionGroup("", [KeyError("a"), KeyError("b")])]
        )
        part = _FailingPart(KeyError(""), group)
        metrics = self._play(part)
        self.assertEqual((part.runs, metrics.total(INTERNAL_ERRORS)), (3, 4))
        self.assertIn(f'{INTERNAL_ERRORS}{{part="part"}} 4', metrics.text())

    def test_an_error_that_is_always_raised_is_retried_ever_later(self) -> None:
        """Guards against a loop of errors that uses up the processor."""
        part = _FailingPart(*[KeyError("")] * 1_000)
        self._play(part)
        self.assertLess(part.runs, 2 * PLAY_SECONDS / MAX_RETRY_SECONDS)

    def test_errors_that_end_the_owner_are_passed_on(self) -> None:
        """Guards against a part that goes on with a state that isn't trusted."""
        for error in (DecisionError(), ExceptionGroup("", [KeyError(""), DecisionError()])):
            with self.subTest(error=error), self.assertRaises(ExceptionGroup):
                self._play(_FailingPart(error))

    def test_cancellation_ends_a_part(self) -> None:
        """Guards against a part that can't be stopped."""

        async def main() -> float:
            with trio.move_on_after(1.0):
                await UnexpectedErrors(Metrics()).keep_running("part", trio.sleep_forever)
            return trio.current_time()

        self.assertLess(trio.run(main, clock=MockClock(autojump_threshold=0)), 2.0)


class ReportTest(unittest.TestCase):
    """What operators see of an error."""

    def test_errors_are_logged_with_their_trace_once_a_second(self) -> None:
        """Guards against a log that is flooded by an error of each call."""
        lines: list[dict[str, object]] = []
        raised_in: list[str] = []

        def note(message: object) -> None:
            record = message.record  # type: ignore[attr-defined]
            lines.append(dict(record["extra"]))
            raised_in.append(record["exception"].traceback.tb_frame.f_code.co_name)

        async def main() -> None:
            errors = UnexpectedErrors(Metrics())
            for _ in range(30):
                try:
                    raise KeyError("")
                except KeyError as error:
                    errors.report("part", error, executor="i-0")
                await trio.sleep(0.1)

        sink = logger.add(note, level="ERROR")
        try:
            trio.run(main, clock=MockClock(autojump_threshold=0))
        finally:
            logger.remove(sink)
        self.assertLessEqual(len(lines), 4)
        self.assertEqual((lines[0]["part"], lines[0]["executor"]), ("part", "i-0"))
        self.assertGreater(int(str(lines[1]["not_logged"])), 5)
        self.assertEqual(raised_in[0], "main")


class RetryDelayTest(unittest.TestCase):
    """The delay before another attempt."""

    def test_delays_double_up_to_a_limit_and_start_anew(self) -> None:
        delay = RetryDelay(1.0, 5.0, 60.0)
        self.assertEqual([delay.after_failure(0.0) for _ in range(4)], [1.0, 2.0, 4.0, 5.0])
        self.assertEqual(delay.after_failure(60.0), 1.0)


class ContainedCallsTest(unittest.TestCase):
    """An error in a call to one executor."""

    def test_an_error_counts_as_no_answer_of_this_executor(self) -> None:
        """Guards against one executor that ends the owner of all others."""
        metrics = Metrics()
        calls = ContainedExecutorCalls(_FailingExecutors(), UnexpectedErrors(metrics))

        async def outcome(name: str) -> CallOutcome:
            endpoint = ExecutorEndpoint(ExecutorId(name), Address("127.0.0.1", 1), 1)
            request = PollRequest(0, None, 0.0, 1.0)
            return (await calls.poll(endpoint, FencingToken(1), request)).outcome

        self.assertIs(trio.run(outcome, "i-0"), CallOutcome.UNKNOWN)
        self.assertIs(trio.run(outcome, "i-1"), CallOutcome.ACCEPTED)
        self.assertIn(f'{INTERNAL_ERRORS}{{part="{PART}"}} 1', metrics.text())

"""Limits how far an error reaches that no part of the program foresees, and reports it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

import trio
from loguru import logger

from .._metrics import Metrics
from ._retry_delay import RetryDelay

INTERNAL_ERRORS = "fireflyfork_internal_errors_total"
LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between two logged errors of one part. All of them are counted."""
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 5.0
STABLE_SECONDS = 60.0
"""Time without an error after which the next one is retried as soon as the first."""

_Result = TypeVar("_Result")


class UnexpectedErrors:
    """Reports the unexpected errors of one instance by the part of the program that raised them."""

    def __init__(self, metrics: Metrics) -> None:
        """Count errors in ``metrics``."""
        self._metrics = metrics
        self._logged_at: dict[str, float] = {}
        self._not_logged: Counter[str] = Counter()

    def report(self, part: str, error: BaseException, **fields: str) -> None:
        """Count an error, or each one of a group, and log it with its trace and ``fields``."""
        for each in single_errors(error):
            self._metrics.count(INTERNAL_ERRORS, part=part)
            now = trio.current_time()
            if now - self._logged_at.get(part, -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
                self._not_logged[part] += 1
                continue
            self._logged_at[part] = now
            logger.opt(exception=each).error(
                "internal error", part=part, not_logged=self._not_logged.pop(part, 0), **fields
            )

    async def keep_running(
        self,
        part: str,
        run: Callable[[], Awaitable[_Result]],
        passed_on: tuple[type[Exception], ...] = (),
    ) -> _Result:
        """Run a part until it returns, and run it again, after a growing delay, if it raises an error.

        Returns what the part returns. Errors of the types ``passed_on`` are raised, also if they are in a group with others.
        """
        delay = RetryDelay(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, STABLE_SECONDS)
        while True:
            started_at = trio.current_time()
            try:
                return await run()
            except* Exception as errors:
                if any(isinstance(each, passed_on) for each in single_errors(errors)):
                    raise
                self.report(part, errors)
            await trio.sleep(delay.after_failure(trio.current_time() - started_at))


def single_errors(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors that a group contains, at any depth, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from single_errors(inner)
    else:
        yield error

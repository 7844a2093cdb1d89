"""A nose2 plugin that makes Hypothesis repeatable, disables logs and prints a line of counts."""

from collections import Counter
from typing import Any

from hypothesis import HealthCheck, settings
from loguru import logger
from nose2.events import Plugin

from .nose2_known_red import KNOWN_RED

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
logger.remove()


class CountsPlugin(Plugin):  # type: ignore[misc]
    """Prints ``N passed, N failed, N skipped`` at the end of the run."""

    configSection = "counts"  # noqa: N815  (the name that nose2 reads)

    def __init__(self) -> None:
        """Start without outcomes."""
        self._outcomes: dict[str, str] = {}

    def testOutcome(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Record one outcome. A test failed if it or one of its subtests had a failure or an error.

        Known failures are counted by the plugin for known failures.
        """
        test = getattr(event.test, "test_case", event.test).id()
        failed = event.exc_info is not None and event.outcome not in ("skipped", KNOWN_RED)
        if failed or self._outcomes.get(test) != "failed":
            self._outcomes[test] = "failed" if failed else event.outcome

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Print the counts as the last line."""
        counts = Counter(self._outcomes.values())
        print(
            f"\n{counts['passed']} passed, {counts['failed']} failed, {counts['skipped']} skipped",
            flush=True,
        )

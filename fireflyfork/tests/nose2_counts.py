"""A nose2 plugin: seeded Hypothesis, no logs, and one closing line of counts."""

from collections import Counter
from typing import Any

from hypothesis import HealthCheck, settings
from loguru import logger
from nose2.events import Plugin

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
    """Prints ``N passed, N failed, N skipped`` after the run."""

    configSection = "counts"  # noqa: N815  (the name that nose2 reads)

    def __init__(self) -> None:
        """Start all counts at zero."""
        self._outcomes: Counter[str] = Counter()

    def testOutcome(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Count one outcome; errors count as failures."""
        self._outcomes["failed" if event.outcome == "error" else event.outcome] += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Print the closing line."""
        counts = self._outcomes
        print(
            f"\n{counts['passed']} passed, {counts['failed']} failed, {counts['skipped']} skipped",
            flush=True,
        )

"""A nose2 plugin: seeded Hypothesis, no logs, and one closing line of counts."""

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
    """Prints ``N passed, N failed, N skipped`` after the run."""

    configSection = "counts"  # noqa: N815  (the name that nose2 reads)

    def __init__(self) -> None:
        """No outcomes yet."""
        self._outcomes: dict[str, str] = {}

    def testOutcome(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Note one outcome; a test failed if it, or one of its subtests, failed or broke.

        Failures that are known are counted by the plugin that knows them.
        """
        test = getattr(event.test, "test_case", event.test).id()
        failed = event.exc_info is not None and event.outcome not in ("skipped", KNOWN_RED)
        if failed or self._outcomes.get(test) != "failed":
            self._outcomes[test] = "failed" if failed else event.outcome

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802  (nose2's hook)
        """Print the closing line."""
        counts = Counter(self._outcomes.values())
        print(
            f"\n{counts['passed']} passed, {counts['failed']} failed, {counts['skipped']} skipped",
            flush=True,
        )

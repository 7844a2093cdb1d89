"""Outcomes of the largest jobs beside those of all, which a total hides."""

import unittest

from .. import OutcomeRow, account_jobs, outcomes_by_failure_domain, outcomes_by_size
from .builders_job_logs import ended, line, over, sent


def _log() -> list[str]:
    """Return the log of ten jobs of growing work; the largest is late, the next one is never placed."""
    lines = [
        line(0.0, "took ownership"),
        line(0.0, "serving", node="edge-1", failure_domain="suva"),
    ]
    for number in range(10):
        name = f"a{number}"
        lines.append(
            line(0.0, "job accepted", job=name, queue="quotes", node="edge-1", work=100 * number)
        )
        if number != 8:
            lines.append(sent(0.1, f"{name}.0.0.0"))
            lines.append(ended(2.0, f"{name}.0.0.0"))
            lines.append(over(2.0, 2.0, 1.0 if number == 9 else 5.0, name))
    return lines


class OutcomesTest(unittest.TestCase):
    """The rows by size and by failure domain."""

    def test_the_largest_are_counted_apart(self) -> None:
        """Guards against a total that looks well while the largest jobs are late or lost."""
        rows = tuple(outcomes_by_size(account_jobs(_log()).jobs))
        self.assertEqual(
            rows,
            (
                OutcomeRow("quotes", "largest tenth", 1, 0, 1, 0),
                OutcomeRow("quotes", "fifth below", 2, 1, 0, 1),
                OutcomeRow("quotes", "all", 10, 8, 1, 1),
            ),
        )

    def test_by_failure_domain_of_the_callers(self) -> None:
        (row,) = outcomes_by_failure_domain(account_jobs(_log()).jobs)
        self.assertEqual(row, OutcomeRow("quotes", "suva", 10, 8, 1, 1))

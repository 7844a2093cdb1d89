"""Tests of the sums of processor time, store calls and bytes by instance."""

import unittest

from .. import account_loops
from .builders_job_logs import line, sent

OWNER, ENTRY = "owner-1", "entry-1"


def _report(
    node: str,
    spent: dict[str, int],
    calls: dict[str, int],
    lag: int = 0,
    received: dict[str, int] | None = None,
    sent_bytes: dict[str, int] | None = None,
) -> str:
    return line(
        10.0,
        "loop time",
        node=node,
        looked_ms=1_000,
        spent_ms=spent,
        store_calls=calls,
        store_received=received or {},
        store_sent=sent_bytes or {},
        lag_ms=lag,
    )


LINES = (
    _report(ENTRY, {"event loop": 100}, {"watch work": 5}),
    _report(OWNER, {"placing": 1_000, "event loop": 250}, {"commit progress": 30}, lag=40),
    _report(OWNER, {"placing": 500}, {"commit progress": 10, "watch work": 5}, lag=15),
)


class LoopAccountTest(unittest.TestCase):
    """The sums over the log lines of each instance."""

    def setUp(self) -> None:
        self.accounts = account_loops(LINES)

    def test_the_busiest_instance_comes_first(self) -> None:
        self.assertEqual(list(self.accounts), [OWNER, ENTRY])

    def test_lines_of_an_instance_are_added_up(self) -> None:
        owner = self.accounts[OWNER]
        self.assertEqual(owner.shares, {"placing": 0.75, "event loop": 0.125})
        self.assertEqual(owner.store_calls, {"commit progress": 40, "watch work": 5})
        self.assertEqual(owner.worst_lag_ms, 40)

    def test_bytes_of_an_instance_are_added_up(self) -> None:
        """Guards against bytes on a saturated link that can't be attributed to a purpose."""
        large, small = {"watch op": 600_000}, {"watch op": 40, "list work": 7}
        lines = (
            _report(ENTRY, {}, {}, received=large, sent_bytes={"commit work": 9}),
            _report(ENTRY, {}, {}, received=small),
        )
        (account,) = account_loops(lines).values()
        self.assertEqual(account.store_received, {"watch op": 600_040, "list work": 7})
        self.assertEqual(account.store_sent, {"commit work": 9})

    def test_lines_of_a_version_that_counted_no_bytes(self) -> None:
        """Guards against lines of an older version, which lack the byte counts, being rejected."""
        old = line(10.0, "loop time", node=ENTRY, looked_ms=1_000, store_calls={"watch op": 2})
        (account,) = account_loops((old,)).values()
        self.assertEqual((account.store_calls, account.store_received), ({"watch op": 2}, {}))

    def test_lines_of_other_programs_are_skipped(self) -> None:
        """Guards against truncated lines or lines of other programs that fail the whole file."""
        others = ("loop time", '{"message": "loop time", "spent_ms": 3}', '{"loop time', sent(1.0))
        self.assertEqual(account_loops((*others, *LINES)), self.accounts)

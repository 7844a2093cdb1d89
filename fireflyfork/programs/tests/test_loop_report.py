"""Reports of an instance's processor time, store calls and transferred bytes."""

import unittest

import trio
from loguru import logger

from ..._ids import FailureDomainName
from ...adapters import LoopProfile, RelayTraffic
from ...operations import account_loops
from ...operations.tests.builders_job_logs import line
from .._loop_report import LoopReport
from .._metrics import Metrics
from ..owner.tests.builders_journal import FixedCountersStore


class LoopReportTest(unittest.TestCase):
    """Log lines and metrics over several reports."""

    def setUp(self) -> None:
        self.used = 0.0
        self.store = FixedCountersStore()
        self.store.counted_calls["watch work"] = 3
        self.store.counted_received["watch work"] = 450_000
        self.store.counted_sent["commit work"] = 700
        self.profile = LoopProfile(lambda: self.used)
        self.metrics = Metrics()
        self.relays = RelayTraffic()
        self.relays.of(FailureDomainName("savusavu")).received = 20_000
        self.report = LoopReport(self.profile, lambda: 0.25, self.store, self.relays, self.metrics)
        self.lines: list[dict[str, object]] = []
        sink = logger.add(lambda line: self.lines.append(dict(line.record["extra"])))
        self.addCleanup(logger.remove, sink)

    def _work(self, seconds: float, activity: str = "placing") -> None:
        async def main() -> None:
            with self.profile.recording(), self.profile.section(activity):
                self.used += seconds

        trio.run(main)

    def test_each_line_covers_its_own_interval(self) -> None:
        """Guards against cumulative values, which readers of the lines would add up again."""
        self._work(1.5)
        self.report.report(1.0)
        self._work(0.5)
        self.store.counted_calls["watch work"] += 2
        self.store.counted_received["watch work"] += 80
        self.relays.of(FailureDomainName("savusavu")).sent += 30
        self.report.report(1.0)
        first, second = self.lines
        self.assertEqual(first["spent_ms"], {"placing": 1500, "event loop": 0})
        self.assertEqual(second["spent_ms"], {"placing": 500, "event loop": 0})
        self.assertEqual(
            (first["store_calls"], second["store_calls"]), ({"watch work": 3}, {"watch work": 2})
        )
        self.assertEqual(
            (first["store_received"], second["store_received"]),
            ({"watch work": 450_000}, {"watch work": 80}),
        )
        self.assertEqual((first["store_sent"], second["store_sent"]), ({"commit work": 700}, {}))
        self.assertEqual(
            (first["relay_received"], second["relay_received"]), ({"savusavu": 20_000}, {})
        )
        self.assertEqual((first["relay_sent"], second["relay_sent"]), ({}, {"savusavu": 30}))
        self.assertEqual(first["lag_ms"], 250)

    def test_little_used_activities_are_added_up(self) -> None:
        """Guards against lines that grow with the number of activities."""
        for number in range(30):
            self._work(1.0 + number, f"activity {number}")
        self.report.report(1.0)
        spent = self.lines[0]["spent_ms"]
        assert isinstance(spent, dict)
        self.assertEqual(len(spent), 13)
        self.assertEqual(sum(spent.values()), 1000 * self.used)

    def test_the_account_reads_the_line(self) -> None:
        """Guards against log fields with names that the ``account`` command doesn't read."""
        self._work(1.5)
        self.report.report(1.0)
        (account,) = account_loops([line(10.0, "loop time", **self.lines[0])]).values()
        self.assertEqual((account.shares["placing"], account.worst_lag_ms), (1.5, 250))
        self.assertEqual(account.store_calls, self.store.calls)
        self.assertEqual(account.store_received, self.store.bytes_received)
        self.assertEqual(account.store_sent, self.store.bytes_sent)
        self.assertEqual(account.relay_received, self.relays.received)

    def test_metrics_are_cumulative(self) -> None:
        self._work(1.5)
        text = self.metrics.text()
        self.assertIn('fireflyfork_loop_seconds_total{activity="placing"} 1.5', text)
        self.assertIn('fireflyfork_store_calls_total{purpose="watch work"} 3', text)
        self.assertIn('fireflyfork_store_received_bytes_total{purpose="watch work"} 450000', text)
        self.assertIn(
            'fireflyfork_relay_received_bytes_total{failure_domain="savusavu"} 20000', text
        )
        self.assertIn('fireflyfork_store_sent_bytes_total{purpose="commit work"} 700', text)

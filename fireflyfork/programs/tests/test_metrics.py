"""The text that metrics are written in."""

import unittest

from .._metrics import Metrics


class MetricsTest(unittest.TestCase):
    """Counters that are kept elsewhere."""

    def test_large_counters_keep_their_last_digits(self) -> None:
        """Guards against a rate of bytes or calls that reads zero, since both readings were rounded alike."""
        metrics = Metrics()
        metrics.counters("bytes_total", "purpose", lambda: {"watch": 1_234_567_890})
        self.assertIn('bytes_total{purpose="watch"} 1234567890', metrics.text())
